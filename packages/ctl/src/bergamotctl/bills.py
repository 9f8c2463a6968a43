"""Subcommands for bills, and for claims of non-idempotent requests."""

from typing import Any
from urllib.parse import quote

from click import IntRange, argument, echo, group, option, pass_obj

from bergamotctl.client import Client
from bergamotctl.context import exit_on_error, json_option
from bergamotctl.output import print_json, print_table
from bergamotwood_core.bill_table import BILLIONTHS_PER_UNIT


@group()
def bill() -> None:
    """List, show and sum bills."""


@bill.command(name="list")
@option("--workspace", help="List only bills of this workspace.")
@option("--limit", type=IntRange(1, 1_000), default=20, show_default=True)
@json_option
@pass_obj
@exit_on_error
def list_bills(
    client: Client, workspace: str | None, limit: int, as_json: bool
) -> None:
    """List the newest bills."""
    bills = client.get("/v1/bills", workspace=workspace, limit=limit)
    if as_json:
        print_json(bills)
        return
    rows = (
        (
            item["request"],
            item["workspace"],
            item.get("key"),
            [attempt["target"] for attempt in item["attempts"]],
            item["cost"],
        )
        for item in bills
    )
    print_table(("request", "workspace", "key", "ran on", "cost"), rows)


@bill.command()
@argument("request")
@json_option
@pass_obj
@exit_on_error
def show(client: Client, request: str, as_json: bool) -> None:
    """Show the bill of REQUEST with all of its attempts."""
    document = client.get(f"/v1/bills/{quote(request, safe='')}")
    if as_json:
        print_json(document)
        return
    for name in ("request", "workspace", "key", "cost"):
        echo(f"{name}: {document.get(name) or '-'}")
    headers = (
        "target",
        "endpoint",
        "prompt_tokens",
        "output_tokens",
        "cost",
        "outcome",
    )
    rows = ([item[name] for name in headers] for item in document["attempts"])
    print_table(headers, rows)


@bill.command()
@json_option
@pass_obj
@exit_on_error
def total(client: Client, as_json: bool) -> None:
    """Show the total of all bills for each workspace."""
    totals = client.get("/v1/totals")
    if as_json:
        print_json(totals)
        return
    headers = (
        "workspace",
        "bills",
        "attempts",
        "prompt tokens",
        "output tokens",
        "cost",
    )
    rows = [_make_total_row(name, item) for name, item in sorted(totals.items())]
    print_table(headers, rows)


@group()
def claim() -> None:
    """Show claims of non-idempotent requests."""


@claim.command(name="show")
@argument("workspace")
@argument("key")
@json_option
@pass_obj
@exit_on_error
def show_claim(client: Client, workspace: str, key: str, as_json: bool) -> None:
    """Show the claim for the idempotency KEY of WORKSPACE."""
    path = f"/v1/claims/{quote(workspace, safe='')}/{quote(key, safe='')}"
    document = client.get(path)
    if as_json:
        print_json(document)
        return
    answer = document.get("answer") or {}
    fields = {
        "state": document["state"],
        "request": document["request"],
        "billed": document.get("billed"),
        "answer status": answer.get("status"),
        "digest": document["digest"],
    }
    print_table(("field", "value"), fields.items())


def _make_total_row(workspace: str, item: dict[str, Any]) -> tuple[object, ...]:
    return (
        workspace,
        item["bills"],
        item["attempts"],
        item["prompt_tokens"],
        item["output_tokens"],
        item["cost_billionths"] / BILLIONTHS_PER_UNIT,
    )
