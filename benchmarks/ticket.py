"""Tickets: time to validate and apply one, by size of the configuration."""

from json import dumps
from time import perf_counter
from typing import Any

from click import command, option

from benchmarks.report import Row, find_percentiles, write_report
from bergamotwood_core.control import (
    ApplyTicket,
    ControlMachine,
    decode_answer,
    encode_command,
)
from bergamotwood_core.states import TicketOutcome

# Numbers of workspaces, and of models with two versions each.
SIZES = ((10, 3), (100, 10), (1_000, 40))
TICKETS = 200
WORKSPACES_PER_TICKET = 100
MILLISECONDS = 1e3


def make_initial_tickets(workspaces: int, models: int) -> list[dict[str, Any]]:
    """Make the tickets that create the initial configuration."""
    names = [f"model-{number}" for number in range(models)]
    versions = [f"{name}:{version}" for name in names for version in (1, 2)]
    tickets: list[dict[str, Any]] = [
        {
            "models": [_make_model(name) for name in names],
            "cascades": [{"name": "all", "models": names[:3]}],
        }
    ]
    for first in range(0, workspaces, WORKSPACES_PER_TICKET):
        numbers = range(first, min(first + WORKSPACES_PER_TICKET, workspaces))
        batch = [_make_workspace(number, versions) for number in numbers]
        tickets.append({"workspaces": batch})
    return tickets


def apply_ticket(machine: ControlMachine, content: dict[str, Any]) -> float:
    """Apply a ticket with the next number and return the time in milliseconds."""
    index = machine.tables.index + 1
    ticket = dumps({"number": index, **content}).encode()
    command = encode_command(ApplyTicket(ticket))
    started = perf_counter()
    answer = machine.apply(index, command)
    milliseconds = (perf_counter() - started) * MILLISECONDS
    decoded = decode_answer(answer)
    if decoded.outcome is not TicketOutcome.ACCEPTED:
        raise RuntimeError(f"ticket refused: {decoded}")
    return milliseconds


def measure_size(workspaces: int, models: int) -> Row:
    """Measure tickets that each change one model at one configuration size."""
    machine = ControlMachine()
    for ticket in make_initial_tickets(workspaces, models):
        apply_ticket(machine, ticket)
    durations = []
    for price in range(TICKETS):
        model = {**_make_model("model-0"), "versions": _list_versions(price)}
        durations.append(apply_ticket(machine, {"models": [model]}))
    withdrawn = {"id": "model-0:2", "state": "withdrawn"}
    model = {**_make_model("model-0"), "versions": [_list_versions(1)[0], withdrawn]}
    withdrawal = apply_ticket(machine, {"models": [model]})
    p50, p95, _ = find_percentiles(durations)
    started = perf_counter()
    snapshot = machine.snapshot()
    return {
        "workspaces": workspaces,
        "models": models,
        "apply_p50_ms": p50,
        "apply_p95_ms": p95,
        "withdraw_ms": withdrawal,
        "snapshot_ms": (perf_counter() - started) * MILLISECONDS,
        "snapshot_kb": len(snapshot) / 1e3,
    }


def _make_model(name: str) -> dict[str, Any]:
    versions = [{"id": f"{name}:1"}, {"id": f"{name}:2"}]
    return {"name": name, "current": f"{name}:1", "versions": versions}


def _make_workspace(number: int, versions: list[str]) -> dict[str, Any]:
    name = f"workspace-{number}"
    return {"name": name, "versions": versions, "cascades": ["all"]}


def _list_versions(price: float) -> list[dict[str, Any]]:
    return [{"id": f"model-0:{number}", "input_price": price} for number in (1, 2)]


@command()
@option("--short", is_flag=True, help="Without the largest size.")
def main(short: bool) -> None:
    """Measure tickets on one core; nothing is random."""
    sizes = SIZES[:2] if short else SIZES
    write_report("ticket", 0, [measure_size(*size) for size in sizes])


if __name__ == "__main__":
    main()
