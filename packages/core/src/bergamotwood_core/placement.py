"""Choice of the endpoint that runs an attempt."""

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

# Random draws that look for two endpoints fit for work before all are looked at.
MAX_DRAWS = 8
# Endpoints in rendezvous order that are tried for a prefix or session.
AFFINITY_CHOICES = 3
# Pools up to this size are sorted whole.
SMALL_POOL = 32
# How much busier than the better of two the preferred endpoint may be, in shares
# of its capacity.
AFFINITY_SLACK = 0.4
# Prefix length from which a hit is worth the whole slack.
LONG_PREFIX_TOKENS = 5_000
# Prefix length where it is not known.
USUAL_PREFIX_TOKENS = 2_500
# Share of its capacity from which other data centres are looked at.
FULL_LOAD = 0.5
# How much less busy another data centre must be to be worth the way.
SPILL_MARGIN = 0.15

_MIX = uint64(0x9E3779B97F4A7C15)
_MASK = 0xFFFFFFFFFFFFFFFF


class Need(Struct, frozen=True):
    """What an attempt needs of an endpoint.

    Parameters
    ----------
    target : Target
        Version or service.
    data_centre : DataCentre
        Where the entry runs.
    nearby : tuple of DataCentre
        Data centres so near that they are tried before all others, and that a
        prefix held there is worth the way.
    prefix_hash : int or None
        64-bit hash of the prompt's prefix.
    prefix_tokens : int or None
        Length of that prefix; None when it is not known.
    session : SessionId or None
        Session of the request.
    excluded : frozenset of EndpointId
        Endpoints that the request may not use.
    """

    target: Target
    data_centre: DataCentre
    nearby: tuple[DataCentre, ...] = ()
    prefix_hash: int | None = None
    prefix_tokens: int | None = None
    session: SessionId | None = None
    excluded: frozenset[EndpointId] = frozenset()


def choose_endpoint(
    tables: DirectoryTables, need: Need, now: Seconds, rng: Random
) -> EndpointId | None:
    """Choose the endpoint for one attempt.

    The nearest data centre comes first. There the endpoint that holds the prefix
    or session is taken unless it is much busier than the better of two others.
    Another data centre is taken when the near one is full and it is not.

    Parameters
    ----------
    tables : DirectoryTables
        Endpoints, with this daemon's own outstanding work.
    need : Need
        What the attempt needs.
    now : Seconds
        Time of the choice.
    rng : Random
        Source of the draws.

    Returns
    -------
    EndpointId or None
        None when no endpoint runs the target.
    """
    best = _choose_by_load(tables, need, now, rng)
    key = _read_affinity(need)
    if best is None:
        return _choose_any(tables, need, rng)
    if key is None:
        return best.id
    preferred = _find_preferred(tables, need, now, key, best)
    return best.id if preferred is None else preferred.id


def estimate_load(endpoint: Endpoint) -> float:
    """Estimate the load of an endpoint if it took one more request.

    The endpoint's own report lags; what this daemon sent and finished since
    corrects it.

    Returns
    -------
    float
        Share of its capacity.
    """
    announcement = endpoint.announcement
    since = endpoint.outstanding - endpoint.outstanding_at_report
    running = max(announcement.load + since, endpoint.outstanding)
    return (running + 1.0) / announcement.capacity


def _list_pools(tables: DirectoryTables, need: Need) -> Iterator[Pool]:
    """List the pools that hold the target, the nearest first."""
    name = need.target.name
    near = (need.data_centre,)
    yield find_pool(tables, PoolKey(name, near))
    others = tuple(place for place in need.nearby if place != need.data_centre)
    if others:
        yield find_pool(tables, PoolKey(name, others))
    yield find_pool(tables, PoolKey(name, near + others, elsewhere=True))


def _is_worth_spill(candidate: Endpoint, best: Endpoint) -> bool:
    """Whether a farther endpoint is enough less busy than a nearer one."""
    return estimate_load(candidate) + SPILL_MARGIN < estimate_load(best)


def _choose_by_load(
    tables: DirectoryTables, need: Need, now: Seconds, rng: Random
) -> Endpoint | None:
    """Choose the better of two in the nearest pool that is not full."""
    best: Endpoint | None = None
    for pool in _list_pools(tables, need):
        candidate = _choose_of_two(tables, pool, need, now, rng)
        if candidate is None:
            continue
        if best is None or _is_worth_spill(candidate, best):
            best = candidate
        if estimate_load(best) < FULL_LOAD:
            return best
    return best


def _find_preferred(
    tables: DirectoryTables, need: Need, now: Seconds, key: int, best: Endpoint
) -> Endpoint | None:
    """Find the endpoint that holds the prefix or session, unless it is too busy.

    All near data centres count alike: a prefix saves more time than the way costs.
    """
    near = (need.data_centre, *need.nearby)
    pool = find_pool(tables, PoolKey(need.target.name, near))
    if not pool.endpoints:
        return None
    bound = estimate_load(best) + _allow_slack(need)
    for position in rank_endpoints(pool, key):
        endpoint = tables.endpoints[pool.endpoints[position]]
        if _is_fit(endpoint, need, now) and estimate_load(endpoint) <= bound:
            return endpoint
    return None


def _allow_slack(need: Need) -> float:
    """Say how much busier the preferred endpoint may be: by what a hit saves."""
    tokens = need.prefix_tokens
    if tokens is None:
        tokens = USUAL_PREFIX_TOKENS
    return AFFINITY_SLACK * min(1.0, tokens / LONG_PREFIX_TOKENS)


def _choose_of_two(
    tables: DirectoryTables, pool: Pool, need: Need, now: Seconds, rng: Random
) -> Endpoint | None:
    """Choose the better of two endpoints drawn at random."""
    size = len(pool.endpoints)
    drawn: list[Endpoint] = []
    for _ in range(MAX_DRAWS if size else 0):
        endpoint = tables.endpoints[pool.endpoints[int(rng.random() * size)]]
        if drawn and endpoint is drawn[0]:
            continue
        if _is_fit(endpoint, need, now):
            drawn.append(endpoint)
        if len(drawn) == 2:
            break
    if not drawn:
        rows = (tables.endpoints[id_] for id_ in pool.endpoints)
        drawn = [row for row in rows if _is_fit(row, need, now)]
    return min(drawn, key=_score, default=None)


def _choose_any(tables: DirectoryTables, need: Need, rng: Random) -> EndpointId | None:
    """Choose among ejected endpoints, when there are no others."""
    for pool in _list_pools(tables, need):
        allowed = [id_ for id_ in pool.endpoints if id_ not in need.excluded]
        if allowed:
            return rng.choice(allowed)
    return None


def _is_fit(endpoint: Endpoint, need: Need, now: Seconds) -> bool:
    """Whether an endpoint may get the attempt."""
    announcement = endpoint.announcement
    if need.excluded and announcement.id in need.excluded:
        return False
    if announcement.state is not EndpointState.SERVING:
        return False
    if endpoint.awaiting_first_token and is_silent(endpoint, now):
        return False
    return endpoint.ejected_until <= now


def _score(endpoint: Endpoint) -> float:
    """Score an endpoint by its load and its speed; lower is better."""
    return estimate_load(endpoint) * max(endpoint.first_token_seconds, 0.001)


def _read_affinity(need: Need) -> int | None:
    """Read the hash that keeps like requests together."""
    if need.prefix_hash is not None:
        return need.prefix_hash & _MASK
    if need.session is not None:
        return xxh3_64_intdigest(need.session.encode())
    return None


def rank_endpoints(pool: Pool, key: int) -> list[int]:
    """Rank a pool's endpoints by rendezvous hash.

    Parameters
    ----------
    pool : Pool
        The endpoints.
    key : int
        64-bit hash of what they are ranked for; every entry ranks alike.

    Returns
    -------
    list of int
        Positions in the pool, the preferred first.
    """
    mixed = (pool.hashes ^ uint64(key)) * _MIX
    if len(mixed) <= SMALL_POOL:
        return mixed.argsort()[:AFFINITY_CHOICES].tolist()
    lowest = mixed.argpartition(AFFINITY_CHOICES)[:AFFINITY_CHOICES]
    return lowest[mixed[lowest].argsort()].tolist()
