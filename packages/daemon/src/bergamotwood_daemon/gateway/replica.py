"""A control replica: replicated configuration, endpoint directory and roll-outs."""

from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random
from secrets import token_hex
from time import time

from gevent import Greenlet, sleep, spawn

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import (
    Code,
    RefusedError,
    ReplicationError,
    RequestError,
)
from bergamotwood_core.gateway.changefeed import NO_CURSOR
from bergamotwood_core.gateway.configuration import find_configuration_errors
from bergamotwood_core.gateway.endpoints import EndpointDirectory, EndpointHeartbeat
from bergamotwood_core.gateway.evacuations import list_ends, list_evacuated
from bergamotwood_core.gateway.levels import OWN_LEVEL
from bergamotwood_core.gateway.limits import PermitIssuer, RequestCount
from bergamotwood_core.gateway.orders import ServiceRollout
from bergamotwood_core.gateway.sessionnews import SessionNews
from bergamotwood_core.gateway.staleness import has_learned
from bergamotwood_core.gateway.state_machine import (
    BeginEvacuation,
    BeginRollout,
    CommandOutcome,
    EndEvacuation,
    GatewayStateMachine,
    ReplaceConfiguration,
    compress_document,
    decompress_document,
)
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    InstanceId,
    ServiceName,
    SessionId,
)
from bergamotwood_core.memory import MemoryAccount, MemoryLimits
from bergamotwood_core.states import EndpointState
from bergamotwood_daemon.eventloop import get_monitor
from bergamotwood_daemon.gateway.channels import ReplicationSenders
from bergamotwood_daemon.gateway.controlgroup import make_control_group
from bergamotwood_daemon.gateway.decisions import DecisionMaker
from bergamotwood_daemon.gateway.departures import DepartureRecorder
from bergamotwood_daemon.gateway.dialect import Dialect
from bergamotwood_daemon.gateway.entries import EntryTable
from bergamotwood_daemon.gateway.evacuationorders import EvacuationOrders
from bergamotwood_daemon.gateway.leaderaccess import LeaderAccess
from bergamotwood_daemon.gateway.levels import LevelController
from bergamotwood_daemon.gateway.peermessages import (
    ENCODER,
    POLL,
    Cursors,
    EntryStatus,
    Relay,
    SyncReply,
    SyncRequest,
)
from bergamotwood_daemon.gateway.replicarelay import ReplicaRelay
from bergamotwood_daemon.gateway.rollouts import RolloutController
from bergamotwood_daemon.gateway.settings import GatewaySettings
from bergamotwood_daemon.gateway.suspensions import SuspensionController
from bergamotwood_daemon.gateway.unusable import count_unusable, encode_usable
from bergamotwood_daemon.gateway.waitingpolls import (
    MAX_LONG_POLL_SECONDS,
    WaitingPolls,
    has_change,
)
from bergamotwood_daemon.gateway.warmuppermits import WarmupPermits
from bergamotwood_daemon.log import count_dropped_lines, log_event, log_failure
from bergamotwood_daemon.wire import (
    REPLICATE_BATCH,
)

EXPIRY_INTERVAL_SECONDS = 0.25
# Heartbeats arrive about every second. Requests detect failed endpoints long before an
# endpoint expires.
ENDPOINT_EXPIRY_SECONDS = 30.0
# Longest hold of a poll that asks for permits for cold endpoints, half as long as that
# of others: the permits are valid from when it was sent.
COLD_HOLD_SECONDS = 0.2
# Age of the state up to which permits are issued. An older state belongs to a replica
# that is partitioned from the others, whose shares may have grown meanwhile.
MAX_PERMIT_STATE_AGE_SECONDS = 0.9
# Heartbeat intervals without a heartbeat after which an endpoint is silent: one
# heartbeat may be lost.
SILENT_AFTER_HEARTBEATS = 2.2


class GatewayReplica:
    """One replica of the gateway's control group.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the daemon.
    dialect : Dialect
        Decodes configuration documents.
    clock : callable
        Returns the current time.
    rng : Random
        Chooses random election delays.
    own_level : int
        Feature level that this build supports.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        clock: Callable[[], Seconds],
        rng: Random,
        own_level: int = OWN_LEVEL,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self.memory = MemoryAccount(
            MemoryLimits(settings.memory_bytes, settings.descriptors)
        )
        self._boot = token_hex(8)
        self._machine = GatewayStateMachine(own_level)
        self._senders = ReplicationSenders()
        self.directory = EndpointDirectory(ENDPOINT_EXPIRY_SECONDS)
        self.entries = EntryTable(clock, settings.bounds.session_timeout_seconds)
        self._polls_waiting = WaitingPolls(clock)
        self._expiry: Greenlet | None = None
        self._polls = 0
        self._applied_number = -1
        self._notified_cursor = NO_CURSOR
        self._notified_sessions: frozenset[SessionId] = frozenset()
        self._session_news = SessionNews()
        self._started_at = clock()
        # Relays of each other replica in this run.
        self._relays: Counter[InstanceId] = Counter()
        self.group = make_control_group(
            settings, self._machine, self._senders, clock, rng
        )
        self.rollouts = RolloutController(
            self._machine,
            self.directory,
            self.entries,
            clock,
            settings.bounds.exposure_limit,
        )
        self.suspensions = SuspensionController(self._machine, self.directory, clock)
        self.warmups = WarmupPermits(
            settings, dialect, self.directory, self.group, clock
        )
        self.limits = PermitIssuer(self.warmups.issuer)
        self.levels = LevelController(
            settings.instance, self.group, self._machine, self.entries, clock
        )
        self._leader = LeaderAccess(settings, self.group, self._machine, clock)
        self._departures = DepartureRecorder(self.directory, self._leader.commit)
        self._evacuations = EvacuationOrders(
            settings, self._machine, self._leader, clock
        )
        self._relay = ReplicaRelay(
            settings,
            self._boot,
            self.directory,
            self.entries,
            self.suspensions,
            self.limits,
            self.levels,
            self._list_replicas,
            clock,
        )
        self._decisions = DecisionMaker(
            self.group,
            self._leader,
            self.entries,
            self.rollouts,
            self.suspensions,
        )
        self.group.add_apply_callback(self._handle_applied)

    def start(self) -> None:
        """Join the group and start the background tasks."""
        self.group.start()
        self.levels.start()
        self._handle_applied()
        self._relay.start()
        self._expiry = spawn(self._run_expiry)

    def stop(self, handover: bool = True) -> None:
        """Hand leadership and vote over, unless told otherwise, and stop."""
        if handover:
            self.group.hand_over()
        self._relay.stop()
        if self._expiry is not None:
            self._expiry.kill(block=False)
        self.group.stop(handover=False)
        self._senders.stop()
        self._leader.close()

    def replace_configuration(self, document: bytes) -> CommandOutcome:
        """Commit a configuration, which takes effect if its number is the highest.

        Raises
        ------
        RequestError
            When it is invalid; the detail lists up to eight reasons.
        ReplicationError
            When no majority confirms it in time.
        """
        configuration = self._dialect.decode_configuration(document)
        errors = find_configuration_errors(configuration)
        if errors:
            raise RequestError("; ".join(errors[:8]), Code.TICKET_INVALID)
        command = ReplaceConfiguration(
            configuration.number, compress_document(document)
        )
        return self._leader.commit(command)

    def read_configuration(self) -> bytes:
        """Return the document of the newest configuration, unchanged.

        Raises
        ------
        RefusedError
            When no configuration has been committed yet.
        ReplicationError
            When no leader confirms it in time.
        """
        state = self._leader.read_state()
        if state.number < 0:
            raise RefusedError("no configuration yet", Code.CONFIG_STALE)
        return decompress_document(state.document)

    def begin_rollout(
        self, service: ServiceName, target: str, duration_seconds: float
    ) -> CommandOutcome:
        """Begin the roll-out of a service's version.

        Raises
        ------
        RequestError
            When another version of the service is being rolled out.
        ReplicationError
            When no majority confirms it in time.
        """
        command = BeginRollout(service, target, duration_seconds, time())
        outcome = self._leader.commit(command)
        if not outcome.accepted:
            raise RequestError(outcome.reason, Code.TICKET_CONFLICT)
        return outcome

    def find_rollout(self, service: ServiceName) -> ServiceRollout | None:
        """Return the newest roll-out of a service, as confirmed by the leader.

        Raises
        ------
        ReplicationError
            When no leader confirms it in time.
        """
        for rollout in self._leader.read_state().rollouts:
            if rollout.service == service:
                return rollout
        return None

    def begin_evacuation(self, data_centre: DataCentre) -> CommandOutcome:
        """Order that nothing more is sent to a data centre's endpoints."""
        return self._evacuations.commit(BeginEvacuation, data_centre)

    def end_evacuation(self, data_centre: DataCentre) -> CommandOutcome:
        """Withdraw the order to evacuate a data centre."""
        return self._evacuations.commit(EndEvacuation, data_centre)

    def record_heartbeat(self, heartbeat: EndpointHeartbeat) -> None:
        """Store a heartbeat, or commit the departure of an endpoint that leaves.

        Raises
        ------
        BuildTooOldError
            When this build is too old for the group.
        ReplicationError
            When no majority confirms the departure in time.
        """
        self._leader.require_build()
        if heartbeat.state is EndpointState.LEAVING:
            self.record_departure(
                heartbeat.endpoint, heartbeat.incarnation, heartbeat.state
            )
            return
        cursor = self.directory.feed.cursor
        if not self.directory.apply_heartbeat(heartbeat, self._clock()):
            return
        self._relay.queue_heartbeat(heartbeat)
        if self.directory.feed.cursor != cursor:
            self._log_endpoint(heartbeat)
        self._notify_if_changed()

    def record_departure(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation | None,
        state: EndpointState,
    ) -> None:
        """Commit that an endpoint gets no more requests; see `DecisionMaker`.

        Raises
        ------
        ReplicationError
            When no majority confirms it in time.
        """
        self._departures.record(endpoint, incarnation, state)

    def list_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges for metrics."""
        group = self.group
        now = self._clock()
        return {
            "leads": int(group.is_leader),
            "votes": int(group.is_voter),
            "term": group.term,
            "applied_index": group.applied,
            "log_bytes": group.log_bytes,
            "state_age_seconds": round(group.measure_age(now), 3),
            "members": len(group.membership.members),
            "configuration_number": self._machine.state.number,
            "endpoints": len(self.directory),
            "entries": len(self.entries.addresses),
            "suspensions": len(self._machine.state.suspensions),
            "endpoint_ends": self.suspensions.count_ends(),
            "evacuated_data_centres": len(
                list_evacuated(self._machine.state.evacuations)
            ),
            "polling_entries": len(self.entries.members),
            "polls_total": self._polls,
            "endpoint_changes_total": self.directory.feed.cursor,
            "entry_changes_total": self.entries.addresses.cursor,
            "log_lines_dropped_total": count_dropped_lines(),
            "records_left_out_total": count_unusable(),
            "longest_turn_seconds": round(get_monitor().longest_turn_seconds, 3),
            **self.levels.list_gauges(),
            **self.warmups.list_gauges(),
            **self.memory.list_gauges(),
        }

    def handle_replicate(self, body: bytes) -> bytes:
        """Pass replication messages to the group.

        Raises
        ------
        ReplicationError
            When one of them cannot be read; the others are passed on.
        """
        self._leader.require_build()
        failure: ReplicationError | None = None
        for envelope in REPLICATE_BATCH.decode(body).envelopes:
            try:
                self.group.receive(envelope.body)
            except ReplicationError as error:
                failure = error
        if failure is not None:
            raise failure
        return b""

    def handle_propose(self, body: bytes) -> bytes:
        """Propose a command that another replica received."""
        return self._leader.handle_propose(body)

    def handle_query(self, body: bytes) -> bytes:
        """Answer a read with the leader's confirmed state."""
        self._leader.require_build()
        self.group.read_barrier(self._settings.bounds.acknowledge_timeout_seconds)
        return ENCODER.encode(self._leader.describe_state())

    def handle_poll(self, body: bytes) -> bytes:
        """Answer an entry's poll, or store soft state relayed by another replica."""
        self._leader.require_build()
        match POLL.decode(body):
            case SyncRequest() as request:
                return encode_usable(self._answer_sync(request))
            case Relay() as relay:
                known = self._relay.receive(relay)
                self._relays[relay.summary.replica] += 1
                self._notify_if_changed()
                self._decisions.decide_soon()
                return ENCODER.encode(known)

    def _log_endpoint(self, heartbeat: EndpointHeartbeat) -> None:
        log_event(
            "directory",
            "Endpoint announced.",
            endpoint=heartbeat.endpoint,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            service=heartbeat.service,
            address=heartbeat.address,
            version=heartbeat.version,
            models=heartbeat.models,
        )

    def _answer_sync(self, request: SyncRequest) -> SyncReply:
        self._polls += 1
        if self.levels.refuses_entry(request.status):
            return self._refuse_entry(request)
        if self.entries.update(request.status):
            self._relay.note_report()
        self._note_own_sessions(request.status)
        self._decisions.decide_soon()
        self.suspensions.record_status(request.status)
        self.limits.apply_own(request.status.limits, self._clock())
        for leaving in request.status.leaving:
            self._departures.record_notice(leaving)
        cold, limited = self.limits.split_demands(request.status.demands, self._clock())
        permits = self._issue_permits(request, cold)
        if not permits:
            hold_seconds = request.hold_seconds
            self._polls_waiting.wait(
                lambda: self._has_change(request),
                min(hold_seconds, COLD_HOLD_SECONDS) if cold else hold_seconds,
            )
            permits = self._issue_permits(request, cold)
        instance = request.status.entry.instance
        open_sessions = self.entries.list_open_sessions()
        if request.hold_seconds > 0.0:
            self.rollouts.record_sent(instance)
            self._session_news.record_sent(instance, open_sessions)
        state = self._machine.state
        cursors = request.cursors if request.boot == self._boot else Cursors()
        is_learning = self._knows_less_than(request)
        return SyncReply(
            age_seconds=self.group.measure_age(self._clock()),
            number=state.number,
            document=state.document if state.number > request.number else None,
            boot=self._boot,
            endpoints=None
            if is_learning
            else self.directory.feed.list_changes(cursors.endpoints),
            entries=None
            if is_learning
            else self.entries.addresses.list_changes(cursors.entries),
            replicas=self._relay.list_replica_changes(cursors.replicas),
            rollouts=self.rollouts.list_views(),
            loads=self.entries.list_loads(instance),
            suspensions=tuple(state.suspensions)
            if state.suspensions_index > request.suspensions_index
            else None,
            suspensions_index=state.suspensions_index,
            questions=self.suspensions.list_questions(),
            successes=self.suspensions.list_successes(),
            ends=self.suspensions.list_ends(),
            limits=self.limits.list_all(self._clock()),
            permits=permits + self._issue_permits(request, limited),
            open_sessions=open_sessions,
            silent=self.directory.list_silent(
                self._clock(),
                SILENT_AFTER_HEARTBEATS * self._settings.bounds.heartbeat_seconds,
            ),
            prefill_rates=self.entries.list_prefill_rates(),
            latencies=self.entries.list_latencies(),
            retry_usage=self.entries.list_retry_usage(),
            level=state.level,
            evacuations=list_evacuated(state.evacuations)
            if state.evacuations_index > request.evacuations_index
            else None,
            evacuations_index=state.evacuations_index,
            evacuation_ends=list_ends(state.evacuations)
            if state.evacuations_index > request.evacuations_index
            else (),
            withdrawn={key: tuple(item) for key, item in state.withdrawn.items()}
            if state.keeps_withdrawals
            and state.withdrawn_index > request.withdrawn_index
            else None,
            withdrawn_index=state.withdrawn_index,
            withdrawn_sessions=self.entries.list_withdrawn_sessions(),
        )

    def _refuse_entry(self, request: SyncRequest) -> SyncReply:
        """Tell an entry that its build is too old, with no state.

        Its age keeps also a build that knows no levels from using the reply.
        """
        sleep(min(request.hold_seconds, MAX_LONG_POLL_SECONDS))
        state = self._machine.state
        return SyncReply(inf, state.number, None, request.boot, level=state.level)

    def _issue_permits(
        self, request: SyncRequest, demands: tuple[RequestCount, ...]
    ) -> tuple[RequestCount, ...]:
        now = self._clock()
        # The entry ignores the answer to a report that is not to be held.
        is_report = request.hold_seconds <= 0.0
        if not demands or is_report:
            return ()
        if self.group.measure_age(now) > MAX_PERMIT_STATE_AGE_SECONDS:
            return ()
        self.warmups.observe()
        return self.limits.issue(
            demands,
            self.entries.compute_share(),
            now,
            request.status.entry.instance,
        )

    def _has_change(self, request: SyncRequest) -> bool:
        instance = request.status.entry.instance
        if self.rollouts.has_news(instance):
            return True
        sessions = self.entries.list_open_sessions()
        if self._session_news.has_news(instance, sessions):
            return True
        cursor = self.directory.feed.cursor
        if self._knows_less_than(request):
            cursor = request.cursors.endpoints
        return has_change(request, self._machine.state, self._boot, cursor)

    def _knows_less_than(self, request: SyncRequest) -> bool:
        """Whether an entry was told more by another replica than this one knows yet."""
        relays = max(self._relays.values(), default=0)
        if has_learned(self._clock() - self._started_at, relays) or not request.boot:
            return False
        return request.boot != self._boot or request.cursors.endpoints == NO_CURSOR

    def _list_replicas(self) -> tuple[InstanceId, ...]:
        members = tuple(member.instance for member in self.group.membership.members)
        return members or self._settings.seeds

    def _handle_applied(self) -> None:
        self.levels.handle_applied()
        state = self._machine.state
        self.directory.apply_departures(state.departures)
        for data_centre in self._evacuations.observe():
            self.warmups.mark_cold(data_centre)
        if state.number != self._applied_number:
            self._applied_number = state.number
            log_event(
                "control",
                "Configuration applied.",
                number=state.number,
                index=self.group.applied,
            )
            self.warmups.apply_configuration(state)
        self._polls_waiting.notify()

    def _notify_if_changed(self) -> None:
        cursor = self.directory.feed.cursor
        sessions = frozenset(self.entries.list_open_sessions())
        if cursor != self._notified_cursor or sessions - self._notified_sessions:
            self._polls_waiting.notify()
        self._notified_cursor = cursor
        self._notified_sessions = sessions

    def _note_own_sessions(self, status: EntryStatus) -> None:
        self._session_news.record_own(status.entry.instance, status.open_sessions)
        self._notify_if_changed()

    def _run_expiry(self) -> None:
        while True:
            sleep(EXPIRY_INTERVAL_SECONDS)
            try:
                self._expire()
            except Exception as error:
                # The replica must go on for its entries; the next round may succeed.
                log_failure("control", "Expiry failed.", reason=repr(error))

    def _expire(self) -> None:
        self.directory.expire(self._clock())
        self.entries.expire()
        members = set(self.entries.members)
        self.rollouts.retain_entries(members)
        self._session_news.retain(members)
        self._notify_if_changed()
        self.rollouts.observe()
        self.suspensions.observe()
        self.limits.expire(self._clock())
        self.levels.observe()
        if self.group.failure is not None:
            self._relay.stop()
        self.warmups.observe()
        self._decisions.decide()
