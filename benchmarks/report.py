"""Tables and JSON files with the results of the benchmarks."""

from collections.abc import Sequence
from json import dumps
from pathlib import Path

from numpy import percentile

OUTPUT_FOLDER = Path("out")

Row = dict[str, float | int | str]


def write_report(name: str, seed: int, rows: Sequence[Row]) -> None:
    """Print rows as a table and write them with the seed to `out/<name>.json`."""
    write_json(name, seed, rows)
    print_table(rows)


def write_json(name: str, seed: int, rows: Sequence[Row]) -> None:
    """Write rows with the seed to `out/<name>.json`."""
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    text = dumps({"bench": name, "seed": seed, "rows": list(rows)}, indent=1)
    (OUTPUT_FOLDER / f"{name}.json").write_text(text + "\n")


def print_table(rows: Sequence[Row]) -> None:
    """Print rows as a right-aligned table with a header."""
    columns = list(rows[0])
    cells = [columns] + [[_format(row[column]) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        print(
            "  ".join(
                cell.rjust(width) for cell, width in zip(line, widths, strict=True)
            )
        )


def find_percentiles(values: Sequence[float]) -> tuple[float, float, float]:
    """Return the 50th, 95th and 99th percentile, or zeros if there are no values."""
    if not values:
        return 0.0, 0.0, 0.0
    p50, p95, p99 = percentile(values, (50, 95, 99))
    return float(p50), float(p95), float(p99)


def _format(value: float | int | str) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
