"""Subcommands for roll-outs; each change is sent as a numbered ticket."""

from typing import Any

from click import argument, echo, group, option, pass_obj
from msgspec.json import encode

from bergamotctl.client import Client
from bergamotctl.context import exit_on_error, json_option
from bergamotctl.output import print_json, print_table
from bergamotctl.tickets import submit_ticket, timeout_option
from bergamotwood_core.errors import AnswerError, Code

wait_option = option("--wait", is_flag=True, help="Wait until the change is in force.")
preview_option = option(
    "--preview", is_flag=True, help="Print the ticket without applying it."
)


@group()
def rollout() -> None:
    """Show, pause and resume roll-outs, and withdraw candidates."""


@rollout.command(name="list")
@json_option
@pass_obj
@exit_on_error
def list_rollouts(client: Client, as_json: bool) -> None:
    """List the roll-outs."""
    views = _list_views(client.get("/v1/configuration"))
    if as_json:
        print_json(views)
        return
    headers = ("name", "model", "candidate", "state", "share", "exposed", "reason")
    print_table(headers, (tuple(view[name] for name in headers) for view in views))


@rollout.command()
@argument("name")
@json_option
@pass_obj
@exit_on_error
def show(client: Client, name: str, as_json: bool) -> None:
    """Show roll-out NAME."""
    views = _list_views(client.get("/v1/configuration"))
    view = next((view for view in views if view["name"] == name), None)
    if view is None:
        raise _make_unknown_error(name)
    if as_json:
        print_json(view)
        return
    print_table(("field", "value"), view.items())


@rollout.command()
@argument("name")
@wait_option
@timeout_option
@preview_option
@json_option
@pass_obj
@exit_on_error
def pause(client: Client, name: str, **options: Any) -> None:
    """Pause roll-out NAME: its share of new sessions stays as it is."""
    _change_state(client, name, "paused", **options)


@rollout.command()
@argument("name")
@wait_option
@timeout_option
@preview_option
@json_option
@pass_obj
@exit_on_error
def resume(client: Client, name: str, **options: Any) -> None:
    """Resume the paused roll-out NAME."""
    _change_state(client, name, "running", **options)


@rollout.command()
@argument("name")
@wait_option
@timeout_option
@preview_option
@json_option
@pass_obj
@exit_on_error
def withdraw(client: Client, name: str, **options: Any) -> None:
    """Stop roll-out NAME and withdraw its candidate version."""
    _change_state(client, name, "stopped", **options)


def _change_state(
    client: Client,
    name: str,
    state: str,
    *,
    wait: bool,
    timeout: float,
    preview: bool,
    as_json: bool,
) -> None:
    configuration = client.get("/v1/configuration")
    matching = [item for item in configuration["rollouts"] if item["name"] == name]
    if not matching:
        raise _make_unknown_error(name)
    ticket = {
        "number": configuration["ticket"] + 1,
        "note": f"rollout {name}: {state}",
        "rollouts": [{**matching[0], "state": state}],
    }
    if preview:
        print_json(ticket)
        return
    if not as_json:
        echo(f"ticket {ticket['number']}: {ticket['note']}")
    submit_ticket(client, encode(ticket), wait, timeout, as_json)


def _list_views(configuration: dict[str, Any]) -> list[dict[str, Any]]:
    progress = configuration["progress"]
    return [
        _make_view(item, progress.get(item["name"], {}))
        for item in configuration["rollouts"]
    ]


def _make_view(rollout: dict[str, Any], progress: dict[str, Any]) -> dict[str, Any]:
    stage = progress.get("stage", 0)
    return {
        **rollout,
        "state": progress.get("state", rollout["state"]),
        "stage": stage,
        "share": rollout["stages"][stage],
        "exposed": progress.get("exposed", 0),
        "reason": progress.get("reason", ""),
        "ticket": progress.get("ticket"),
    }


def _make_unknown_error(name: str) -> AnswerError:
    return AnswerError(f"roll-out {name}: unknown", Code.UNKNOWN_PATH, 404)
