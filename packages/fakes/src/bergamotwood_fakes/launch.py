"""Launching of Python modules as child processes."""

from os import environ
from pathlib import Path
from sys import executable, path

from gevent.subprocess import PIPE, Popen
from msgspec import Struct, json


class StartMessage(Struct):
    """The JSON line that a fake prints once it listens."""

    id: str
    kind: str
    port: int


def launch_module(module: str, options: list[str], log: Path | None = None) -> Popen:
    """Start a Python module in a child process and pipe its standard output.

    Parameters
    ----------
    module : str
        Dotted name.
    options : list of str
        Command-line arguments.
    log : Path, optional
        File to which standard error is appended; inherited by default.
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
    """Start a Python module in a child process and log all its output to a file.

    Parameters
    ----------
    module : str
        Dotted name.
    options : list of str
        Command-line arguments.
    log : Path
        File to which standard output and standard error are appended.
    variables : dict, optional
        Environment variables in addition to those of this process.
    """
    with log.open("ab") as output:
        return Popen(
            _make_command(module, options),
            stdout=output,
            stderr=output,
            env={**_make_environ(), **(variables or {})},
        )


def read_start_message(process: Popen) -> StartMessage:
    """Wait for the start message of a fake.

    Raises
    ------
    RuntimeError
        When the process exited without printing one.
    """
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(
            f"{process.args} exited with status {process.wait()} "
            "before its start message"
        )
    return json.decode(line, type=StartMessage)


def _make_command(module: str, options: list[str]) -> list[str]:
    """Make the command line that runs a module."""
    return [executable, "-m", module, *options]


def _make_environ() -> dict[str, str]:
    """Make an environment in which a child process finds the same packages."""
    return {**environ, "PYTHONPATH": ":".join(entry for entry in path if entry)}
