"""Polls one control replica at a time to keep an entry's control state current."""

from collections.abc import Callable
from random import Random

from gevent import Greenlet, sleep, spawn
from msgspec import MsgspecError

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.ids import InstanceId
from bergamotwood_daemon.gateway.channels import PeerChannels
from bergamotwood_daemon.gateway.controlstate import ControlState
from bergamotwood_daemon.gateway.peermessages import (
    ENCODER,
    SYNC_REPLY,
    EntryStatus,
    SyncReply,
    SyncRequest,
)
from bergamotwood_daemon.log import log_event
from bergamotwood_daemon.peer import POLL

# How long a replica may wait for a change before it answers. Each poll reports the
# entry, which is dropped if it does not report for more than three times as long.
LONG_POLL_SECONDS = 0.4
# Longer than the long poll plus a round trip, and short enough to try three
# replicas within the key lease.
CALL_TIMEOUT_SECONDS = 0.9
# A replica with older state is partitioned from the others, or they have no leader.
MAX_STATE_AGE_SECONDS = 0.9
RETRY_DELAY_SECONDS = 0.1


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
        on_update: Callable[[], None],
        clock: Callable[[], Seconds],
        rng: Random,
    ) -> None:
        self._control_state = control_state
        self._make_status = make_status
        self._seeds = seeds
        self._on_update = on_update
        self._clock = clock
        self._rng = rng
        self._channels = PeerChannels()
        self._replica: InstanceId | None = None
        self._failed: set[InstanceId] = set()
        self._is_disconnected = False
        self._greenlet: Greenlet | None = None

    def start(self) -> None:
        """Start polling."""
        self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stop polling and close the channels."""
        self._greenlet.kill()
        self._channels.close()

    def report_now(self) -> None:
        """Report to every known replica at once, and ignore their replies."""
        status = self._make_status()
        for replica in self._list_replicas():
            spawn(self._report, replica, status)

    def _run(self) -> None:
        while True:
            if self._replica is None:
                self._replica = self._choose_replica()
            if not self._poll(self._replica):
                self._failed.add(self._replica)
                self._replica = None
                sleep(RETRY_DELAY_SECONDS * self._rng.uniform(0.5, 1.0))

    def _poll(self, replica: InstanceId) -> bool:
        requested_at = self._clock()
        try:
            reply = self._call(replica, LONG_POLL_SECONDS)
        except (ReplicationError, MsgspecError) as error:
            self._handle_failure(replica, str(error))
            return False
        self._control_state.update(reply, requested_at)
        self._on_update()
        if reply.age_seconds > MAX_STATE_AGE_SECONDS:
            self._handle_failure(
                replica, f"replica state is {reply.age_seconds:.1f} s old"
            )
            return False
        self._handle_success(replica)
        return True

    def _call(self, replica: InstanceId, hold_seconds: float) -> SyncReply:
        state = self._control_state
        request = SyncRequest(
            self._make_status(), state.number, state.boot, state.version, hold_seconds
        )
        body = ENCODER.encode(request)
        return SYNC_REPLY.decode(
            self._channels.get(replica).call(POLL, body, CALL_TIMEOUT_SECONDS)
        )

    def _report(self, replica: InstanceId, status: EntryStatus) -> None:
        body = ENCODER.encode(SyncRequest(status, -1, "", -1, 0.0))
        try:
            self._channels.get(replica).call(POLL, body, CALL_TIMEOUT_SECONDS)
        except ReplicationError as error:
            log_event("entry", "Report failed.", replica=replica, reason=error.detail)

    def _choose_replica(self) -> InstanceId:
        known = self._list_replicas()
        candidates = [replica for replica in known if replica not in self._failed]
        if not candidates:
            self._failed.clear()
            candidates = known
        return self._rng.choice(candidates)

    def _list_replicas(self) -> list[InstanceId]:
        return sorted({*self._control_state.replicas, *self._seeds()})

    def _handle_failure(self, replica: InstanceId, reason: str) -> None:
        if not self._is_disconnected:
            self._is_disconnected = True
            log_event("entry", "Control lost.", replica=replica, reason=reason)

    def _handle_success(self, replica: InstanceId) -> None:
        self._failed.clear()
        if self._is_disconnected:
            self._is_disconnected = False
            log_event("entry", "Control regained.", replica=replica)
