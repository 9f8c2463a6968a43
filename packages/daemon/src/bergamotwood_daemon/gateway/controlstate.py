"""An entry's copy of the control group's state, and the age of that copy."""

from collections.abc import Callable
from zlib import error as ZlibError

from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import Code, RefusedError, RequestError
from bergamotwood_core.gateway.changefeed import Changes
from bergamotwood_core.gateway.configuration import CallerLimits, GatewayConfiguration
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.evacuations import EvacuationEnd
from bergamotwood_core.gateway.latency import LatencyReport
from bergamotwood_core.gateway.levels import OWN_LEVEL
from bergamotwood_core.gateway.limits import LimitReport, RequestCount
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.retries import UsageReport
from bergamotwood_core.gateway.rollout import RolloutView
from bergamotwood_core.gateway.routing import RoutingTable
from bergamotwood_core.gateway.staleness import is_outdated
from bergamotwood_core.gateway.state_machine import decompress_document
from bergamotwood_core.gateway.suspects import Cause, CauseReport, EndpointCrash
from bergamotwood_core.gateway.suspensions import Suspension
from bergamotwood_core.gateway.usable import find_heartbeat_fault
from bergamotwood_core.gateway.withdrawals import (
    WithdrawnVersions,
    is_newer_rollout,
)
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    InstanceId,
    LogIndex,
    ModelName,
    ServiceName,
    SessionId,
)
from bergamotwood_daemon.gateway.dialect import Dialect
from bergamotwood_daemon.gateway.peermessages import Cursors, SyncReply
from bergamotwood_daemon.gateway.unusable import report_unusable
from bergamotwood_daemon.log import log_event

# Retry delay sent to callers of an entry without a current configuration. After a
# restart of all processes, the control group needs an election before entries get one.
STALE_CONFIG_RETRY_SECONDS = 1.3
DEFAULT_LIMITS = CallerLimits()


class ControlState:
    """State that an entry has received from the control group.

    Parameters
    ----------
    dialect : Dialect
        Decodes configuration documents.
    clock : callable
        Returns the seconds of a clock that keeps counting while the machine is
        suspended.
    key_lease_seconds : float
        Age of the state up to which callers' keys are accepted.
    evacuation_lease_seconds : float or None
        Age of the state up to which anything is sent to endpoints; None for any.
    own_level : int
        Feature level that this build supports.
    """

    def __init__(
        self,
        dialect: Dialect,
        clock: Callable[[], Seconds],
        key_lease_seconds: float,
        evacuation_lease_seconds: float | None = None,
        own_level: int = OWN_LEVEL,
    ) -> None:
        self.own_level = own_level
        self.group_level = 0
        self.routing: RoutingTable | None = None
        self.heartbeats: dict[EndpointId, EndpointHeartbeat] = {}
        self.entries: dict[InstanceId, EntryAddress] = {}
        self.loads: dict[EndpointId, EndpointLoad] = {}
        self.suspensions: tuple[Suspension, ...] = ()
        self.suspensions_index = LogIndex(-1)
        self.evacuations: frozenset[DataCentre] = frozenset()
        self.evacuations_index = LogIndex(-1)
        self.evacuation_ends: dict[DataCentre, EvacuationEnd] = {}
        self.questions: tuple[Cause, ...] = ()
        self.successes: tuple[CauseReport, ...] = ()
        self.ends: tuple[EndpointCrash, ...] = ()
        self.endpoint_limits: tuple[LimitReport, ...] = ()
        self.permits: tuple[RequestCount, ...] = ()
        self.rollouts: dict[ServiceName, RolloutView] = {}
        self.withdrawals = WithdrawnVersions()
        self.silent_endpoints: frozenset[EndpointId] = frozenset()
        self.prefill_rates: dict[ModelName, float] = {}
        self.latencies: LatencyReport = {}
        self.retry_usage: UsageReport = {}
        self.open_sessions: frozenset[SessionId] = frozenset()
        self.withdrawn_sessions: frozenset[SessionId] = frozenset()
        self.replicas: dict[InstanceId, DataCentre] = {}
        self.boot = ""
        self.cursors = Cursors()
        self.confirmed_at = Seconds(float("-inf"))
        self.requested_at = Seconds(float("-inf"))
        self._dialect = dialect
        self._clock = clock
        self._key_lease_seconds = key_lease_seconds
        self._evacuation_lease_seconds = evacuation_lease_seconds

    @property
    def number(self) -> int:
        """Number of the configuration; -1 before the first one arrives."""
        return self.routing.number if self.routing else -1

    @property
    def is_too_old(self) -> bool:
        """Whether this build is below the group's level, and gets no more state."""
        return self.group_level > self.own_level

    @property
    def age(self) -> float:
        """Age of this copy: it contains everything committed that many seconds ago."""
        return self._clock() - self.confirmed_at

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers' connections and requests."""
        return self.routing.configuration.limits if self.routing else DEFAULT_LIMITS

    def require_routing(self) -> RoutingTable:
        """Return the routing table.

        Raises
        ------
        RefusedError
            When no configuration has been received yet.
        """
        if self.routing is None:
            raise RefusedError(
                "no configuration yet",
                Code.CONFIG_STALE,
                retry_after=STALE_CONFIG_RETRY_SECONDS,
            )
        return self.routing

    def require_lease(self) -> None:
        """Check that the state is recent enough to know of revoked keys.

        Raises
        ------
        RefusedError
            When the state is older than the key lease.
        """
        age = self.age
        if age > self._key_lease_seconds:
            raise RefusedError(
                f"keys were last confirmed {age:.1f} s ago",
                Code.CONFIG_STALE,
                retry_after=STALE_CONFIG_RETRY_SECONDS,
            )

    @property
    def has_evacuation_lease(self) -> bool:
        """Whether the state is recent enough to know of evacuations."""
        limit = self._evacuation_lease_seconds
        return limit is None or self.age <= limit

    def require_evacuation_lease(self) -> None:
        """Check that the state is recent enough to know of evacuations.

        Raises
        ------
        RefusedError
            When an evacuation may be in effect that this entry does not know.
        """
        if not self.has_evacuation_lease:
            raise RefusedError(
                f"evacuations were last confirmed {self.age:.1f} s ago",
                Code.CONFIG_STALE,
                retry_after=STALE_CONFIG_RETRY_SECONDS,
            )

    def update(self, reply: SyncReply, requested_at: Seconds) -> None:
        """Apply the reply to a request that was sent at `requested_at`.

        An older configuration never replaces a newer one, and a reply confirms the
        state only if its configuration number matches. A reply of a group whose level
        is above that of this build is not applied. A replica whose state is older than
        this copy does not replace its endpoints, entries, loads and averages.
        """
        self._update_level(reply.level)
        if self.is_too_old:
            return
        if reply.document is not None and reply.number > self.number:
            self._load_document(reply.document)
        if (
            reply.suspensions is not None
            and reply.suspensions_index > self.suspensions_index
        ):
            self._update_suspensions(reply.suspensions, reply.suspensions_index)
        if (
            reply.evacuations is not None
            and reply.evacuations_index > self.evacuations_index
        ):
            self._update_evacuations(reply)
        self.questions = reply.questions
        self.successes = reply.successes
        self.ends = reply.ends
        self.endpoint_limits = reply.limits
        self.permits = reply.permits
        self.requested_at = requested_at
        self._update_rollouts(reply)
        if not is_outdated(reply.age_seconds, self.age):
            self._apply_soft_state(reply)
        if reply.number == self.number:
            confirmed_at = Seconds(requested_at - reply.age_seconds)
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def _apply_soft_state(self, reply: SyncReply) -> None:
        """Replace what replicas only keep in memory, and do not know at their start."""
        self._apply_changes(reply)
        self.loads = reply.loads
        self.open_sessions = frozenset(reply.open_sessions)
        self.withdrawn_sessions = frozenset(reply.withdrawn_sessions)
        self.silent_endpoints = frozenset(reply.silent)
        self.prefill_rates = reply.prefill_rates
        self.latencies = reply.latencies
        self.retry_usage = reply.retry_usage

    def _update_level(self, level: int) -> None:
        if level <= self.group_level:
            return
        self.group_level = level
        if self.is_too_old:
            log_event(
                "entry",
                "Level too old.",
                level=int(self.own_level),
                group_level=level,
                reason="the entry is no longer ready",
            )

    def _apply_changes(self, reply: SyncReply) -> None:
        if reply.boot != self.boot:
            self.boot = reply.boot
            self.cursors = Cursors()
        endpoints, entries, replicas = reply.endpoints, reply.entries, reply.replicas
        if endpoints is not None:
            self.heartbeats = _drop_unusable(endpoints).apply(self.heartbeats)
            self.cursors = replace(self.cursors, endpoints=endpoints.cursor)
        if entries is not None:
            self.entries = entries.apply(self.entries)
            self.cursors = replace(self.cursors, entries=entries.cursor)
        if replicas is not None:
            self.replicas = replicas.apply(self.replicas)
            self.cursors = replace(self.cursors, replicas=replicas.cursor)

    def _update_rollouts(self, reply: SyncReply) -> None:
        if reply.withdrawn is not None:
            self.withdrawals.update(reply.withdrawn, reply.withdrawn_index)
        for view in reply.rollouts:
            service = view.rollout.service
            previous = self.rollouts.get(service)
            known = previous.rollout if previous is not None else None
            if not is_newer_rollout(known, view.rollout):
                continue
            if previous is None or previous.rollout != view.rollout:
                log_event(
                    "entry",
                    "Roll-out changed.",
                    service=service,
                    target=view.rollout.target,
                    outcome=view.rollout.outcome,
                    elapsed=round(view.elapsed_seconds, 2),
                )
            elif view.share < previous.share:
                # The share never shrinks during a roll-out, so that no session
                # returns to the old version.
                view = replace(view, share=previous.share)
            self.rollouts[service] = view
        self.withdrawals.observe(view.rollout for view in self.rollouts.values())

    def _update_suspensions(
        self, suspensions: tuple[Suspension, ...], index: LogIndex
    ) -> None:
        log_event(
            "entry",
            "Suspensions changed.",
            index=index,
            causes=[item.cause.id for item in suspensions],
        )
        self.suspensions = suspensions
        self.suspensions_index = index

    def _update_evacuations(self, reply: SyncReply) -> None:
        evacuated = frozenset(reply.evacuations)
        if evacuated != self.evacuations:
            log_event(
                "entry",
                "Evacuations changed.",
                index=reply.evacuations_index,
                data_centres=sorted(evacuated),
                previous=sorted(self.evacuations),
            )
        self.evacuations = evacuated
        self.evacuations_index = reply.evacuations_index
        self.evacuation_ends = {end.data_centre: end for end in reply.evacuation_ends}

    def _load_document(self, document: bytes) -> None:
        try:
            configuration = self._decode_document(document)
        except (RequestError, ZlibError) as error:
            # The replica has checked the document, so this is a bug. The state is
            # no longer confirmed, and after the key lease requests with keys are
            # refused.
            log_event("entry", "Configuration unreadable.", reason=str(error))
            return
        previous = self.number
        self.routing = RoutingTable(configuration)
        log_event(
            "entry",
            "Configuration in force.",
            number=configuration.number,
            previous=previous,
            routes=len(configuration.routes),
        )

    def _decode_document(self, document: bytes) -> GatewayConfiguration:
        return self._dialect.decode_configuration(decompress_document(document))


def _drop_unusable(
    changes: Changes[EndpointId, EndpointHeartbeat],
) -> Changes[EndpointId, EndpointHeartbeat]:
    """Return changes without heartbeats that name no endpoint to use.

    A replica of an older build passes them on.
    """
    faults = {
        key: fault
        for key, heartbeat in changes.values.items()
        if (fault := find_heartbeat_fault(heartbeat)) is not None
    }
    if not faults:
        return changes
    report_unusable("endpoints", len(faults), next(iter(faults.values())))
    return replace(
        changes,
        values={k: v for k, v in changes.values.items() if k not in faults},
        removed=(*changes.removed, *faults),
    )
