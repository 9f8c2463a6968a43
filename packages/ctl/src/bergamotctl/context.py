"""What every subcommand shares: connection options, output form, exit codes."""

from collections.abc import Callable
from enum import IntEnum
from functools import wraps
from sys import exit as leave
from typing import Any, ParamSpec

from click import echo, option

from bergamotwood_core.errors import (
    AnswerError,
    BergamotwoodError,
    Code,
    UnreachableError,
    WaitError,
)

Parameters = ParamSpec("Parameters")


class Exit(IntEnum):
    """Exit codes of the command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    INVALID = 4
    CONFLICT = 5
    NOT_FOUND = 6
    NOT_YET = 7
    FORBIDDEN = 8
    UNAVAILABLE = 9


_EXITS = {
    Code.TICKET_INVALID: Exit.INVALID,
    Code.TICKET_CONFLICT: Exit.CONFLICT,
    Code.TICKET_STALE: Exit.CONFLICT,
    Code.TICKET_UNKNOWN: Exit.NOT_FOUND,
    Code.UNKNOWN_PATH: Exit.NOT_FOUND,
    Code.UNAUTHENTICATED: Exit.FORBIDDEN,
    Code.FORBIDDEN: Exit.FORBIDDEN,
    Code.NO_QUORUM: Exit.UNAVAILABLE,
    Code.NOT_LEADER: Exit.UNAVAILABLE,
    Code.LEDGER_UNAVAILABLE: Exit.UNAVAILABLE,
    Code.MALFORMED_REQUEST: Exit.INVALID,
    Code.BODY_TOO_LARGE: Exit.INVALID,
}

# After these it is not known whether a ticket was accepted.
REPEATABLE = (Exit.UNREACHABLE, Exit.UNAVAILABLE)

json_option = option("--json", "as_json", is_flag=True, help="Print JSON.")


def choose_exit(error: BergamotwoodError) -> Exit:
    """Choose the exit code for an error."""
    match error:
        case UnreachableError():
            return Exit.UNREACHABLE
        case WaitError():
            return Exit.NOT_YET
        case AnswerError():
            return _EXITS.get(error.code, Exit.FAILED)
        case _:
            return Exit.FAILED


def leave_on_error(
    function: Callable[Parameters, Any],
) -> Callable[Parameters, None]:
    """Print an error with its faults and leave with its exit code."""

    @wraps(function)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        try:
            function(*args, **kwargs)
        except BergamotwoodError as error:
            echo(f"bergamotctl: {error.detail}", err=True)
            for fault in getattr(error, "faults", ()):
                echo(f"  {fault}", err=True)
            code = choose_exit(error)
            if code in REPEATABLE:
                echo("  To send the same again is harmless.", err=True)
            leave(code)

    return run
