"""Parts shared by all subcommands: the option --json, exit codes and errors."""

from collections.abc import Callable
from enum import IntEnum
from functools import wraps
from sys import exit as exit_process
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


class ExitCode(IntEnum):
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


_EXIT_CODES = {
    Code.TICKET_INVALID: ExitCode.INVALID,
    Code.TICKET_CONFLICT: ExitCode.CONFLICT,
    Code.TICKET_STALE: ExitCode.CONFLICT,
    Code.TICKET_UNKNOWN: ExitCode.NOT_FOUND,
    Code.UNKNOWN_PATH: ExitCode.NOT_FOUND,
    Code.UNAUTHENTICATED: ExitCode.FORBIDDEN,
    Code.FORBIDDEN: ExitCode.FORBIDDEN,
    Code.NO_QUORUM: ExitCode.UNAVAILABLE,
    Code.NOT_LEADER: ExitCode.UNAVAILABLE,
    Code.LEDGER_UNAVAILABLE: ExitCode.UNAVAILABLE,
    Code.MALFORMED_REQUEST: ExitCode.INVALID,
    Code.BODY_TOO_LARGE: ExitCode.INVALID,
}

# With these exit codes it is unknown whether a ticket was accepted.
RETRYABLE_EXIT_CODES = (ExitCode.UNREACHABLE, ExitCode.UNAVAILABLE)

json_option = option("--json", "as_json", is_flag=True, help="Print JSON.")


def get_exit_code(error: BergamotwoodError) -> ExitCode:
    """Return the exit code for an error."""
    match error:
        case UnreachableError():
            return ExitCode.UNREACHABLE
        case WaitError():
            return ExitCode.NOT_YET
        case AnswerError():
            return _EXIT_CODES.get(error.code, ExitCode.FAILED)
        case _:
            return ExitCode.FAILED


def exit_on_error(
    function: Callable[Parameters, Any],
) -> Callable[Parameters, None]:
    """Make a command print an error with its faults and exit with its code."""

    @wraps(function)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        try:
            function(*args, **kwargs)
        except BergamotwoodError as error:
            echo(f"bergamotctl: {error.detail}", err=True)
            for fault in getattr(error, "faults", ()):
                echo(f"  {fault}", err=True)
            code = get_exit_code(error)
            if code in RETRYABLE_EXIT_CODES:
                echo("  Sending the same request again is harmless.", err=True)
            exit_process(code)

    return run
