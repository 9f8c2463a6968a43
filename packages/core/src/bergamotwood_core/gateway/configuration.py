"""A complete routing configuration, and what makes one invalid."""

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum
from math import isfinite

from msgspec import Struct

from bergamotwood_core.ids import ModelName, ServiceName, WorkspaceId


class RouteKind(StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Destination(Struct, frozen=True):
    """A service that gets a share of a route's requests.

    Parameters
    ----------
    service : ServiceName
        The service.
    weight : float
        Its part of the sum of the route's weights.
    """

    service: ServiceName
    weight: float = 1.0


class ServiceRoute(Struct, frozen=True):
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    name : str
        Name for operators.
    host : str
        Host that it serves, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    destinations : tuple of Destination
        Services that get the requests.
    timeout_seconds : float
        Longest time until the final answer.
    objective_seconds : float
        Time until the answer, of a stream its first event, that callers want.
    event_gap_seconds : float
        Longest pause between events of a stream that callers want.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Endpoints that may run one request.
    requires_key : bool
        Whether the caller has to show a workspace's key.
    models : tuple of ModelName
        Models to choose from, smallest first; empty without a choice.
    keeps_session : bool
        Whether a session's requests belong on one endpoint.
    resumable : bool
        Whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_seconds: float
    objective_seconds: float = 1.0
    event_gap_seconds: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    requires_key: bool = True
    models: tuple[ModelName, ...] = ()
    keeps_session: bool = False
    resumable: bool = False

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.STREAMING:
                return self.resumable
        return False


class EngineProfile(Struct, frozen=True):
    """What one engine of a service can hold.

    Parameters
    ----------
    slots : int
        Requests at once.
    cache_tokens : int
        Tokens in its memory, of running requests and cached prompts.
    model_costs : dict
        Price of 1,000 generated tokens for each model.
    """

    slots: int = 0
    cache_tokens: int = 0
    model_costs: dict[ModelName, float] = {}


class GatewayService(Struct, frozen=True):
    """A service that routes lead to.

    Parameters
    ----------
    name : ServiceName
        Its name.
    health_path : str
        Path of its health check.
    max_connections : int
        Connections that one endpoint takes from all callers.
    engine : EngineProfile or None
        Where its endpoints run language models.
    """

    name: ServiceName
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None


class CallerLimits(Struct, frozen=True):
    """Bounds on what callers send and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class GatewayWorkspace(Struct, frozen=True):
    """A workspace with its keys.

    Parameters
    ----------
    workspace : WorkspaceId
        Its name.
    keys : tuple of str
        Keys of its callers.
    priority : int or None
        Goes before the priority of a route; 0 is the most urgent.
    """

    workspace: WorkspaceId
    keys: tuple[str, ...] = ()
    priority: int | None = None


class GatewayConfiguration(Struct, frozen=True):
    """Everything that operators set, under one number.

    Parameters
    ----------
    number : int
        The highest number holds; numbers may have gaps.
    """

    number: int
    routes: tuple[ServiceRoute, ...] = ()
    services: tuple[GatewayService, ...] = ()
    limits: CallerLimits = CallerLimits()
    holders: tuple[GatewayWorkspace, ...] = ()


def find_configuration_errors(configuration: GatewayConfiguration) -> tuple[str, ...]:
    """Return every reason why a configuration cannot be used."""
    return (
        *_find_route_errors(configuration),
        *_find_duplicate_routes(configuration),
        *_find_shared_keys(configuration),
    )


def _find_route_errors(configuration: GatewayConfiguration) -> Iterator[str]:
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        for destination in route.destinations:
            if destination.service not in services:
                yield f"route {route.name}: unknown service {destination.service}"
        weights = [destination.weight for destination in route.destinations]
        if any(not isfinite(weight) or weight < 0.0 for weight in weights):
            yield f"route {route.name}: a weight is negative or not finite"
        elif sum(weights) <= 0.0:
            yield f"route {route.name}: its weights add up to 0"
        if not route.timeout_seconds > 0.0:
            yield f"route {route.name}: its time-out is not positive"
        if not route.path_prefix.startswith("/"):
            yield f"route {route.name}: its prefix does not begin with a slash"


def _find_duplicate_routes(configuration: GatewayConfiguration) -> Iterator[str]:
    locations = Counter(
        (route.host, route.path_prefix) for route in configuration.routes
    )
    for (host, prefix), count in locations.items():
        if count > 1:
            yield f"{count} routes at {host}{prefix}"


def _find_shared_keys(configuration: GatewayConfiguration) -> Iterator[str]:
    owners: dict[str, WorkspaceId] = {}
    for holder in configuration.holders:
        for key in holder.keys:
            owner = owners.setdefault(key, holder.workspace)
            if owner != holder.workspace:
                yield f"workspaces {owner} and {holder.workspace} share a key"
