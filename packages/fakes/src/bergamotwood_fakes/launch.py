"""Start of processes that print one JSON line with their port."""

from os import environ
from pathlib import Path
from sys import executable, path

from gevent.subprocess import PIPE, Popen
from msgspec import Struct, json


class StartMessage(Struct):
    """The line that a stand-in prints when it listens."""

    id: str
    kind: str
    port: int


def launch_module(module: str, options: list[str], log: Path | None = None) -> Popen:
    """Start a Python module in a process of its own, its output in a pipe.

    Parameters
    ----------
    module : str
        Dotted name.
    options : list of str
        Its command line.
    log : Path, optional
        File that takes its errors.
    """
    if log is None:
        return Popen(_make_command(module, options), stdout=PIPE, env=_make_environ())
    with log.open("ab") as errors:
        return Popen(
            _make_command(module, options),
            stdout=PIPE,
            stderr=errors,
            env=_make_environ(),
        )


def launch_logged(
    module: str,
    options: list[str],
    log: Path,
    variables: dict[str, str] | None = None,
) -> Popen:
    """Start a Python module whose output and errors go to a file.

    Parameters
    ----------
    module : str
        Dotted name.
    options : list of str
        Its command line.
    log : Path
        File that takes its output.
    variables : dict, optional
        Environment variables beside those of this process.
    """
    with log.open("ab") as output:
        return Popen(
            _make_command(module, options),
            stdout=output,
            stderr=output,
            env={**_make_environ(), **(variables or {})},
        )


def read_start_message(process: Popen) -> StartMessage:
    """Wait for the line that a stand-in prints.

    Raises
    ------
    RuntimeError
        When the process ended before.
    """
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f"{process.args} ended with {process.wait()}")
    return json.decode(line, type=StartMessage)


def _make_command(module: str, options: list[str]) -> list[str]:
    """Make the command line of a module."""
    return [executable, "-m", module, *options]


def _make_environ() -> dict[str, str]:
    """Make an environment in which a child finds the same packages."""
    return {**environ, "PYTHONPATH": ":".join(entry for entry in path if entry)}
