"""Polls one control replica at a time to keep an entry's control state current."""

from collections.abc import Callable
from random import Random

from gevent import Greenlet, sleep, spawn, spawn_later
from msgspec import MsgspecError

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.gateway.staleness import MAX_STATE_AGE_SECONDS
from bergamotwood_core.gateway.usable import UnencodableError
from bergamotwood_core.ids import DataCentre, InstanceId
from bergamotwood_daemon.gateway.channels import PeerChannels
from bergamotwood_daemon.gateway.controlstate import ControlState
from bergamotwood_daemon.gateway.peermessages import (
    SYNC_REPLY,
    EntryStatus,
    SyncReply,
    SyncRequest,
)
from bergamotwood_daemon.gateway.unusable import encode_usable
from bergamotwood_daemon.log import log_event, log_failure
from bergamotwood_daemon.peer import POLL

# How long a replica may wait for a change before it answers. Each poll reports the
# entry, which is dropped if it does not report for more than three times as long.
LONG_POLL_SECONDS = 0.4
# Longer than the long poll plus a round trip, and short enough to try three
# replicas within the key lease.
CALL_TIMEOUT_SECONDS = 0.9
RETRY_DELAY_SECONDS = 0.1
# Delay of a report that is due soon: requests lose an endpoint together.
REPORT_DELAY_SECONDS = 0.05
# Shortest time between reports of evidence on a roll-out, which bounds what a bad
# version with many requests costs the control replicas.
EVIDENCE_INTERVAL_SECONDS = 0.2
# Shortest time for which a replica that failed is avoided. The time varies, so that
# entries return one by one.
AVOID_SECONDS = 2.0
# The time doubles with each failure in a row, up to this many times.
MAX_AVOID_DOUBLINGS = 1


class ControlPoller:
    """Long-polls a control replica, and switches to another one when it fails.

    Parameters
    ----------
    control_state : ControlState
        Updated with each reply.
    make_status : callable
        Returns the entry's current status.
    seeds : callable
        Returns the control replicas named in the settings.
    data_centre : DataCentre
        Data centre of the entry; its replica is preferred.
    on_update : callable
        Called after each update of the control state.
    clock : callable
        Returns the current time.
    rng : Random
        Chooses replicas, so that entries are spread over them.
    """

    def __init__(
        self,
        control_state: ControlState,
        make_status: Callable[[], EntryStatus],
        seeds: Callable[[], tuple[InstanceId, ...]],
        data_centre: DataCentre,
        on_update: Callable[[], None],
        clock: Callable[[], Seconds],
        rng: Random,
    ) -> None:
        self._control_state = control_state
        self._make_status = make_status
        self._seeds = seeds
        self._data_centre = data_centre
        self._on_update = on_update
        self._clock = clock
        self._rng = rng
        self._channels = PeerChannels()
        self._replica: InstanceId | None = None
        self._avoided_until: dict[InstanceId, Seconds] = {}
        self._failures: dict[InstanceId, int] = {}
        self._is_disconnected = False
        self._greenlet: Greenlet | None = None
        self._is_report_scheduled = False
        self._evidence_at = Seconds(float("-inf"))

    def start(self) -> None:
        """Start polling."""
        self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stop polling and close the channels."""
        self._greenlet.kill(block=False)
        self._channels.close()

    def report_now(self) -> None:
        """Report to the replica at once, or to the next one if it does not answer."""
        spawn(self._report, self._make_status())

    def report_soon(self) -> None:
        """Report within a short time; what happens until then is reported together."""
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            spawn_later(REPORT_DELAY_SECONDS, self._report_scheduled)

    def report_evidence(self) -> None:
        """Report a bad response on a new version soon, unless one was just reported."""
        now = self._clock()
        if now - self._evidence_at >= EVIDENCE_INTERVAL_SECONDS:
            self._evidence_at = now
            self.report_soon()

    def _report_scheduled(self) -> None:
        self._is_report_scheduled = False
        self._report(self._make_status())

    def _run(self) -> None:
        while True:
            if self._replica is None:
                self._replica = self._choose_replica()
            replica = self._replica
            if self._poll_safely(replica):
                self._move_home()
                continue
            self._avoid(replica)
            self._replica = None
            sleep(RETRY_DELAY_SECONDS * self._rng.uniform(0.5, 1.0))

    def _poll_safely(self, replica: InstanceId) -> bool:
        try:
            return self._poll(replica)
        except Exception as error:
            # Without polls the entry could serve nobody; the next one may succeed.
            log_failure("entry", "Poll failed.", replica=replica, reason=repr(error))
            return False

    def _poll(self, replica: InstanceId) -> bool:
        requested_at = self._clock()
        try:
            reply = self._call(replica, LONG_POLL_SECONDS)
        except (ReplicationError, MsgspecError, UnencodableError) as error:
            self._handle_failure(replica, str(error))
            return False
        self._control_state.update(reply, requested_at)
        if self._control_state.is_too_old:
            self._handle_failure(replica, "this build is too old for the group")
            return False
        self._on_update()
        if reply.age_seconds > MAX_STATE_AGE_SECONDS:
            self._handle_failure(
                replica, f"replica state is {reply.age_seconds:.1f} s old"
            )
            return False
        if reply.document is not None and self._control_state.number < reply.number:
            self._handle_failure(replica, "its configuration is unreadable")
            return False
        self._handle_success(replica)
        return True

    def _call(self, replica: InstanceId, hold_seconds: float) -> SyncReply:
        body = self._encode_request(self._make_status(), hold_seconds)
        return SYNC_REPLY.decode(
            self._channels.get(replica).call(POLL, body, CALL_TIMEOUT_SECONDS)
        )

    def _encode_request(self, status: EntryStatus, hold_seconds: float) -> bytes:
        state = self._control_state
        return encode_usable(
            SyncRequest(
                status,
                state.number,
                state.boot,
                state.cursors,
                hold_seconds,
                state.suspensions_index,
                state.evacuations_index,
                state.withdrawals.index,
            )
        )

    def _report(self, status: EntryStatus) -> None:
        body = self._encode_request(status, 0.0)
        replicas = self._list_replicas()
        current = self._replica
        replicas.sort(key=lambda replica: (replica != current, self._rng.random()))
        for replica in replicas:
            try:
                self._channels.get(replica).call(POLL, body, CALL_TIMEOUT_SECONDS)
                return
            except ReplicationError as error:
                log_event(
                    "entry", "Report failed.", replica=replica, reason=error.detail
                )

    def _choose_replica(self) -> InstanceId:
        """Choose a replica of the own data centre, or else any, at random."""
        known = self._list_replicas()
        now = self._clock()
        usable = [
            replica for replica in known if self._avoided_until.get(replica, now) <= now
        ]
        if not usable:
            self._avoided_until.clear()
            usable = known
        return self._rng.choice(self._list_local(usable) or usable)

    def _move_home(self) -> None:
        """Return to a replica of the own data centre, where polls cost least."""
        now = self._clock()
        local = [
            replica
            for replica in self._list_local(self._list_replicas())
            if self._avoided_until.get(replica, now) <= now
        ]
        if local and self._replica not in local:
            self._replica = self._rng.choice(local)

    def _avoid(self, replica: InstanceId) -> None:
        failures = self._failures.get(replica, 0)
        self._failures[replica] = min(failures + 1, MAX_AVOID_DOUBLINGS)
        seconds = AVOID_SECONDS * 2**failures * self._rng.uniform(1.0, 2.0)
        self._avoided_until[replica] = Seconds(self._clock() + seconds)

    def _list_local(self, replicas: list[InstanceId]) -> list[InstanceId]:
        data_centres = self._control_state.replicas
        return [
            replica
            for replica in replicas
            if data_centres.get(replica) == self._data_centre
        ]

    def _list_replicas(self) -> list[InstanceId]:
        return sorted({*self._control_state.replicas, *self._seeds()})

    def _handle_failure(self, replica: InstanceId, reason: str) -> None:
        if not self._is_disconnected:
            self._is_disconnected = True
            log_event("entry", "Control lost.", replica=replica, reason=reason)

    def _handle_success(self, replica: InstanceId) -> None:
        self._failures.pop(replica, None)
        if self._is_disconnected:
            self._is_disconnected = False
            log_event("entry", "Control regained.", replica=replica)
