"""Subcommands for instances and endpoints."""

from typing import Any

from click import command, echo, pass_obj

from bergamotctl.client import Client
from bergamotctl.context import exit_on_error, json_option
from bergamotctl.output import print_json, print_table


@command()
@json_option
@pass_obj
@exit_on_error
def status(client: Client, as_json: bool) -> None:
    """Show the state of the entry that responds."""
    document = client.get("/v1/status")
    if as_json:
        print_json(document)
        return
    fields = {name: value for name, value in document.items() if name != "entries"}
    print_table(("field", "value"), fields.items())
    echo()
    _print_entries(document["entries"])


@command()
@json_option
@pass_obj
@exit_on_error
def endpoints(client: Client, as_json: bool) -> None:
    """List the endpoints that announce themselves."""
    views = client.get("/v1/endpoints")
    if as_json:
        print_json(views)
        return
    headers = (
        "id",
        "data centre",
        "address",
        "kind",
        "state",
        "versions",
        "load",
        "capacity",
        "heard",
    )
    ordered = sorted(views, key=lambda item: item["announcement"]["id"])
    print_table(headers, map(_make_endpoint_row, ordered))


@command()
@json_option
@pass_obj
@exit_on_error
def entries(client: Client, as_json: bool) -> None:
    """List the entry instances."""
    views = client.get("/v1/entries")
    if as_json:
        print_json(views)
        return
    _print_entries(views)


@command()
@json_option
@pass_obj
@exit_on_error
def drain(client: Client, as_json: bool) -> None:
    """Start a graceful shutdown of the entry named by --entry."""
    if len(client.entries) != 1:
        echo("bergamotctl: name exactly one entry with --entry", err=True)
        raise SystemExit(2)
    document = client.post("/v1/drain")
    if as_json:
        print_json(document)
        return
    echo(f"{client.entries[0]}: draining")


def _print_entries(views: list[dict[str, Any]]) -> None:
    headers = ("id", "data centre", "address", "state", "in flight", "index", "heard")
    ordered = sorted(views, key=lambda item: item["report"]["id"])
    print_table(headers, map(_make_entry_row, ordered))


def _make_entry_row(view: dict[str, Any]) -> tuple[object, ...]:
    report = view["report"]
    return (
        report["id"],
        report["data_centre"],
        _format_address(report["address"]),
        report["state"],
        report["in_flight"],
        report["applied"],
        _format_age(view["heard_seconds_ago"]),
    )


def _make_endpoint_row(view: dict[str, Any]) -> tuple[object, ...]:
    announcement = view["announcement"]
    return (
        announcement["id"],
        announcement["data_centre"],
        _format_address(announcement["address"]),
        announcement["kind"],
        announcement["state"],
        announcement["versions"],
        announcement["load"],
        announcement["capacity"],
        _format_age(view["heard_seconds_ago"]),
    )


def _format_address(address: dict[str, Any]) -> str:
    return f"{address['host']}:{address['port']}"


def _format_age(seconds: float) -> str:
    return f"{seconds:.1f} s ago"
