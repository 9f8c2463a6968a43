"""Keeps an entry's knowledge of cold endpoints current, and logs its changes."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.limits import LimitTable
from bergamotwood_core.gateway.notices import IncarnationKey
from bergamotwood_core.gateway.routing import RoutingTable
from bergamotwood_core.gateway.warmup import list_window_permits
from bergamotwood_daemon.gateway.controlstate import ControlState
from bergamotwood_daemon.gateway.dialect import Dialect
from bergamotwood_daemon.gateway.message import Headers
from bergamotwood_daemon.gateway.settings import GatewayBounds
from bergamotwood_daemon.log import log_event


class ColdEndpointMonitor:
    """Applies the control state and health checks to an entry's cold endpoints.

    Parameters
    ----------
    bounds : GatewayBounds
        Bounds of the deployment.
    dialect : Dialect
        Parses the header fields of endpoints' responses.
    control_state : ControlState
        The entry's control state.
    limits : LimitTable
        The entry's limits and permits.
    """

    def __init__(
        self,
        bounds: GatewayBounds,
        dialect: Dialect,
        control_state: ControlState,
        limits: LimitTable,
    ) -> None:
        self._bounds = bounds
        self._dialect = dialect
        self._control_state = control_state
        self._limits = limits
        self._routing: RoutingTable | None = None
        self._cold: frozenset[IncarnationKey] = frozenset()

    def update(self, now: Seconds) -> None:
        """Apply the newest control state."""
        state = self._control_state
        cold = self._limits.cold
        if state.routing is not self._routing:
            self._routing = state.routing
            cold.window_permits = list_window_permits(
                state.routing.configuration.services,
                self._bounds.warmup_overshoot,
                self._bounds.warmup_tolerance,
            )
        cold.update(
            state.heartbeats.values(), state.silent_endpoints, state.confirmed_at, now
        )
        self._log_changes(cold.list_cold(now))

    def find_check_target(self, heartbeat: EndpointHeartbeat) -> bytes:
        """Return the request target of an endpoint's health check.

        Only the health path of the service tells how long an endpoint is cold.
        """
        if self._limits.cold.covers((heartbeat.endpoint, heartbeat.incarnation)):
            service = self._routing.find_service(heartbeat.service)
            if service is not None and service.health_path:
                return service.health_path.encode()
        return self._dialect.liveness_target

    def record_check(
        self,
        heartbeat: EndpointHeartbeat,
        headers: Headers,
        sent_at: Seconds,
        now: Seconds,
    ) -> None:
        """Record what an answer to a health check says of an endpoint."""
        seconds = self._dialect.read_answer(headers).warmup_seconds
        if seconds is not None:
            key = (heartbeat.endpoint, heartbeat.incarnation)
            self._limits.cold.record_check(key, seconds, sent_at, now)

    def _log_changes(self, cold: frozenset[IncarnationKey]) -> None:
        for endpoint, incarnation in sorted(cold ^ self._cold):
            is_cold = (endpoint, incarnation) in cold
            log_event(
                "entry",
                "Endpoint needs permits." if is_cold else "Endpoint needs no permits.",
                endpoint=endpoint,
                incarnation=incarnation,
                is_silent=endpoint in self._control_state.silent_endpoints,
                age=round(self._control_state.age, 2),
            )
        self._cold = cold
