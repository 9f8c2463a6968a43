"""Command-line options that the fakes share."""

from collections.abc import Callable
from pathlib import Path

from click import ParamType, option
from click import Path as PathType

from bergamotwood_core.messages import Address
from bergamotwood_fakes.web import parse_address


class AddressType(ParamType):
    """Parameter type for an address of the form `host:port`."""

    name = "host:port"

    def convert(self, value, param, ctx):  # noqa: ANN001, ANN201
        """Parse the address, or report a usage error."""
        if isinstance(value, Address):
            return value
        try:
            return parse_address(value)
        except ValueError:
            self.fail(f"{value!r} is not of the form host:port", param, ctx)


ADDRESS = AddressType()
LISTEN = option(
    "--listen", type=ADDRESS, default="127.0.0.1:0", help="Port 0 selects a free port."
)
RECORDS = option(
    "--records", type=PathType(path_type=Path), help="File for JSON records of runs."
)


def add_endpoint_options(command: Callable) -> Callable:
    """Add the options of all fake endpoints."""
    for decorate in (
        option("--id", "identity", required=True, help="Name of the endpoint."),
        LISTEN,
        option("--public", type=ADDRESS, help="Announced instead of --listen."),
        option("--entry", "entries", type=ADDRESS, multiple=True),
        option("--endpoint-key", default="", help="Key for announcements."),
        option("--data-centre", default="local"),
        option("--capacity", type=int, default=16, show_default=True),
        option("--leave-seconds", type=float, default=2.0, show_default=True),
        RECORDS,
    ):
        command = decorate(command)
    return command
