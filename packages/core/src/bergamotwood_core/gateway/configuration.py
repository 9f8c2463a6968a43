"""Routing configuration and its validation."""

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum
from math import isfinite
from re import compile as compile_pattern

from msgspec import Struct

from bergamotwood_core.bounds import MAX_INTEGER, MAX_SECONDS
from bergamotwood_core.ids import ModelName, ServiceName, WorkspaceId

# Bounds of weights and of priorities, which are added and multiplied.
MAX_WEIGHT = 1e12
MAX_PRIORITY = 1_000_000
# Characters that no header field and no request line can hold.
UNSENDABLE = compile_pattern(r"[\x00-\x1f\x7f]|^\s|\s$")
REQUEST_TARGET = compile_pattern(r"[\x21-\x7e]*")


class RouteKind(StrEnum):
    """Whether requests of a route may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Destination(Struct, frozen=True):
    """A service that receives a share of a route's requests.

    Parameters
    ----------
    service : ServiceName
        Name of the service.
    weight : float
        Weight relative to the sum of the route's weights.
    """

    service: ServiceName
    weight: float = 1.0


class ServiceRoute(Struct, frozen=True):
    """Routing of requests with one host and path prefix.

    Parameters
    ----------
    name : str
        Name shown to operators.
    host : str
        Host of the requests, in lower case.
    path_prefix : str
        Prefix of the path; begins and ends with a slash.
    kind : RouteKind
        Whether requests may be executed more than once.
    destinations : tuple of Destination
        Services that receive the requests.
    timeout_seconds : float
        Maximum time until the complete answer.
    latency_objective_seconds : float
        Target time until the answer, or until the first event of a stream.
    event_gap_seconds : float
        Target for the longest pause between events of a stream.
    priority : int
        Default priority of requests; 0 is the most urgent.
    max_attempts : int
        Maximum number of endpoints that may execute one request.
    requires_key : bool
        Whether callers must send the key of a workspace.
    models : tuple of ModelName
        Models to choose from, smallest first; empty if there is no choice.
    has_session_affinity : bool
        Whether requests of a session should go to the same endpoint.
    resumable : bool
        Whether a stream may resume at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_seconds: float
    latency_objective_seconds: float = 1.0
    event_gap_seconds: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    requires_key: bool = True
    models: tuple[ModelName, ...] = ()
    has_session_affinity: bool = False
    resumable: bool = False

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be executed more than once."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.STREAMING:
                return self.resumable
        return False


class EngineProfile(Struct, frozen=True):
    """Capacity and cost of one inference engine of a service.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    cache_tokens : int
        Capacity of the key-value cache in tokens, for running requests and cached
        prompts.
    model_costs : dict
        Price of 1,000 generated tokens by model.
    """

    slots: int = 0
    cache_tokens: int = 0
    model_costs: dict[ModelName, float] = {}


class GatewayService(Struct, frozen=True):
    """A service that routes send requests to.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Maximum number of connections that one endpoint accepts, from all callers.
    engine : EngineProfile or None
        Profile of the endpoints if they run language models.
    warmup_seconds : float
        Time for which an endpoint is cold after its start; 0 if it never is.
    warmup_requests_per_second : float
        Requests that a cold endpoint can handle; 0 if endpoints are never cold.
    """

    name: ServiceName
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None
    warmup_seconds: float = 0.0
    warmup_requests_per_second: float = 0.0

    @property
    def has_warmup(self) -> bool:
        """Whether its endpoints may be cold."""
        return self.warmup_seconds > 0.0 and self.warmup_requests_per_second > 0.0


class CallerLimits(Struct, frozen=True):
    """Limits on the size of requests and on the time that callers may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class GatewayWorkspace(Struct, frozen=True):
    """A workspace, its keys and its priority.

    Parameters
    ----------
    name : WorkspaceId
        Name of the workspace.
    keys : tuple of str
        Keys that its callers may use.
    priority : int or None
        Overrides the priority of the route; 0 is the most urgent.
    """

    name: WorkspaceId
    keys: tuple[str, ...] = ()
    priority: int | None = None


class GatewayConfiguration(Struct, frozen=True):
    """The complete configuration set by operators, with its version number.

    Parameters
    ----------
    number : int
        Version; the highest one takes effect. Numbers may have gaps.
    workspaces : tuple of GatewayWorkspace or None
        None if requests need no keys. Without any workspace no key is valid.
    """

    number: int
    routes: tuple[ServiceRoute, ...] = ()
    services: tuple[GatewayService, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[GatewayWorkspace, ...] | None = None


def find_configuration_errors(configuration: GatewayConfiguration) -> tuple[str, ...]:
    """Return all errors that make a configuration invalid; empty if it is valid."""
    return (
        *_find_route_errors(configuration),
        *_find_duplicate_routes(configuration),
        *_find_shared_keys(configuration),
        *_find_service_errors(configuration),
        *_find_range_errors(configuration),
        *_find_name_errors(configuration),
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
    for workspace in configuration.workspaces or ():
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace.name)
            if owner != workspace.name:
                yield f"workspaces {owner} and {workspace.name} share a key"


def _find_service_errors(configuration: GatewayConfiguration) -> Iterator[str]:
    for service in configuration.services:
        values = service.warmup_seconds, service.warmup_requests_per_second
        if any(not isfinite(value) or value < 0.0 for value in values):
            yield f"service {service.name}: its warm-up is negative or not finite"


def _find_range_errors(configuration: GatewayConfiguration) -> Iterator[str]:
    for route in configuration.routes:
        seconds = (
            route.timeout_seconds,
            route.latency_objective_seconds,
            route.event_gap_seconds,
        )
        weights = [destination.weight for destination in route.destinations]
        if (
            any(not abs(value) <= MAX_SECONDS for value in seconds)
            or any(weight > MAX_WEIGHT for weight in weights)
            or abs(route.priority) > MAX_PRIORITY
            or route.max_attempts > MAX_INTEGER
        ):
            yield f"route {route.name}: a number is out of range"
    for service in configuration.services:
        engine = service.engine or EngineProfile()
        counts = service.max_connections, engine.slots, engine.cache_tokens
        values = service.warmup_seconds, service.warmup_requests_per_second
        if any(abs(count) > MAX_INTEGER for count in counts) or any(
            value > MAX_SECONDS for value in (*values, *engine.model_costs.values())
        ):
            yield f"service {service.name}: a number is out of range"
    limits = configuration.limits
    if (
        not 1 <= limits.header_bytes <= MAX_INTEGER
        or not 0 <= limits.body_bytes <= MAX_INTEGER
        or not 0.0 <= limits.header_seconds <= MAX_SECONDS
        or not 0.0 <= limits.idle_seconds <= MAX_SECONDS
    ):
        yield "limits: a number is out of range"
    for workspace in configuration.workspaces or ():
        if abs(workspace.priority or 0) > MAX_PRIORITY:
            yield f"workspace {workspace.name}: its priority is out of range"


def _find_name_errors(configuration: GatewayConfiguration) -> Iterator[str]:
    """Find names that cannot be sent to endpoints."""
    for workspace in configuration.workspaces or ():
        if UNSENDABLE.search(workspace.name):
            yield f"workspace {workspace.name!r}: its name cannot be sent"
    for route in configuration.routes:
        if any(UNSENDABLE.search(model) for model in route.models):
            yield f"route {route.name}: the name of a model cannot be sent"
    for service in configuration.services:
        if not REQUEST_TARGET.fullmatch(service.health_path):
            yield f"service {service.name}: its health path cannot be requested"
