"""Subcommands that read log files: the history of a request, or of many."""

import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TextIO

from click import ClickException, argument, command, echo
from click import Path as PathType
from msgspec import DecodeError, json

LogRecord = dict[str, Any]

# Fields that are in every record or that the output shows elsewhere.
OMITTED_FIELDS = frozenset(
    ("message", "message_type", "timestamp", "task_uuid", "task_level", "request")
)
# Types of records about a single request; all others record a change of state.
REQUEST_MESSAGE_TYPES = frozenset(("request", "attempt"))
# Lowest status of a response that reports an error of the server.
MIN_SERVER_ERROR = 500
files_argument = argument(
    "files", nargs=-1, type=PathType(exists=True, dir_okay=False, path_type=Path)
)


@command()
@argument("request")
@files_argument
def explain(request: str, files: tuple[Path, ...]) -> None:
    """Show what happened to REQUEST, ordered by time.

    Reads standard input if no FILES are given.
    """
    records = [
        record for record in read_records(files) if record.get("request") == request
    ]
    if not records:
        raise ClickException(f"{request}: no line of the logs names this request")
    for record in sort_records(records):
        echo(format_record(record))


@command()
@files_argument
def timeline(files: tuple[Path, ...]) -> None:
    """Show state changes logged by all daemons, ordered by time.

    Reads standard input if no FILES are given.
    """
    records = [
        record
        for record in read_records(files)
        if record.get("message_type") not in REQUEST_MESSAGE_TYPES
    ]
    for record in sort_records(records):
        echo(format_record(record))


@command()
@files_argument
def outcomes(files: tuple[Path, ...]) -> None:
    """Count how requests ended, by cause.

    Requests that were cut off with their process have no line and are not counted.
    Reads standard input if no FILES are given.
    """
    counts = Counter(
        outcome
        for record in read_records(files)
        if (outcome := find_outcome(record)) is not None
    )
    if not counts:
        raise ClickException("no line of the logs ends a request")
    total = sum(counts.values())
    for (ending, cause), count in counts.most_common():
        echo(f"{count:8d} {100.0 * count / total:6.2f} %  {ending:<10} {cause}")


def find_outcome(record: LogRecord) -> tuple[str, str] | None:
    """Return how a record ends a request, and why; None if it ends none."""
    match record.get("message"):
        case "request: Answered." if record.get("status", 0) >= MIN_SERVER_ERROR:
            return "answered", f"the endpoint's own {record['status']}"
        case "request: Answered.":
            return "answered", f"status {record.get('status', '?')}"
        case "request: Refused.":
            return "refused", str(record.get("code", "?"))
        case "request: Failed.":
            return "failed", str(record.get("code", "?"))
        case "request: Caller disconnected.":
            return "left", "the caller closed the connection"
    return None


def read_records(files: Iterable[Path]) -> Iterator[LogRecord]:
    """Read log records.

    The source of a record is the word before its JSON document, or else the name of
    its file.
    """
    paths = list(files)
    if not paths:
        yield from _read_stream(sys.stdin, "")
    for path in paths:
        with path.open() as stream:
            yield from _read_stream(stream, path.stem)


def sort_records(records: Iterable[LogRecord]) -> list[LogRecord]:
    """Return records in the order of their timestamps."""
    return sorted(records, key=lambda record: record.get("timestamp", 0.0))


def format_record(record: LogRecord) -> str:
    """Format a record as one line: time, source, message and other fields."""
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in record.items()
        if name not in OMITTED_FIELDS and name != "source"
    )
    time = record.get("timestamp", 0.0)
    return f"{time:.3f} {record['source'] or '-'} {record.get('message', '?')} {fields}"


def _read_stream(stream: TextIO, name: str) -> Iterator[LogRecord]:
    for text in stream:
        start = text.find("{")
        if start < 0:
            continue
        try:
            record = json.decode(text[start:])
        except DecodeError:
            # A truncated line at the end of a file, or other output of the process.
            continue
        if isinstance(record, dict):
            prefix = text[:start].split()
            record["source"] = prefix[-1] if prefix else name
            yield record


def _format_value(value: object) -> str:
    match value:
        case float():
            return f"{value:g}"
        case list():
            return "[" + ", ".join(_format_value(item) for item in value) + "]"
        case None:
            return "-"
    return str(value)
