"""Orders to endpoints: which versions to load where, paced and fenced.

Only a leader within its lease orders. Its fencing token lets an endpoint
refuse a former leader; for endpoints that do not check it, the lease alone
keeps two leaders from ordering at once, so it is checked again at the moment
of sending.
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

# Endpoints that get a model which none has yet.
INITIAL_COPIES = 2
# Time after which a load that has not shown is ordered again.
LOAD_RETRY_SECONDS = 60.0


class LoadOrder(Struct, frozen=True):
    """Order to one endpoint to load one version.

    Parameters
    ----------
    endpoint, incarnation : EndpointId, Incarnation
        Whom it is for.
    address : Address
        Where to send it.
    version : VersionId
        What to load.
    token : FencingToken
        Term and index of the leader.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    address: Address
    version: VersionId
    token: FencingToken


class LoadRateLimit(Struct, frozen=True):
    """The weight store's limit.

    Parameters
    ----------
    loads_per_second : float
        Loads that it serves in the long run.
    burst : int
        Loads that may start at once.
    """

    loads_per_second: float = 1.0
    burst: int = 2


LoadKey = tuple[EndpointId, Incarnation, VersionId]


@dataclass
class OrderTables:
    """What a leader has ordered.

    Parameters
    ----------
    ordered : dict
        When each load was ordered that has not shown yet.
    allowance : float
        Loads that may be ordered now; a new leader begins with none, for its
        predecessor may have used the weight store's burst.
    filled_at : Seconds or None
        When the allowance was last raised, None while it does not lead.
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
    """Return the loads to order in this tick.

    Parameters
    ----------
    configuration, directory : ConfigurationTables, DirectoryTables
        What should be loaded, and what is.
    orders : OrderTables
        Updated by this call.
    token : FencingToken or None
        None when this replica does not hold the lease; then nothing is ordered.
    rate_limit : LoadRateLimit
        The weight store's limit.
    now : Seconds
        Time of the tick.
    """
    if token is None:
        orders.ordered.clear()
        orders.allowance = 0.0
        orders.filled_at = None
        return []
    _fill_allowance(orders, rate_limit, now)
    wanted = find_missing_loads(configuration, directory)
    _remove_finished(orders, wanted)
    due = [key for key in wanted if _is_due(orders, key, now)]
    chosen = due[: int(orders.allowance)]
    orders.allowance -= len(chosen)
    for key in chosen:
        orders.ordered[key] = now
    return [_build_order(directory, key, token) for key in chosen]


def find_missing_loads(
    configuration: ConfigurationTables, directory: DirectoryTables
) -> list[LoadKey]:
    """Return the loads that are missing, versions with fewest copies first."""
    endpoints = [
        endpoint
        for endpoint in directory.endpoints.values()
        if endpoint.serving and endpoint.announcement.kind is EndpointKind.MODEL
    ]
    copies = Counter(v for e in endpoints for v in e.announcement.versions)
    missing: list[LoadKey] = []
    for model in configuration.models.values():
        wanted = _find_wanted_versions(configuration, model)
        for endpoint in _find_pool(model, endpoints):
            held = endpoint.announcement.versions
            incarnation = endpoint.announcement.incarnation
            missing += [(endpoint.id, incarnation, v) for v in wanted if v not in held]
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


def _find_pool(model: Model, endpoints: list[Endpoint]) -> list[Endpoint]:
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


def _remove_finished(orders: OrderTables, wanted: list[LoadKey]) -> None:
    for key in set(orders.ordered) - set(wanted):
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
