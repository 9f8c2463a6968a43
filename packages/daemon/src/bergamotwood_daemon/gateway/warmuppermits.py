"""A control replica's permits for cold endpoints."""

from collections.abc import Callable
from zlib import error as ZlibError

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import RequestError
from bergamotwood_core.gateway.endpoints import EndpointDirectory
from bergamotwood_core.gateway.notices import IncarnationKey
from bergamotwood_core.gateway.state_machine import GatewayState, decompress_document
from bergamotwood_core.gateway.warmup import (
    ReplicaShare,
    WarmupIssuer,
    list_window_permits,
)
from bergamotwood_core.ids import DataCentre, ServiceName
from bergamotwood_daemon.gateway.dialect import Dialect
from bergamotwood_daemon.gateway.settings import GatewaySettings
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.log import log_event


class WarmupPermits:
    """Keeps the rate of permits for cold endpoints as configured.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the daemon.
    dialect : Dialect
        Decodes configuration documents.
    directory : EndpointDirectory
        The replica's directory of endpoints.
    group : LogGroup
        The control group.
    clock : callable
        Returns the current time.

    Attributes
    ----------
    issuer : WarmupIssuer
        Counts the permits.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        directory: EndpointDirectory,
        group: LogGroup,
        clock: Callable[[], Seconds],
    ) -> None:
        self.issuer = WarmupIssuer(ReplicaShare(settings.instance), self._find_service)
        self._bounds = settings.bounds
        self._dialect = dialect
        self._directory = directory
        self._group = group
        self._clock = clock

    def apply_configuration(self, state: GatewayState) -> None:
        """Apply a configuration that has been committed."""
        if state.number < 0:
            return
        try:
            document = decompress_document(state.document)
            services = self._dialect.decode_configuration(document).services
        except (RequestError, ZlibError) as error:
            # It was checked before it was committed, so this is a bug. The previous
            # rates stay in force.
            log_event("control", "Configuration unreadable.", reason=str(error))
            return
        self._directory.services = frozenset(service.name for service in services)
        bounds = self._bounds
        if bounds.warmup_overshoot is None or bounds.warmup_tolerance is None:
            return
        self.issuer.window_permits = list_window_permits(
            services, bounds.warmup_overshoot, bounds.warmup_tolerance
        )
        self._directory.warmup_services = frozenset(self.issuer.window_permits)

    def observe(self) -> None:
        """Record the members of the group, by which permits are divided."""
        now = self._clock()
        members = [member.instance for member in self._group.membership.members]
        self.issuer.share.observe(members, self._group.measure_age(now), now)

    def mark_cold(self, data_centre: DataCentre) -> None:
        """Count a data centre's endpoints as cold, as its evacuation has ended."""
        marked = self._directory.mark_cold(data_centre, self._clock())
        if marked:
            log_event(
                "control",
                "Endpoints count as cold.",
                data_centre=data_centre,
                endpoints=marked,
            )

    def list_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges for metrics."""
        heartbeats = self._directory.list_published()
        return {
            "cold_endpoints": sum(
                heartbeat.warmup_seconds > 0.0
                and heartbeat.service in self.issuer.window_permits
                for heartbeat in heartbeats
            ),
            "cold_permits_issued_total": self.issuer.issued,
        }

    def _find_service(self, key: IncarnationKey) -> ServiceName | None:
        endpoint, incarnation = key
        known = self._directory.find(endpoint)
        if known is None or known.incarnation != incarnation:
            return None
        return known.service
