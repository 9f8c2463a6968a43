"""Stories told from log files: one request, or what all daemons came to believe."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TextIO

from click import ClickException, argument, command, echo
from click import Path as PathType
from msgspec import DecodeError, json

Line = dict[str, Any]

# Fields that each line has, or that the story names at its head.
OMITTED = frozenset(
    ("message", "message_type", "timestamp", "task_uuid", "task_level", "request")
)
# Parts whose lines are about one request; all other lines are changes of belief.
REQUEST_PARTS = frozenset(("request", "attempt"))
LOG_FILES = argument(
    "files", nargs=-1, type=PathType(exists=True, dir_okay=False, path_type=Path)
)


@command()
@argument("request")
@LOG_FILES
def explain(request: str, files: tuple[Path, ...]) -> None:
    """Tell what became of a request, from log files or standard input."""
    lines = [line for line in read_lines(files) if line.get("request") == request]
    if not lines:
        raise ClickException(f"{request}: no line of the logs names this request")
    for line in sort_lines(lines):
        echo(describe_line(line))


@command()
@LOG_FILES
def timeline(files: tuple[Path, ...]) -> None:
    """Tell in one order what all daemons came to believe."""
    changes = [
        line
        for line in read_lines(files)
        if line.get("message_type") not in REQUEST_PARTS
    ]
    for line in sort_lines(changes):
        echo(describe_line(line))


def read_lines(files: Iterable[Path]) -> Iterator[Line]:
    """Read log lines; text before the JSON document of a line names its source."""
    paths = list(files)
    if not paths:
        yield from _read_stream(sys.stdin, "")
    for path in paths:
        with path.open() as stream:
            yield from _read_stream(stream, path.stem)


def sort_lines(lines: Iterable[Line]) -> list[Line]:
    """Return lines in the order of their time of day."""
    return sorted(lines, key=lambda line: line.get("timestamp", 0.0))


def describe_line(line: Line) -> str:
    """Return a line as a person reads it: time, source, sentence, facts."""
    facts = " ".join(
        f"{name}={_describe(value)}"
        for name, value in line.items()
        if name not in OMITTED and name != "source"
    )
    at = line.get("timestamp", 0.0)
    return f"{at:.3f} {line['source'] or '-'} {line.get('message', '?')} {facts}"


def _read_stream(stream: TextIO, name: str) -> Iterator[Line]:
    for text in stream:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.decode(text[start:])
        except DecodeError:
            # A cut line at the end of a file, or output that is no log line.
            continue
        if isinstance(line, dict):
            before = text[:start].split()
            line["source"] = before[-1] if before else name
            yield line


def _describe(value: object) -> str:
    match value:
        case float():
            return f"{value:g}"
        case list():
            return "[" + ", ".join(_describe(item) for item in value) + "]"
        case None:
            return "-"
    return str(value)
