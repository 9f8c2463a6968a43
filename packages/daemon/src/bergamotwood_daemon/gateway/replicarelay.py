"""Soft state that a replica exchanges with the other replicas.

Heartbeats of endpoints, and sums of what entries report, are not replicated through the
log: they are refreshed several times a second.
"""

from collections.abc import Callable

from gevent import Greenlet, sleep, spawn
from msgspec import MsgspecError
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.gateway.changefeed import NO_CURSOR, ChangeFeed, Changes
from bergamotwood_core.gateway.endpoints import EndpointDirectory, EndpointHeartbeat
from bergamotwood_core.gateway.limits import PermitIssuer
from bergamotwood_core.gateway.usable import UnencodableError, find_heartbeat_fault
from bergamotwood_core.ids import DataCentre, InstanceId
from bergamotwood_daemon.gateway.channels import PeerChannels
from bergamotwood_daemon.gateway.entries import EntryTable
from bergamotwood_daemon.gateway.levels import LevelController
from bergamotwood_daemon.gateway.peermessages import (
    SUMMARY_CURSOR,
    Relay,
    ReplicaSummary,
    SummaryCursor,
)
from bergamotwood_daemon.gateway.settings import GatewaySettings
from bergamotwood_daemon.gateway.suspensions import SuspensionController
from bergamotwood_daemon.gateway.unusable import encode_usable, report_unusable
from bergamotwood_daemon.log import log_event, log_failure
from bergamotwood_daemon.peer import POLL as POLL_METHOD

# Soft state is batched into one call to each replica, at an interval well below those
# of heartbeats and of entries' polls.
RELAY_INTERVAL_SECONDS = 0.1
# Longest time without a relay: well below the expiry of a replica's summary.
MAX_RELAY_INTERVAL_SECONDS = 0.5
RELAY_TIMEOUT_SECONDS = 0.5
# Data centre of a replica that has not relayed anything yet.
UNKNOWN_DATA_CENTRE = DataCentre("")


class ReplicaRelay:
    """Sends the soft state of one replica, and applies that of the others.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the daemon.
    boot : str
        Id of the run of the replica's process.
    directory : EndpointDirectory
        The replica's directory of endpoints.
    entries : EntryTable
        The replica's table of entries.
    suspensions : SuspensionController
        The replica's evidence of crashes.
    limits : PermitIssuer
        The replica's limits of endpoints.
    levels : LevelController
        Feature levels that instances state.
    list_replicas : callable
        Returns the members of the control group.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        boot: str,
        directory: EndpointDirectory,
        entries: EntryTable,
        suspensions: SuspensionController,
        limits: PermitIssuer,
        levels: LevelController,
        list_replicas: Callable[[], tuple[InstanceId, ...]],
        clock: Callable[[], Seconds],
    ) -> None:
        self._settings = settings
        self._boot = boot
        self._directory = directory
        self._entries = entries
        self._suspensions = suspensions
        self._limits = limits
        self._levels = levels
        self._list_replicas = list_replicas
        self._clock = clock
        self._channels = PeerChannels()
        self._feed: ChangeFeed[InstanceId, DataCentre] = ChangeFeed()
        self._data_centres = {settings.instance: settings.data_centre}
        self._pending_heartbeats: list[EndpointHeartbeat] = []
        self._summary_sequence = 0
        self._summary_cursors: dict[InstanceId, int] = {}
        self._has_new_reports = False
        self._greenlet: Greenlet | None = None

    def start(self) -> None:
        """Start sending."""
        self._greenlet = spawn(self._run_relay)

    def stop(self) -> None:
        """Stop sending and close the channels."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._channels.close()

    def queue_heartbeat(self, heartbeat: EndpointHeartbeat) -> None:
        """Send a heartbeat with the next relay."""
        self._pending_heartbeats.append(heartbeat)

    def note_report(self) -> None:
        """Note that an entry has reported, so that the next relay is due."""
        self._has_new_reports = True

    def receive(self, relay: Relay) -> SummaryCursor:
        """Apply the relay of another replica; return what is known of it then."""
        now = self._clock()
        for heartbeat in relay.heartbeats:
            fault = find_heartbeat_fault(heartbeat)
            if fault is not None:
                report_unusable(f"heartbeats of {relay.summary.replica}", 1, fault)
                continue
            self._directory.apply_heartbeat(heartbeat, now)
        self._data_centres[relay.summary.replica] = relay.data_centre
        self._suspensions.record_summary(relay.summary)
        self._limits.apply_relay(relay.summary.limits, now)
        self._levels.record_summary(relay.summary)
        return self._entries.merge_summary(relay.summary)

    def list_replica_changes(
        self, cursor: int
    ) -> Changes[InstanceId, DataCentre] | None:
        """Return the changes of the replicas and their data centres after a cursor."""
        self._refresh_replicas()
        return self._feed.list_changes(cursor)

    def _refresh_replicas(self) -> None:
        replicas = self._list_replicas()
        for replica in replicas:
            data_centre = self._data_centres.get(replica, UNKNOWN_DATA_CENTRE)
            self._feed.put(replica, data_centre)
        for replica in set(self._feed).difference(replicas):
            self._feed.remove(replica)

    def _run_relay(self) -> None:
        relayed_at = self._clock()
        while True:
            sleep(RELAY_INTERVAL_SECONDS)
            is_due = self._clock() - relayed_at >= MAX_RELAY_INTERVAL_SECONDS
            if not (self._pending_heartbeats or self._has_new_reports or is_due):
                continue
            relayed_at = self._clock()
            try:
                self._relay()
            except Exception as error:
                # Other replicas depend on the next relay.
                log_failure("control", "Relay failed.", reason=repr(error))

    def _relay(self) -> None:
        self._has_new_reports = False
        heartbeats = tuple(self._pending_heartbeats)
        self._pending_heartbeats.clear()
        self._summary_sequence += 1
        summary = self._entries.summarize(
            self._settings.instance, self._boot, self._summary_sequence
        )
        summary = replace(
            self._suspensions.complete_summary(summary),
            limits=self._limits.list_own(self._clock()),
        )
        summary = self._levels.complete_summary(summary)
        for instance in self._list_replicas():
            if instance != self._settings.instance:
                spawn(self._send_relay, instance, summary, heartbeats)

    def _send_relay(
        self,
        instance: InstanceId,
        summary: ReplicaSummary,
        heartbeats: tuple[EndpointHeartbeat, ...],
    ) -> None:
        cursor = self._summary_cursors.get(instance, NO_CURSOR)
        if cursor == NO_CURSOR:
            # The other replica has just started, and entries may poll it soon.
            heartbeats = self._directory.list_published()
        relay = Relay(
            replace(summary, members=self._entries.members.list_changes(cursor)),
            self._settings.data_centre,
            heartbeats,
        )
        try:
            reply = self._channels.get(instance).call(
                POLL_METHOD, encode_usable(relay), RELAY_TIMEOUT_SECONDS
            )
            known = SUMMARY_CURSOR.decode(reply)
        except (ReplicationError, MsgspecError, UnencodableError) as error:
            log_event("control", "Relay failed.", replica=instance, reason=str(error))
            return
        is_current = known.boot == self._boot
        self._summary_cursors[instance] = known.cursor if is_current else NO_CURSOR
