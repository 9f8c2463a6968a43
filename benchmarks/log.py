"""Replicated log: commit latency, commands per second, recovery and memory.

The replicas run in one process with an in-memory transport, so three voters
share one core. Writes and syncs go to the real disk.
"""

from gc import collect
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import CLOCK_BOOTTIME, clock_gettime, perf_counter, process_time
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from click import command, option
from gevent import joinall, sleep, spawn

from benchmarks.report import Row, find_percentiles, print_table, write_report
from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId, LogIndex, ReplicaId, Term
from bergamotwood_core.logentries import Entries, Entry, EntryKind, EntryLog
from bergamotwood_core.membership import Membership
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.groupsettings import GroupSettings
from bergamotwood_daemon.journal import Journal

COMMAND_BYTES = 256
PROPOSERS = (1, 16, 128, 512)
BATCH_COMMANDS = 1_000
LOG_LENGTHS = (1_000, 10_000, 100_000)
IDLE_SECONDS = 5.0
PROPOSE_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.01
REPLICA_IDS = tuple(InstanceId(f"i{index}") for index in range(3))


class CountingMachine:
    """State machine that only counts commands, so that the log's cost is measured."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Count the command."""
        self.count += 1
        return b""

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def restore(self, snapshot: bytes) -> None:
        """Set the count."""
        self.count = int(snapshot)


class CountingTransport:
    """Delivers messages within the process and counts their bytes."""

    def __init__(self, groups: dict[InstanceId, LogGroup]) -> None:
        self.groups = groups
        self.bytes = 0

    def send(self, target: InstanceId, body: bytes) -> None:
        """Deliver a message immediately."""
        self.bytes += len(body)
        group = self.groups.get(target)
        if group is not None:
            group.receive(body)


def read_clock() -> Seconds:
    """Return the boot time in seconds, which also advances during suspend."""
    return Seconds(clock_gettime(CLOCK_BOOTTIME))


def start_groups(
    folder: Path, voters: int, seed: int, snapshot_entries: int
) -> tuple[dict[InstanceId, LogGroup], CountingTransport]:
    """Start the replicas of one group and wait until one holds the lease."""
    groups: dict[InstanceId, LogGroup] = {}
    transport = CountingTransport(groups)
    names = REPLICA_IDS[:voters]
    for index, name in enumerate(names):
        settings = GroupSettings(
            name, names, folder / name, snapshot_entries=snapshot_entries
        )
        group = LogGroup(
            "bench",
            settings,
            CountingMachine(),
            transport,
            read_clock,
            Random(seed + index),
        )
        group.start()
        groups[name] = group
    while not any(group.holds_lease(read_clock()) for group in groups.values()):
        sleep(POLL_SECONDS)
    return groups, transport


def find_leader(groups: dict[InstanceId, LogGroup]) -> LogGroup:
    """Return the leader."""
    return next(group for group in groups.values() if group.is_leader)


def measure_commits(
    folder: Path, voters: int, proposers: int, seconds: float, seed: int
) -> Row:
    """Measure commits by concurrent proposers that each wait for their answer."""
    groups, _ = start_groups(folder, voters, seed, snapshot_entries=20_000)
    leader = find_leader(groups)
    times: list[float] = []
    until = perf_counter() + seconds

    def propose() -> None:
        while perf_counter() < until:
            started = perf_counter()
            leader.propose(bytes(COMMAND_BYTES), PROPOSE_TIMEOUT_SECONDS)
            times.append(perf_counter() - started)

    cpu_seconds = process_time()
    started = perf_counter()
    joinall([spawn(propose) for _ in range(proposers)], raise_error=True)
    elapsed = perf_counter() - started
    cpu_seconds = process_time() - cpu_seconds
    for group in groups.values():
        group.stop(handover=False)
    p50, p95, p99 = find_percentiles(times)
    return {
        "voters": voters,
        "proposers": proposers,
        "commands_s": len(times) / elapsed,
        "p50_ms": p50 * 1000.0,
        "p95_ms": p95 * 1000.0,
        "p99_ms": p99 * 1000.0,
        "core_us_each": cpu_seconds / len(times) * 1e6,
    }


def measure_sync(folder: Path, count: int = 200) -> Row:
    """Measure the disk alone: sequential synced writes of single log entries."""
    journal = Journal(folder / "sync", ReplicaId("sync"))
    times = []
    for index in range(count):
        entry = _build_entry(index + 1)
        started = perf_counter()
        journal.save([Entries((entry,))])
        times.append(perf_counter() - started)
    journal.close()
    p50, p95, p99 = find_percentiles(times)
    return {
        "syncs": count,
        "p50_ms": p50 * 1000.0,
        "p95_ms": p95 * 1000.0,
        "p99_ms": p99 * 1000.0,
    }


def measure_recovery(folder: Path, entries: int, seed: int) -> Row:
    """Measure how long a single voter takes to start from a log without a snapshot."""
    groups, _ = start_groups(folder, 1, seed, snapshot_entries=10**9)
    leader = find_leader(groups)
    for _ in range(0, entries, BATCH_COMMANDS):
        jobs = [
            spawn(leader.propose, bytes(COMMAND_BYTES), PROPOSE_TIMEOUT_SECONDS)
            for _ in range(BATCH_COMMANDS)
        ]
        joinall(jobs, raise_error=True)
    size = leader.log_bytes
    leader.stop()
    started = perf_counter()
    groups, _ = start_groups(folder, 1, seed, snapshot_entries=10**9)
    leader = find_leader(groups)
    leader.read_barrier(PROPOSE_TIMEOUT_SECONDS)
    elapsed = perf_counter() - started
    leader.stop()
    started = perf_counter()
    journal = Journal(folder / REPLICA_IDS[0] / "bench", ReplicaId("unused"))
    read_seconds = perf_counter() - started
    journal.close()
    return {
        "entries": entries,
        "log_mb": size / 1e6,
        "read_ms": read_seconds * 1000.0,
        "start_to_lease_ms": elapsed * 1000.0,
    }


def measure_memory(entries: int) -> Row:
    """Measure the memory used by log entries."""
    collect()
    start_tracing()
    before = get_traced_memory()[0]
    log = EntryLog(LogIndex(0), Term(0), Membership(()))
    for index in range(entries):
        log.append(_build_entry(index + 1))
    after = get_traced_memory()[0]
    stop_tracing()
    return {
        "entries": len(log),
        "command_bytes": COMMAND_BYTES,
        "bytes_each": (after - before) / entries,
    }


def measure_idle(folder: Path, seed: int) -> Row:
    """Measure the traffic and CPU time of an idle group of three replicas."""
    groups, transport = start_groups(folder, 3, seed, snapshot_entries=1000)
    before = transport.bytes
    cpu_seconds = process_time()
    sleep(IDLE_SECONDS)
    cpu_seconds = process_time() - cpu_seconds
    sent = transport.bytes - before
    for group in groups.values():
        group.stop(handover=False)
    return {
        "replicas": 3,
        "group_bytes_s": sent / IDLE_SECONDS,
        "core_percent_each": cpu_seconds / IDLE_SECONDS / 3 * 100.0,
    }


def _build_entry(index: int) -> Entry:
    return Entry(
        LogIndex(index),
        Term(1),
        EntryKind.COMMAND,
        bytes([index % 256]) * COMMAND_BYTES,
    )


@command()
@option("--seed", default=1, show_default=True)
@option("--seconds", default=4.0, show_default=True, help="For each row of commits.")
@option(
    "--folder",
    default=None,
    help="Where the data folders are made; a temporary folder otherwise.",
)
def main(seed: int, seconds: float, folder: str | None) -> None:
    """Measure the replicated log on this machine's disk."""
    rows: list[Row] = []
    with TemporaryDirectory(dir=folder) as root:
        base = Path(root)
        print_table([measure_sync(base)])
        for voters in (1, 3):
            for proposers in PROPOSERS:
                commit_folder = base / f"commit-{voters}-{proposers}"
                rows.append(
                    measure_commits(commit_folder, voters, proposers, seconds, seed)
                )
        write_report("log-commits", seed, rows)
        write_report(
            "log-recovery",
            seed,
            [measure_recovery(base / f"r{n}", n, seed) for n in LOG_LENGTHS],
        )
        write_report("log-memory", seed, [measure_memory(n) for n in LOG_LENGTHS])
        write_report("log-idle", seed, [measure_idle(base / "idle", seed)])


if __name__ == "__main__":
    main()
