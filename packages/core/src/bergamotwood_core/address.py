"""Choice of the entry addresses that a caller gets."""

from random import Random

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import DataCentre, LogIndex
from bergamotwood_core.messages import EntryReport
from bergamotwood_core.states import EntryState
from bergamotwood_core.tables import DirectoryTables, Entry

# Seconds without a word after which an entry is taken out.
ENTRY_EXPIRY_SECONDS = 5.0


def choose_addresses(
    tables: DirectoryTables,
    near: DataCentre | None,
    minimum_index: LogIndex,
    now: Seconds,
    rng: Random,
    limit: int,
) -> tuple[EntryReport, ...]:
    """Choose the entries that a caller should use, best first.

    Entries with a fresh enough configuration come first, then those near the
    caller. Within a group the order is random, with weights that fall with the
    requests in flight, so that callers who ask together are spread.

    Parameters
    ----------
    tables : DirectoryTables
        Who is there.
    near : DataCentre or None
        Data centre of the caller, if known.
    minimum_index : LogIndex
        Configuration index that counts as fresh.
    now : Seconds
        The time.
    rng : Random
        Seeded generator.
    limit : int
        Addresses at most.

    Returns
    -------
    tuple of EntryReport
        Never a draining entry, nor one that was not heard in time.
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
    # The least of exponential draws falls on each entry by its weight.
    weight = 1.0 / (1.0 + max(report.in_flight, 0))
    return is_stale, is_far, rng.expovariate(weight)
