"""Directory: size of an announcement, time to merge it and to choose addresses."""

from collections.abc import Callable
from random import Random
from time import perf_counter

from click import command, option
from msgspec.json import encode
from msgspec.structs import replace

from benchmarks.report import Row, write_report
from bergamotwood_core.directory import (
    choose_addresses,
    decode_announcement,
    expire_endpoints,
    merge_announcement,
    merge_report,
)
from bergamotwood_core.messages import Address, Announcement, EntryReport
from bergamotwood_core.states import EndpointKind
from bergamotwood_core.tables import DirectoryTables

# Numbers of endpoints and entries: the present fleet, an intermediate size, the target.
SIZES = ((15, 8), (200, 60), (1_600, 330))
PREFIXES = (0, 64)
ROUNDS = 20
MICROSECONDS = 1e6


def make_announcement(number: int, prefixes: int, rng: Random) -> Announcement:
    """Make an endpoint's first announcement."""
    return Announcement(
        id=f"engine-{number}",
        incarnation=1_764_750_000_000_000,
        sequence=1,
        address=Address("10.0.0.1", 9_000),
        data_centre=f"centre-{number % 9}",
        kind=EndpointKind.MODEL,
        versions=("reader-small:1", "reader-small:2"),
        capacity=16,
        load=3.0,
        prefixes=tuple(rng.getrandbits(64) for _ in range(prefixes)),
    )


def make_report(number: int, rng: Random) -> EntryReport:
    """Make an entry's status report."""
    return EntryReport(
        f"entry-{number}",
        1,
        1,
        Address("10.0.0.1", 8_000),
        f"centre-{number % 9}",
        in_flight=rng.randrange(40),
        applied=100,
    )


def measure(function: Callable[[], object], times: int) -> float:
    """Measure the mean time of one call in microseconds."""
    started = perf_counter()
    for _ in range(times):
        function()
    return (perf_counter() - started) / times * MICROSECONDS


def measure_size(seed: int, endpoints: int, entries: int, prefixes: int) -> Row:
    """Measure the directory at one fleet size."""
    rng = Random(seed)
    tables = DirectoryTables()
    announcements = [
        make_announcement(number, prefixes, rng) for number in range(endpoints)
    ]
    bodies = [encode(announcement) for announcement in announcements]
    for number in range(entries):
        merge_report(tables, make_report(number, rng), 0.0)
    started = perf_counter()
    for announcement in announcements:
        merge_announcement(tables, announcement, 0.0)
    first_us = (perf_counter() - started) / endpoints * MICROSECONDS
    updates = [
        replace(announcement, sequence=2 + round_index)
        for round_index in range(ROUNDS)
        for announcement in announcements
    ]
    started = perf_counter()
    for announcement in updates:
        merge_announcement(tables, announcement, 1.0)
    repeated_us = (perf_counter() - started) / len(updates) * MICROSECONDS
    return {
        "endpoints": endpoints,
        "entries": entries,
        "prefixes": prefixes,
        "announcement_bytes": sum(map(len, bodies)) / endpoints,
        "decode_us": measure(lambda: decode_announcement(bodies[0]), 2_000),
        "first_us": first_us,
        "again_us": repeated_us,
        "expire_all_us": measure(lambda: expire_endpoints(tables, 2.0), 200),
        "addresses_us": measure(
            lambda: choose_addresses(tables, "centre-1", 100, 2.0, rng, 5), 200
        ),
    }


@command()
@option("--seed", default=1, show_default=True)
@option("--short", is_flag=True, help="Without the largest size.")
def main(seed: int, short: bool) -> None:
    """Measure the directory on one core."""
    sizes = SIZES[:2] if short else SIZES
    rows = [
        measure_size(seed, endpoints, entries, prefixes)
        for endpoints, entries in sizes
        for prefixes in PREFIXES
    ]
    write_report("directory", seed, rows)


if __name__ == "__main__":
    main()
