"""Command line options that the stand-ins share."""

from collections.abc import Callable
from pathlib import Path

from click import ParamType, option
from click import Path as PathType

from bergamotwood_core.messages import Address
from bergamotwood_fakes.web import parse_address


class AddressType(ParamType):
    """An option of the form `host:port`."""

    name = "host:port"

    def convert(self, value, param, ctx):  # noqa: ANN001, ANN201
        """Read the address, or fail with a message."""
        if isinstance(value, Address):
            return value
        try:
            return parse_address(value)
        except ValueError:
            self.fail(f"{value!r} is no host:port", param, ctx)


ADDRESS = AddressType()
LISTEN = option(
    "--listen", type=ADDRESS, default="127.0.0.1:0", help="0 takes a free port."
)
RECORDS = option(
    "--records", type=PathType(path_type=Path), help="File of JSON lines of each run."
)


def add_endpoint_options(command: Callable) -> Callable:
    """Add the options of everything that announces itself."""
    for decorate in (
        option("--id", "identity", required=True, help="Name of the endpoint."),
        LISTEN,
        option("--public", type=ADDRESS, help="Announced in place of the own address."),
        option("--entry", "entries", type=ADDRESS, multiple=True),
        option("--endpoint-key", default="", help="Shown to the entries."),
        option("--data-centre", default="local"),
        option("--capacity", type=int, default=16, show_default=True),
        option("--leave-seconds", type=float, default=2.0, show_default=True),
        RECORDS,
    ):
        command = decorate(command)
    return command
