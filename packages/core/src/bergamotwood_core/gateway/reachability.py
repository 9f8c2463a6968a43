"""Services whose endpoints this entry cannot connect to, though they may be sound.

An entry may be partitioned from endpoints that all other entries use. A failed
connection to one endpoint says little: it may have crashed. Once new connections to
several endpoints of a service have failed and none has succeeded since, the service
counts as lost for this entry, until a connection succeeds. Connections that were opened
before say nothing: some partitions only affect new ones. It answers partitions of one
entry, of a data centre, or of most entries.
"""

from collections.abc import Iterable
from random import Random

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.notices import IncarnationKey
from bergamotwood_core.ids import ServiceName

# Different endpoints to which connections must have failed, if the service has as many.
MIN_FAILED_ENDPOINTS = 2
# Time for which a failed connection counts; longer than any pause of an endpoint after
# a failed connection.
FAILURE_SECONDS = 6.0
NEVER = Seconds(float("-inf"))


class ServiceReach(Struct):
    """What this entry knows of its connections to one service.

    Parameters
    ----------
    failures : dict
        Time of the last failed connection to each endpoint since the last success.
    connected_at : Seconds
        Time of the last new connection.
    lost_at : Seconds or None
        Time of the first failure of the loss; None while the service is in reach.
    """

    failures: dict[IncarnationKey, Seconds] = {}
    connected_at: Seconds = NEVER
    lost_at: Seconds | None = None


class ReachTable:
    """Services that this entry can and cannot connect to."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, ServiceReach] = {}

    def record_connection(self, service: ServiceName, now: Seconds) -> bool:
        """Record a new connection; return whether the service had been lost."""
        reach = self._services.setdefault(service, ServiceReach())
        was_lost = reach.lost_at is not None
        reach.failures.clear()
        reach.connected_at = now
        reach.lost_at = None
        return was_lost

    def record_failure(
        self, service: ServiceName, key: IncarnationKey, endpoints: int, now: Seconds
    ) -> bool:
        """Record a failed connection; return whether the service is lost by it.

        Parameters
        ----------
        service : ServiceName
            Service of the endpoint.
        key : IncarnationKey
            The endpoint's incarnation.
        endpoints : int
            Number of endpoints of the service that serve.
        now : Seconds
            Time at which the connection failed.
        """
        reach = self._services.setdefault(service, ServiceReach())
        reach.failures[key] = now
        if reach.lost_at is not None:
            return False
        for other in [
            other for other, at in reach.failures.items() if now - at > FAILURE_SECONDS
        ]:
            del reach.failures[other]
        if len(reach.failures) < min(MIN_FAILED_ENDPOINTS, max(endpoints, 1)):
            return False
        reach.lost_at = min(reach.failures.values())
        return True

    def is_lost(self, service: ServiceName) -> bool:
        """Whether connections to several endpoints have failed, and none succeeded."""
        reach = self._services.get(service)
        return reach is not None and reach.lost_at is not None

    def has_failed(self, service: ServiceName, key: IncarnationKey) -> bool:
        """Whether connections to an endpoint have failed in the loss of its service.

        Only probes are sent there until one succeeds.
        """
        return self.is_lost(service) and key in self._services[service].failures

    def is_uncertain(self, service: ServiceName, now: Seconds) -> bool:
        """Whether a connection has failed, and none succeeded or failed since.

        Either the endpoint or the way to all endpoints is lost. Until one of them is
        known the failure must not be reported as the end of the endpoint.
        """
        reach = self._services.get(service)
        if reach is None or reach.lost_at is not None:
            return False
        return any(now - at <= FAILURE_SECONDS for at in reach.failures.values())

    def has_failed_last(self, service: ServiceName, key: IncarnationKey) -> bool:
        """Whether a connection to an endpoint has failed since the last success."""
        reach = self._services.get(service)
        return reach is not None and key in reach.failures

    def is_doubtful(self, service: ServiceName) -> bool:
        """Whether the service is lost, or another one was lost since it was reached."""
        reach = self._services.get(service, ServiceReach())
        if reach.lost_at is not None:
            return True
        return any(
            other.lost_at is not None and other.lost_at > reach.connected_at
            for other in self._services.values()
        )

    def list_lost(self) -> tuple[ServiceName, ...]:
        """Return the lost services in order of their names."""
        return tuple(sorted(name for name in self._services if self.is_lost(name)))

    def retain(self, services: Iterable[ServiceName]) -> None:
        """Remove all services except those that have endpoints."""
        for service in self._services.keys() - set(services):
            del self._services[service]


def choose_probe(
    heartbeats: list[EndpointHeartbeat], table: ReachTable, rng: Random
) -> EndpointHeartbeat | None:
    """Return the endpoint of one service to probe next; None if it has none.

    Those come first to which no connection has failed yet.
    """
    untried = [
        heartbeat
        for heartbeat in heartbeats
        if not table.has_failed_last(
            heartbeat.service, (heartbeat.endpoint, heartbeat.incarnation)
        )
    ]
    return rng.choice(untried or heartbeats) if heartbeats else None
