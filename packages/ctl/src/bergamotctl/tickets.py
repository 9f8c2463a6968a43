"""Subcommands for tickets."""

from time import monotonic
from typing import Any

from click import File, IntRange, argument, echo, group, option, pass_obj
from gevent import sleep

from bergamotctl.client import Client
from bergamotctl.context import exit_on_error, json_option
from bergamotctl.output import print_json, print_table
from bergamotwood_core.errors import AnswerError, Code, WaitError

POLL_INTERVAL_SECONDS = 0.2
MAX_SHOWN_NAMES = 3
DEFAULT_TIMEOUT_SECONDS = 30.0

file_argument = argument("file", type=File("rb"))
timeout_option = option(
    "--timeout",
    type=float,
    default=DEFAULT_TIMEOUT_SECONDS,
    show_default=True,
    help="Maximum wait in seconds.",
)


@group()
def ticket() -> None:
    """Check, apply and look up numbered tickets."""


@ticket.command()
@file_argument
@json_option
@pass_obj
@exit_on_error
def check(client: Client, file: Any, as_json: bool) -> None:
    """Show what the ticket in FILE would change and what is wrong with it.

    Nothing is applied. FILE is YAML or JSON; - reads standard input.
    """
    document = client.post("/v1/tickets/check", file.read())
    if as_json:
        print_json(document)
    else:
        _print_changes(document["changes"])
    if document["faults"]:
        faults = tuple(document["faults"])
        detail = "the ticket would be rejected"
        raise AnswerError(detail, Code.TICKET_INVALID, 200, faults)


@ticket.command()
@file_argument
@option(
    "--wait",
    is_flag=True,
    help="Wait until the ticket is in force at every live entry.",
)
@timeout_option
@json_option
@pass_obj
@exit_on_error
def apply(client: Client, file: Any, wait: bool, timeout: float, as_json: bool) -> None:
    """Apply the ticket in FILE. Applying the same file again is harmless."""
    submit_ticket(client, file.read(), wait, timeout, as_json)


@ticket.command(name="wait")
@argument("number", type=IntRange(min=1))
@timeout_option
@json_option
@pass_obj
@exit_on_error
def wait_for_number(client: Client, number: int, timeout: float, as_json: bool) -> None:
    """Wait until ticket NUMBER is in force at every live entry."""
    index = client.get(f"/v1/tickets/{number}")["index"]
    waited_seconds = wait_for_index(client, index, timeout)
    document = {"number": number, "index": index, "seconds": waited_seconds}
    if as_json:
        print_json(document)
    else:
        echo(f"ticket {number} is in force everywhere (index {index})")


@ticket.command()
@argument("number", type=IntRange(min=1))
@json_option
@pass_obj
@exit_on_error
def show(client: Client, number: int, as_json: bool) -> None:
    """Show the record of ticket NUMBER."""
    document = client.get(f"/v1/tickets/{number}")
    if as_json:
        print_json(document)
        return
    print_table(("field", "value"), document.items())


@ticket.command(name="list")
@option("--limit", type=IntRange(1, 1_000), default=20, show_default=True)
@json_option
@pass_obj
@exit_on_error
def list_tickets(client: Client, limit: int, as_json: bool) -> None:
    """List the newest accepted tickets."""
    records = client.get("/v1/tickets", limit=limit)
    if as_json:
        print_json(records)
        return
    rows = (
        (
            item["number"],
            item["index"],
            item["operator"],
            _shorten_names(item["names"]),
            item["note"],
        )
        for item in records
    )
    print_table(("number", "index", "operator", "objects", "note"), rows)


def submit_ticket(
    client: Client, body: bytes, wait: bool, timeout: float, as_json: bool
) -> None:
    """Apply a ticket, print its outcome and, if requested, wait until it is in force.

    Raises
    ------
    AnswerError
        The ticket was rejected.
    WaitError
        The ticket was accepted but is not yet in force at every live entry.
    """
    answer = client.post("/v1/tickets", body)
    if as_json:
        print_json(answer)
    else:
        echo(f"ticket {answer['number']} {answer['outcome']}, index {answer['index']}")
    if not wait:
        return
    wait_for_index(client, answer["index"], timeout)
    if not as_json:
        echo("in force everywhere")


def wait_for_index(client: Client, index: int, timeout: float) -> float:
    """Wait until every live entry has applied a log index.

    Parameters
    ----------
    client : Client
        Client of the entries.
    index : int
        Log index of the ticket.
    timeout : float
        Maximum wait in seconds.

    Returns
    -------
    float
        Seconds waited.

    Raises
    ------
    WaitError
        An entry has not applied the index in time.
    """
    started_at = monotonic()
    while True:
        entries = client.get("/v1/entries")
        lagging = [_describe_entry(item) for item in entries if _is_behind(item, index)]
        waited_seconds = monotonic() - started_at
        if entries and not lagging:
            return waited_seconds
        if waited_seconds >= timeout:
            names = ", ".join(lagging) or "no entry is known yet"
            raise WaitError(f"not in force after {timeout:g} s at: {names}")
        sleep(POLL_INTERVAL_SECONDS)


def _shorten_names(names: list[str]) -> list[str]:
    if len(names) <= MAX_SHOWN_NAMES:
        return names
    return [*names[:MAX_SHOWN_NAMES], f"{len(names) - MAX_SHOWN_NAMES} more"]


def _is_behind(item: dict[str, Any], index: int) -> bool:
    return item["report"]["applied"] < index


def _describe_entry(item: dict[str, Any]) -> str:
    report = item["report"]
    return f"{report['id']} (index {report['applied']})"


def _print_changes(changes: list[dict[str, Any]]) -> None:
    if not changes:
        echo("no change")
    for change in changes:
        echo(f"{change['action']} {change['kind']} {change['name']}")
        for detail in change["details"]:
            echo(f"    {detail}")
