"""The command line of `bergamotctl`."""

from os import environ
from typing import IO

from click import Context, File, group, option, pass_context, version_option

from bergamotctl.bills import bill, claim
from bergamotctl.client import ENTRIES_VARIABLE, KEY_VARIABLE, Client
from bergamotctl.instances import drain, endpoints, entries, status
from bergamotctl.logs import explain, outcomes, timeline
from bergamotctl.rollouts import rollout
from bergamotctl.tickets import ticket


@group(epilog="Exit codes are listed in docs/OPERATIONS.md.")
@option(
    "--entry",
    "entries_given",
    multiple=True,
    envvar=ENTRIES_VARIABLE,
    help="Entry to send requests to, host:port or URL; repeat to name fallbacks.",
)
@option(
    "--key-file",
    type=File("r"),
    help=f"File with the key; without it, the key in {KEY_VARIABLE} is used.",
)
@option("--operator", envvar="BERGAMOTWOOD_OPERATOR", help="Name stored with tickets.")
@option("--ca-file", help="Certificates to trust for https.")
@version_option(package_name="bergamotctl")
@pass_context
def main(
    context: Context,
    entries_given: tuple[str, ...],
    key_file: IO[str] | None,
    operator: str | None,
    ca_file: str | None,
) -> None:
    """Operate a fleet of bergamotwood through any of its entries."""
    key = key_file.read() if key_file else environ.get(KEY_VARIABLE, "")
    context.obj = Client(entries_given, key.strip(), operator or "", ca_file)


_COMMANDS = (
    ticket,
    status,
    endpoints,
    entries,
    rollout,
    bill,
    claim,
    drain,
    explain,
    outcomes,
    timeline,
)

for _command in _COMMANDS:
    main.add_command(_command)
