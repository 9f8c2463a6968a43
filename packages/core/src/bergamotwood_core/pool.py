"""Pools of the endpoints that run a version or service, by data centre."""

from numpy import array, uint64
from xxhash import xxh3_64_intdigest

from bergamotwood_core.states import EndpointState
from bergamotwood_core.tables import DirectoryTables, Pool, PoolKey


def find_pool(tables: DirectoryTables, key: PoolKey) -> Pool:
    """Return a pool from the cache, which is cleared when the membership changes.

    Parameters
    ----------
    tables : DirectoryTables
        Endpoints and their cached pools.
    key : PoolKey
        Key of the pool.
    """
    size = len(tables.endpoints)
    if tables.pools_version != tables.membership_version or tables.pools_size != size:
        tables.pools.clear()
        tables.pools_version = tables.membership_version
        tables.pools_size = size
    pool = tables.pools.get(key)
    if pool is None:
        pool = _make_pool(tables, key)
        tables.pools[key] = pool
    return pool


def _make_pool(tables: DirectoryTables, key: PoolKey) -> Pool:
    """Build a pool from the serving endpoints."""
    members = sorted(
        announcement.id
        for announcement in (row.announcement for row in tables.endpoints.values())
        if key.name in announcement.versions
        and announcement.state is EndpointState.SERVING
        and (announcement.data_centre in key.data_centres) is not key.elsewhere
    )
    hashes = [xxh3_64_intdigest(member.encode()) for member in members]
    return Pool(tuple(members), array(hashes, dtype=uint64))
