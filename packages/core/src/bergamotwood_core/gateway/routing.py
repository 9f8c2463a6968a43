"""Lookup of routes by host and path, and of workspaces by key."""

from hashlib import sha256

from bergamotwood_core.gateway.configuration import (
    GatewayConfiguration,
    GatewayService,
    GatewayWorkspace,
    ServiceRoute,
)
from bergamotwood_core.ids import ServiceName

HASH_BITS = 64


class RoutingTable:
    """A configuration with indexes for lookups per request.

    Parameters
    ----------
    configuration : GatewayConfiguration
        A valid configuration.
    """

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self._routes = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }
        self._workspaces = {
            key: workspace
            for workspace in configuration.workspaces or ()
            for key in workspace.keys
            # An empty key is what a request without a key has.
            if key
        }
        self._services = {service.name: service for service in configuration.services}

    @property
    def number(self) -> int:
        """Version number of the configuration."""
        return self.configuration.number

    @property
    def checks_keys(self) -> bool:
        """Whether routes that are not public need a valid key."""
        return self.configuration.workspaces is not None

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Return the route with the longest matching prefix; None if none matches."""
        end = len(path)
        while end >= 0:
            route = self._routes.get((host, path[:end]))
            if route is not None:
                return route
            # Prefixes end with a slash: continue at the previous slash of the path.
            end = path.rfind("/", 0, end - 1) + 1 if end > 1 else -1
        return None

    def find_workspace(self, key: str) -> GatewayWorkspace | None:
        """Return the workspace that a key belongs to; None if the key is unknown."""
        return self._workspaces.get(key)

    def find_service(self, name: ServiceName) -> GatewayService | None:
        """Return the service with a name; None if it is unknown."""
        return self._services.get(name)


def choose_destination(route: ServiceRoute, affinity_key: str) -> ServiceName:
    """Return a destination by weight, always the same one for an affinity key.

    Parameters
    ----------
    route : ServiceRoute
        Route with the weighted destinations.
    affinity_key : str
        Requests with equal keys go to the same service, such as those of a session.
    """
    if len(route.destinations) == 1:
        return route.destinations[0].service
    total = sum(destination.weight for destination in route.destinations)
    point = hash_to_unit_interval(f"{route.name}/{affinity_key}") * total
    for destination in route.destinations:
        point -= destination.weight
        if point < 0.0:
            return destination.service
    # Rounding errors may leave a remainder after the last weight.
    positive = [item for item in route.destinations if item.weight > 0.0]
    return positive[-1].service


def hash_to_unit_interval(text: str) -> float:
    """Return a hash in [0, 1) that is the same at all entries."""
    digest = sha256(text.encode("utf-8", "surrogateescape")).digest()
    return int.from_bytes(digest[: HASH_BITS // 8]) / 2**HASH_BITS
