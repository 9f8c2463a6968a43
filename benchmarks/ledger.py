"""Ledger state machine: time and size of commands, memory for stored keys."""

from collections.abc import Iterable
from gc import collect
from random import Random
from time import perf_counter
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from click import command, option

from benchmarks.report import Row, write_report
from bergamotwood_core.key_table import MAX_EXPIRED_KEYS, MAX_KEYS, hash_scope
from bergamotwood_core.ledger import (
    Attempt,
    Bill,
    Claim,
    Finish,
    LedgerCommand,
    LedgerMachine,
    RecordBill,
    StoredAnswer,
    encode_command,
)

# Numbers of stored idempotency keys.
SIZES = (1_000, 5_000, 20_000)
SHORT_SIZES = (500, 1_000, 2_000)
COMMANDS = 2_000
ANSWER_BYTES = 512
WORKSPACES = 10
MICROSECONDS = 1e6


class LedgerDriver:
    """Applies commands generated from a seed to a ledger state machine."""

    def __init__(self, seed: int) -> None:
        self.machine = LedgerMachine()
        self.index = 0
        self._rng = Random(seed)
        self._sequence = 0

    def make_claim_and_finish(self) -> tuple[Claim, Finish]:
        """Make the claim and the finish of one request with an idempotency key."""
        bill = self.make_bill(keyed=True)
        token = f"{self._rng.getrandbits(128):032x}"
        body = self._rng.randbytes(ANSWER_BYTES)
        answer = StoredAnswer(200, "application/json", body)
        claim = Claim(bill.workspace, bill.key, bill.digest, token, bill.request)
        return claim, Finish(bill.workspace, bill.key, token, answer, bill)

    def make_bill(self, keyed: bool = False) -> Bill:
        """Make the bill of a request that escalated to a second version."""
        self._sequence += 1
        tokens = self._rng.randrange(100, 4_000)
        attempts = (
            Attempt("reader-small:1", "karen-engine-1", tokens, 200, 0.3, "escalated"),
            Attempt("reader-large:1", "karen-engine-7", tokens, 250, 2.5, "accepted"),
        )
        return Bill(
            f"karen-1-1764750000000000-{self._sequence}",
            f"workspace-{self._sequence % WORKSPACES}",
            f"{self._rng.getrandbits(128):032x}" if keyed else None,
            f"{self._rng.getrandbits(256):064x}",
            attempts,
            2.8,
        )

    def apply_commands(self, encoded_commands: Iterable[bytes]) -> int:
        """Apply encoded commands and return the total size of the answers in bytes."""
        size = 0
        for content in encoded_commands:
            self.index += 1
            size += len(self.machine.apply(self.index, content))
        return size

    def store_keys(self, keys: int) -> None:
        """Claim and finish this many keys."""
        for _ in range(keys):
            self.apply_commands(map(encode_command, self.make_claim_and_finish()))


def measure_commands(
    driver: LedgerDriver, kind: str, commands: list[LedgerCommand]
) -> Row:
    """Measure the time and size of applying one kind of command."""
    encoded_commands = [encode_command(item) for item in commands]
    keys = len(driver.machine.keys.records)
    started = perf_counter()
    answer_bytes = driver.apply_commands(encoded_commands)
    elapsed = perf_counter() - started
    return {
        "command": kind,
        "keys": keys,
        "us_each": elapsed / len(encoded_commands) * MICROSECONDS,
        "command_bytes": sum(map(len, encoded_commands)) / len(encoded_commands),
        "answer_bytes": answer_bytes / len(encoded_commands),
    }


def measure_kinds(seed: int, keys: int) -> list[Row]:
    """Measure each kind of command while this many keys are stored."""
    driver = LedgerDriver(seed)
    driver.store_keys(keys)
    pairs = [driver.make_claim_and_finish() for _ in range(COMMANDS)]
    claims = [claim for claim, _ in pairs]
    finishes = [finish for _, finish in pairs]
    bills = [RecordBill(driver.make_bill()) for _ in range(COMMANDS)]
    keyed = [RecordBill(driver.make_bill(keyed=True)) for _ in range(COMMANDS)]
    return [
        measure_commands(driver, "claim", claims),
        measure_commands(driver, "claim again", claims),
        measure_commands(driver, "finish", finishes),
        measure_commands(driver, "bill", bills),
        measure_commands(driver, "bill again", bills),
        measure_commands(driver, "bill with key", keyed),
    ]


def measure_memory(seed: int, keys: int, hashes: int) -> Row:
    """Measure memory and snapshot with these numbers of keys and expired-key hashes."""
    collect()
    start_tracing()
    driver = LedgerDriver(seed)
    driver.store_keys(keys)
    for number in range(hashes):
        driver.machine.keys.expired[hash_scope(("workspace", str(number)))] = 1.0
    collect()
    size, _ = get_traced_memory()
    stop_tracing()
    started = perf_counter()
    snapshot = driver.machine.snapshot()
    dumped = perf_counter()
    LedgerMachine().restore(snapshot)
    restored = perf_counter()
    counts = driver.machine.count_entities()
    return {
        "keys_kept": counts["keys"],
        "hashes_kept": counts["expired_keys"],
        "bills_kept": counts["bills"],
        "memory_mb": size / 1e6,
        "snapshot_mb": len(snapshot) / 1e6,
        "snapshot_s": dumped - started,
        "restore_s": restored - dumped,
    }


@command()
@option("--seed", default=1, show_default=True)
@option("--short", is_flag=True, help="Small sizes.")
def main(seed: int, short: bool) -> None:
    """Measure the ledger's state machine on one core."""
    sizes = SHORT_SIZES if short else SIZES
    rows = [row for size in sizes for row in measure_kinds(seed, size)]
    write_report("ledger-commands", seed, rows)
    memory = [measure_memory(seed, size, 0) for size in sizes]
    if not short:
        memory.append(measure_memory(seed, MAX_KEYS, MAX_EXPIRED_KEYS))
    write_report("ledger-memory", seed, memory)


if __name__ == "__main__":
    main()
