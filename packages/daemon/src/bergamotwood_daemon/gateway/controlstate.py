"""What an entry believes: configuration, endpoints, other entries, and since when."""

from collections.abc import Callable
from zlib import error as ZlibError

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import Code, RefusedError, RequestError
from bergamotwood_core.gateway.configuration import CallerLimits, GatewayConfiguration
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.rollout import RolloutView
from bergamotwood_core.gateway.routing import RoutingTable
from bergamotwood_core.gateway.state_machine import decompress_document
from bergamotwood_core.gateway.suspects import Crash, Success
from bergamotwood_core.ids import EndpointId, InstanceId, ServiceName, SessionId
from bergamotwood_daemon.gateway.dialect import Dialect
from bergamotwood_daemon.gateway.peermessages import EntryAddress, SyncReply
from bergamotwood_daemon.log import log_event

# Time after which a caller finds an entry that knows the configuration: when all
# processes have started anew, the control group needs an election first.
STALE_CONFIG_RETRY_SECONDS = 1.3
DEFAULT_LIMITS = CallerLimits()


class ControlState:
    """What an entry knows from the control group.

    Parameters
    ----------
    dialect : Dialect
        Reads configurations.
    clock : callable
        Seconds on a clock that counts while the machine sleeps.
    key_lease_seconds : float
        Age of the belief up to which callers' keys are honoured.
    """

    def __init__(
        self,
        dialect: Dialect,
        clock: Callable[[], Seconds],
        key_lease_seconds: float,
    ) -> None:
        self.routing: RoutingTable | None = None
        self.beats: dict[EndpointId, EndpointHeartbeat] = {}
        self.entries: tuple[EntryAddress, ...] = ()
        self.loads: dict[EndpointId, EndpointLoad] = {}
        self.crashes: tuple[Crash, ...] = ()
        self.successes: tuple[Success, ...] = ()
        self.rollouts: dict[ServiceName, RolloutView] = {}
        self.silent: frozenset[EndpointId] = frozenset()
        self.open_sessions: frozenset[SessionId] = frozenset()
        self.replicas: tuple[InstanceId, ...] = ()
        self.boot = ""
        self.version = -1
        self.confirmed_at = Seconds(float("-inf"))
        self._dialect = dialect
        self._clock = clock
        self._key_lease_seconds = key_lease_seconds

    @property
    def number(self) -> int:
        """Number of the configuration, -1 before the first."""
        return self.routing.number if self.routing else -1

    @property
    def age(self) -> float:
        """Seconds since all that was committed then is known here."""
        return self._clock() - self.confirmed_at

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers."""
        return self.routing.configuration.limits if self.routing else DEFAULT_LIMITS

    def require_routing(self) -> RoutingTable:
        """Return the routing table.

        Raises
        ------
        RefusedError
            Before the first configuration.
        """
        if self.routing is None:
            raise RefusedError(
                "no configuration yet",
                Code.CONFIG_STALE,
                retry_after=STALE_CONFIG_RETRY_SECONDS,
            )
        return self.routing

    def require_lease(self) -> None:
        """Check that a key that was taken away would be known.

        Raises
        ------
        RefusedError
            When the belief is too old.
        """
        age = self.age
        if age > self._key_lease_seconds:
            raise RefusedError(
                f"keys were last confirmed {age:.1f} s ago",
                Code.CONFIG_STALE,
                retry_after=STALE_CONFIG_RETRY_SECONDS,
            )

    def update(self, reply: SyncReply, requested_at: Seconds) -> None:
        """Take in an answer to a question asked at a time.

        An older configuration never replaces a newer one.
        """
        if reply.document is not None and reply.number > self.number:
            self._load_document(reply.document)
        if reply.beats is not None:
            self.beats = {beat.endpoint: beat for beat in reply.beats}
        self.boot = reply.boot
        self.version = reply.version
        if reply.entries is not None:
            self.entries = reply.entries
        self.loads = reply.loads
        self.crashes = reply.crashes
        self.successes = reply.successes
        self._update_rollouts(reply)
        self.replicas = reply.replicas
        self.silent = frozenset(reply.silent)
        if reply.number == self.number:
            confirmed_at = Seconds(requested_at - reply.age_seconds)
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def _update_rollouts(self, reply: SyncReply) -> None:
        for view in reply.rollouts:
            service = view.rollout.service
            previous = self.rollouts.get(service)
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
                # Sessions never go back while a roll-out is in progress.
                view = RolloutView(view.rollout, view.elapsed_seconds, previous.share)
            self.rollouts[service] = view
        self.open_sessions = frozenset(reply.open_sessions)

    def _load_document(self, document: bytes) -> None:
        try:
            configuration = self._decode_document(document)
        except (RequestError, ZlibError) as error:
            # The replica checked it: this is a fault of the program. The
            # belief grows old, and keyed requests are refused in time.
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
