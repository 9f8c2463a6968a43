"""Choice of the entry addresses returned to a caller."""

from random import Random

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import DataCentre, LogIndex
from bergamotwood_core.messages import EntryReport
from bergamotwood_core.states import EntryState
from bergamotwood_core.tables import DirectoryTables, Entry

# Time without a new report after which an entry is removed.
ENTRY_EXPIRY_SECONDS = 5.0


def choose_addresses(
    tables: DirectoryTables,
    near: DataCentre | None,
    minimum_index: LogIndex,
    now: Seconds,
    rng: Random,
    limit: int,
) -> tuple[EntryReport, ...]:
    """Choose the entries for a caller, best first.

    Entries are ordered by whether their configuration is fresh, then by whether
    they are near the caller. Within a group the order is random, with lower weights
    for entries with more requests in flight, so that simultaneous callers spread
    over the entries.

    Parameters
    ----------
    tables : DirectoryTables
        Known entries.
    near : DataCentre or None
        Data centre of the caller, if known.
    minimum_index : LogIndex
        Lowest log index of a configuration that counts as fresh.
    now : Seconds
        Current time.
    rng : Random
        Seeded random number generator.
    limit : int
        Maximum number of entries.

    Returns
    -------
    tuple of EntryReport
        Reports of entries that are not draining and have reported recently.
    """
    ranked = [
        (_rank_entry(entry.report, near, minimum_index, rng), entry.report)
        for entry in tables.entries.values()
        if _is_usable(entry, now)
    ]
    ranked.sort(key=lambda pair: pair[0])
    return tuple(report for _, report in ranked[:limit])


def _is_usable(entry: Entry, now: Seconds) -> bool:
    if entry.report.state is EntryState.DRAINING:
        return False
    return now - entry.heard_at <= ENTRY_EXPIRY_SECONDS


def _rank_entry(
    report: EntryReport, near: DataCentre | None, minimum_index: LogIndex, rng: Random
) -> tuple[bool, bool, float]:
    is_stale = report.applied < minimum_index
    is_far = near is not None and report.data_centre != near
    # With exponential draws, each entry comes first with a probability in
    # proportion to its weight.
    weight = 1.0 / (1.0 + max(report.in_flight, 0))
    return is_stale, is_far, rng.expovariate(weight)
