"""Start of processes that print one JSON line with their port."""

from os import environ
from pathlib import Path
from sys import executable, path

from gevent.subprocess import PIPE, Popen
from msgspec import Struct, json


class Started(Struct):
    """The line that a stand-in prints when it listens."""

    id: str
    kind: str
    port: int


def launch_module(module: str, options: list[str], log: Path | None = None) -> Popen:
    """Start a Python module in a process of its own.

    Parameters
    ----------
    module : str
        Dotted name.
    options : list of str
        Its command line.
    log : Path, optional
        File that takes its errors and, for a daemon, its output.
    """
    errors = log.open("ab") if log else None
    search = {**environ, "PYTHONPATH": ":".join(entry for entry in path if entry)}
    command = [executable, "-m", module, *options]
    return Popen(command, stdout=PIPE, stderr=errors, env=search)


def read_started(process: Popen) -> Started:
    """Wait for the line that a stand-in prints.

    Raises
    ------
    RuntimeError
        When the process ended before.
    """
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f"{process.args} ended with {process.wait()}")
    return json.decode(line, type=Started)
