"""Orders to endpoints to load model versions, with rate limit and fencing.

Only a leader with a valid lease issues orders. The fencing token lets an endpoint
refuse a former leader. For endpoints that do not check it, only the lease prevents
two leaders from ordering at once, so it is checked again just before sending.
"""

from collections import Counter
from dataclasses import dataclass, field

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Model
from bergamotwood_core.fencing import FencingToken
from bergamotwood_core.ids import EndpointId, Incarnation, VersionId
from bergamotwood_core.messages import Address
from bergamotwood_core.states import EndpointKind, RolloutState, VersionState
from bergamotwood_core.tables import ConfigurationTables, DirectoryTables, Endpoint

# Number of endpoints that load a model which no endpoint has loaded yet.
INITIAL_COPIES = 2
# Time after which a load that has not been announced is ordered again.
LOAD_RETRY_SECONDS = 60.0


class LoadOrder(Struct, frozen=True):
    """Order to an endpoint to load a version.

    Parameters
    ----------
    endpoint, incarnation : EndpointId, Incarnation
        Recipient.
    address : Address
        Address of the recipient.
    version : VersionId
        Version to load.
    token : FencingToken
        Term and log index of the leader.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    address: Address
    version: VersionId
    token: FencingToken


class LoadRateLimit(Struct, frozen=True):
    """Rate limit of loads from the weight store.

    Parameters
    ----------
    loads_per_second : float
        Sustained rate of loads.
    burst : int
        Loads that may start at once.
    """

    loads_per_second: float = 1.0
    burst: int = 2


LoadKey = tuple[EndpointId, Incarnation, VersionId]


@dataclass
class OrderTables:
    """Orders of a leader that are not confirmed yet, and its rate limit state.

    Parameters
    ----------
    ordered : dict
        Time of the order for each load that has not been announced yet.
    allowance : float
        Loads that may be ordered now. A new leader starts with 0, because its
        predecessor may have used up the burst of the weight store.
    filled_at : Seconds or None
        When the allowance was last refilled; None while this replica does not lead.
    """

    ordered: dict[LoadKey, Seconds] = field(default_factory=dict)
    allowance: float = 0.0
    filled_at: Seconds | None = None


def order_loads(
    configuration: ConfigurationTables,
    directory: DirectoryTables,
    orders: OrderTables,
    token: FencingToken | None,
    rate_limit: LoadRateLimit,
    now: Seconds,
) -> list[LoadOrder]:
    """Return the load orders to send in this tick.

    Parameters
    ----------
    configuration, directory : ConfigurationTables, DirectoryTables
        Required versions, and the versions that endpoints have loaded.
    orders : OrderTables
        Updated in place.
    token : FencingToken or None
        Fencing token; None if this replica does not hold the lease, in which case
        nothing is ordered and `orders` is reset.
    rate_limit : LoadRateLimit
        Rate limit of the weight store.
    now : Seconds
        Current time.
    """
    if token is None:
        orders.ordered.clear()
        orders.allowance = 0.0
        orders.filled_at = None
        return []
    _fill_allowance(orders, rate_limit, now)
    missing = find_missing_loads(configuration, directory)
    _remove_finished(orders, missing)
    due = [key for key in missing if _is_due(orders, key, now)]
    chosen = due[: int(orders.allowance)]
    orders.allowance -= len(chosen)
    for key in chosen:
        orders.ordered[key] = now
    return [_build_order(directory, key, token) for key in chosen]


def find_missing_loads(
    configuration: ConfigurationTables, directory: DirectoryTables
) -> list[LoadKey]:
    """Return the missing loads, ordered by the number of loaded copies."""
    endpoints = [
        endpoint
        for endpoint in directory.endpoints.values()
        if endpoint.serving and endpoint.announcement.kind is EndpointKind.MODEL
    ]
    copies = Counter(v for e in endpoints for v in e.announcement.versions)
    missing: list[LoadKey] = []
    for model in configuration.models.values():
        wanted = _find_wanted_versions(configuration, model)
        for endpoint in _choose_endpoints(model, endpoints):
            loaded = endpoint.announcement.versions
            incarnation = endpoint.announcement.incarnation
            missing += [
                (endpoint.id, incarnation, v) for v in wanted if v not in loaded
            ]
    return sorted(missing, key=lambda key: (copies[key[2]], key[2], key[0]))


def _find_wanted_versions(
    configuration: ConfigurationTables, model: Model
) -> list[VersionId]:
    wanted = {VersionId(model.current)}
    for key, rollout in configuration.rollouts.items():
        progress = configuration.progress.get(key)
        running = progress is None or progress.state is RolloutState.RUNNING
        if rollout.model == model.name and running:
            wanted.add(VersionId(rollout.candidate))
    withdrawn = {v.id for v in model.versions if v.state is VersionState.WITHDRAWN}
    return sorted(wanted - withdrawn)


def _choose_endpoints(model: Model, endpoints: list[Endpoint]) -> list[Endpoint]:
    """Choose endpoints with a version of the model, or else with fewest versions."""
    versions = {version.id for version in model.versions}
    pool = [e for e in endpoints if versions.intersection(e.announcement.versions)]
    if pool:
        return pool
    emptiest = sorted(endpoints, key=lambda e: (len(e.announcement.versions), e.id))
    return emptiest[:INITIAL_COPIES]


def _fill_allowance(
    orders: OrderTables, rate_limit: LoadRateLimit, now: Seconds
) -> None:
    if orders.filled_at is None:
        orders.filled_at = now
    earned = (now - orders.filled_at) * rate_limit.loads_per_second
    orders.allowance = min(orders.allowance + earned, rate_limit.burst)
    orders.filled_at = now


def _remove_finished(orders: OrderTables, missing: list[LoadKey]) -> None:
    for key in set(orders.ordered) - set(missing):
        del orders.ordered[key]


def _is_due(orders: OrderTables, key: LoadKey, now: Seconds) -> bool:
    ordered_at = orders.ordered.get(key)
    return ordered_at is None or now >= ordered_at + LOAD_RETRY_SECONDS


def _build_order(
    directory: DirectoryTables, key: LoadKey, token: FencingToken
) -> LoadOrder:
    endpoint, incarnation, version = key
    address = directory.endpoints[endpoint].announcement.address
    return LoadOrder(endpoint, incarnation, address, version, token)
