from pathlib import Path

import pytest

from bergamotctl.context import ExitCode, get_exit_code
from bergamotwood_core.errors import (
    AnswerError,
    BergamotwoodError,
    Code,
    UnreachableError,
    WaitError,
)


def test_operations_page_lists_every_exit_code():
    page = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
    section = page.read_text().split("## Exit codes of bergamotctl")[1].split("## ")[0]
    rows = [line.strip("| ").split(" | ") for line in section.splitlines()]
    listed = [(int(row[0]), row[1]) for row in rows if row[0].isdigit()]
    assert listed == [
        (int(item), item.name.lower().replace("_", " ")) for item in ExitCode
    ]


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (UnreachableError("x"), ExitCode.UNREACHABLE),
        (WaitError("x"), ExitCode.NOT_YET),
        (AnswerError("x", Code.TICKET_STALE, 409), ExitCode.CONFLICT),
        (AnswerError("x", Code.NO_QUORUM, 503), ExitCode.UNAVAILABLE),
        (AnswerError("x", Code.INTERNAL, 500), ExitCode.FAILED),
        (BergamotwoodError("x"), ExitCode.FAILED),
    ],
)
def test_each_error_has_its_exit_code(error, code):
    assert get_exit_code(error) is code
