"""Entries of the fleet, as callers and other entries know them."""

from collections.abc import Iterable
from random import Random

from msgspec import Struct

from bergamotwood_core.ids import DataCentre, InstanceId, ServiceName

# Maximum number of entries listed in one answer to a caller.
MAX_ADDRESSES = 64


class EntryAddress(Struct, frozen=True, array_like=True):
    """Addresses of an entry, and whether it can serve.

    Parameters
    ----------
    instance : InstanceId
        Address of the entry for other daemons.
    address : str
        Address that callers connect to.
    data_centre : DataCentre
        Data centre in which it runs.
    is_ready : bool
        Whether callers should connect to it.
    relay_address : str
        Address at which it accepts requests from other entries; empty if it does not.
    lost_services : tuple of ServiceName
        Services whose endpoints it cannot connect to.
    """

    instance: InstanceId
    address: str
    data_centre: DataCentre
    is_ready: bool
    relay_address: str = ""
    lost_services: tuple[ServiceName, ...] = ()


def list_reaching(entries: Iterable[EntryAddress]) -> list[EntryAddress]:
    """Return the entries that reach every service which any entry reaches.

    It answers partitions of entries from endpoints: callers are better served by the
    other entries. A service that no entry reaches makes no difference.
    """
    entries = list(entries)
    lost = [frozenset(entry.lost_services) for entry in entries]
    lost_everywhere = frozenset.intersection(*lost) if lost else frozenset()
    return [
        entry
        for entry, services in zip(entries, lost, strict=True)
        if services <= lost_everywhere
    ] or entries


def choose_addresses(
    entries: Iterable[EntryAddress], data_centre: DataCentre, rng: Random
) -> list[str]:
    """Return the addresses of ready entries for a caller in a data centre.

    Entries of other data centres are listed only if this one has no ready entry that
    reaches the endpoints.
    """
    usable = list_reaching(entry for entry in entries if entry.is_ready)
    near = [entry.address for entry in usable if entry.data_centre == data_centre]
    listed = near or [entry.address for entry in usable]
    if len(listed) <= MAX_ADDRESSES:
        return listed
    return rng.sample(listed, MAX_ADDRESSES)
