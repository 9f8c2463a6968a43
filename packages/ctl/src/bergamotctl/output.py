"""Output of the command: tables for people, JSON for programs."""

from collections.abc import Iterable, Sequence
from typing import Any

from click import echo
from msgspec.json import encode, format


def print_json(document: Any) -> None:
    """Print a document as indented JSON."""
    echo(format(encode(document), indent=2).decode())


def print_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows under their headers, columns aligned; `(none)` if there are no rows.

    Parameters
    ----------
    headers : sequence of str
        One for each column.
    rows : iterable of sequence
        Cells; None and empty ones are shown as `-`.
    """
    lines = [list(headers), *([format_cell(cell) for cell in row] for row in rows)]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(headers))
    ]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        echo("  ".join(cells).rstrip())
    if len(lines) == 1:
        echo("(none)")


def format_cell(cell: object) -> str:
    """Return the text of a cell on one line."""
    match cell:
        case None | "":
            return "-"
        case bool():
            return "yes" if cell else "no"
        case float():
            return f"{cell:.3f}".rstrip("0").rstrip(".")
        case list() | tuple():
            return ", ".join(map(format_cell, cell)) or "-"
        case _:
            return " ".join(str(cell).split())
