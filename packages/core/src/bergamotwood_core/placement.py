"""Choice of the endpoint for an attempt, by load and cache affinity."""

from collections.abc import Iterator
from random import Random

from msgspec import Struct
from numpy import uint64
from xxhash import xxh3_64_intdigest

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import DataCentre, EndpointId, SessionId
from bergamotwood_core.outlier import is_silent
from bergamotwood_core.pool import find_pool
from bergamotwood_core.states import EndpointState
from bergamotwood_core.tables import DirectoryTables, Endpoint, Pool, PoolKey
from bergamotwood_core.target import Target

# Random draws for two eligible endpoints before the whole pool is examined.
MAX_DRAWS = 8
# Endpoints in rendezvous hash order that are tried for a prefix or session.
AFFINITY_CANDIDATES = 3
# Larger pools are partitioned instead of sorted in full.
FULL_SORT_POOL_SIZE = 32
# How far the load of the affinity endpoint may exceed that of the better of two
# random endpoints, as a fraction of capacity.
AFFINITY_LOAD_MARGIN = 0.4
# Prefix length from which a cache hit justifies the full load margin.
LONG_PREFIX_TOKENS = 5_000
# Prefix length assumed when it is unknown.
DEFAULT_PREFIX_TOKENS = 2_500
# Load, as a fraction of capacity, from which other data centres are considered.
SPILLOVER_LOAD = 0.5
# How much lower the load in another data centre must be to justify the latency.
SPILLOVER_MARGIN = 0.15

_HASH_MULTIPLIER = uint64(0x9E3779B97F4A7C15)
_HASH_MASK = 0xFFFFFFFFFFFFFFFF


class PlacementRequirements(Struct, frozen=True):
    """Requirements of an attempt on its endpoint.

    Parameters
    ----------
    target : Target
        Version or service to run.
    data_centre : DataCentre
        Data centre of the entry.
    nearby : tuple of DataCentre
        Data centres with low latency. They are tried before all others, and cache
        affinity covers them as well.
    prefix_hash : int or None
        64-bit hash of the prompt's prefix.
    prefix_tokens : int or None
        Length of that prefix; None if unknown.
    session : SessionId or None
        Session of the request.
    excluded : frozenset of EndpointId
        Endpoints that must not be chosen.
    """

    target: Target
    data_centre: DataCentre
    nearby: tuple[DataCentre, ...] = ()
    prefix_hash: int | None = None
    prefix_tokens: int | None = None
    session: SessionId | None = None
    excluded: frozenset[EndpointId] = frozenset()


def choose_endpoint(
    tables: DirectoryTables,
    requirements: PlacementRequirements,
    now: Seconds,
    rng: Random,
) -> EndpointId | None:
    """Choose the endpoint for one attempt.

    Takes the better of two random endpoints in the nearest data centre. If its load
    is high, another data centre is used when the load there is clearly lower. The
    endpoint that holds the prefix or session is preferred over that choice unless
    its load is much higher. If all endpoints are ejected or silent, a random one
    is chosen, in the nearest data centre first.

    Parameters
    ----------
    tables : DirectoryTables
        Endpoints, with the outstanding requests of this daemon.
    requirements : PlacementRequirements
        Requirements of the attempt.
    now : Seconds
        Current time.
    rng : Random
        Random number generator.

    Returns
    -------
    EndpointId or None
        None when no endpoint runs the target, or all that run it are excluded.
    """
    best = _choose_by_load(tables, requirements, now, rng)
    key = _compute_affinity_key(requirements)
    if best is None:
        return _choose_ejected(tables, requirements, rng)
    if key is None:
        return best.id
    preferred = _find_affinity_endpoint(tables, requirements, now, key, best)
    return best.id if preferred is None else preferred.id


def estimate_load(endpoint: Endpoint) -> float:
    """Estimate the load of an endpoint with one more request.

    The endpoint's load report is delayed, so it is corrected by the requests that
    this daemon has sent and finished since then.

    Returns
    -------
    float
        Load as a fraction of capacity.
    """
    announcement = endpoint.announcement
    net_sent_requests = endpoint.outstanding - endpoint.outstanding_at_report
    running = max(announcement.load + net_sent_requests, endpoint.outstanding)
    return (running + 1.0) / announcement.capacity


def _list_pools(
    tables: DirectoryTables, requirements: PlacementRequirements
) -> Iterator[Pool]:
    """Yield the pools of endpoints that run the target, nearest first."""
    name = requirements.target.name
    near = (requirements.data_centre,)
    yield find_pool(tables, PoolKey(name, near))
    nearby = tuple(
        data_centre
        for data_centre in requirements.nearby
        if data_centre != requirements.data_centre
    )
    if nearby:
        yield find_pool(tables, PoolKey(name, nearby))
    yield find_pool(tables, PoolKey(name, near + nearby, elsewhere=True))


def _should_spill_over(candidate: Endpoint, best: Endpoint) -> bool:
    """Whether a more distant endpoint has a clearly lower load."""
    return estimate_load(candidate) + SPILLOVER_MARGIN < estimate_load(best)


def _choose_by_load(
    tables: DirectoryTables,
    requirements: PlacementRequirements,
    now: Seconds,
    rng: Random,
) -> Endpoint | None:
    """Choose the better of two in the nearest pool with load below the threshold."""
    best: Endpoint | None = None
    for pool in _list_pools(tables, requirements):
        candidate = _choose_of_two(tables, pool, requirements, now, rng)
        if candidate is None:
            continue
        if best is None or _should_spill_over(candidate, best):
            best = candidate
        if estimate_load(best) < SPILLOVER_LOAD:
            return best
    return best


def _find_affinity_endpoint(
    tables: DirectoryTables,
    requirements: PlacementRequirements,
    now: Seconds,
    key: int,
    best: Endpoint,
) -> Endpoint | None:
    """Find the endpoint that holds the prefix or session, unless its load is too high.

    All nearby data centres rank equally, since a cache hit saves more time than the
    network latency costs.
    """
    near = (requirements.data_centre, *requirements.nearby)
    pool = find_pool(tables, PoolKey(requirements.target.name, near))
    if not pool.endpoints:
        return None
    bound = estimate_load(best) + _compute_affinity_margin(requirements)
    for position in rank_endpoints(pool, key):
        endpoint = tables.endpoints[pool.endpoints[position]]
        if (
            _is_eligible(endpoint, requirements, now)
            and estimate_load(endpoint) <= bound
        ):
            return endpoint
    return None


def _compute_affinity_margin(requirements: PlacementRequirements) -> float:
    """Compute the allowed extra load, in proportion to what a cache hit saves."""
    tokens = requirements.prefix_tokens
    if tokens is None:
        tokens = DEFAULT_PREFIX_TOKENS
    return AFFINITY_LOAD_MARGIN * min(1.0, tokens / LONG_PREFIX_TOKENS)


def _choose_of_two(
    tables: DirectoryTables,
    pool: Pool,
    requirements: PlacementRequirements,
    now: Seconds,
    rng: Random,
) -> Endpoint | None:
    """Choose the better of two random eligible endpoints."""
    size = len(pool.endpoints)
    candidates: list[Endpoint] = []
    for _ in range(MAX_DRAWS if size else 0):
        endpoint = tables.endpoints[pool.endpoints[int(rng.random() * size)]]
        if candidates and endpoint is candidates[0]:
            continue
        if _is_eligible(endpoint, requirements, now):
            candidates.append(endpoint)
        if len(candidates) == 2:
            break
    if not candidates:
        members = (tables.endpoints[id_] for id_ in pool.endpoints)
        candidates = [
            member for member in members if _is_eligible(member, requirements, now)
        ]
    return min(candidates, key=_score, default=None)


def _choose_ejected(
    tables: DirectoryTables, requirements: PlacementRequirements, rng: Random
) -> EndpointId | None:
    """Choose any endpoint that is not excluded, when none is eligible."""
    for pool in _list_pools(tables, requirements):
        allowed = [id_ for id_ in pool.endpoints if id_ not in requirements.excluded]
        if allowed:
            return rng.choice(allowed)
    return None


def _is_eligible(
    endpoint: Endpoint, requirements: PlacementRequirements, now: Seconds
) -> bool:
    """Whether an endpoint may receive the attempt."""
    announcement = endpoint.announcement
    if requirements.excluded and announcement.id in requirements.excluded:
        return False
    if announcement.state is not EndpointState.SERVING:
        return False
    if endpoint.awaiting_first_token and is_silent(endpoint, now):
        return False
    return endpoint.ejected_until <= now


def _score(endpoint: Endpoint) -> float:
    """Score an endpoint by load and first-token latency; lower is better."""
    return estimate_load(endpoint) * max(endpoint.first_token_seconds, 0.001)


def _compute_affinity_key(requirements: PlacementRequirements) -> int | None:
    """Return the affinity hash of the prefix or session, None without either."""
    if requirements.prefix_hash is not None:
        return requirements.prefix_hash & _HASH_MASK
    if requirements.session is not None:
        return xxh3_64_intdigest(requirements.session.encode())
    return None


def rank_endpoints(pool: Pool, key: int) -> list[int]:
    """Rank a pool's endpoints by rendezvous hash.

    Parameters
    ----------
    pool : Pool
        Endpoints to rank.
    key : int
        64-bit hash of the prefix or session; every entry computes the same order.

    Returns
    -------
    list of int
        Positions of the first candidates in the pool, best first.
    """
    mixed = (pool.hashes ^ uint64(key)) * _HASH_MULTIPLIER
    if len(mixed) <= FULL_SORT_POOL_SIZE:
        return mixed.argsort()[:AFFINITY_CANDIDATES].tolist()
    lowest = mixed.argpartition(AFFINITY_CANDIDATES)[:AFFINITY_CANDIDATES]
    return lowest[mixed[lowest].argsort()].tolist()
