from pathlib import Path

import pytest

from bergamotctl.context import Exit, choose_exit
from bergamotwood_core.errors import (
    AnswerError,
    BergamotwoodError,
    Code,
    UnreachableError,
    WaitError,
)


def test_page_lists_every_exit_code():
    page = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
    section = page.read_text().split("## Exit codes of bergamotctl")[1].split("## ")[0]
    rows = [line.strip("| ").split(" | ") for line in section.splitlines()]
    listed = [(int(row[0]), row[1]) for row in rows if row[0].isdigit()]
    assert listed == [(int(item), item.name.lower().replace("_", " ")) for item in Exit]


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (UnreachableError("x"), Exit.UNREACHABLE),
        (WaitError("x"), Exit.NOT_YET),
        (AnswerError("x", Code.TICKET_STALE, 409), Exit.CONFLICT),
        (AnswerError("x", Code.NO_QUORUM, 503), Exit.UNAVAILABLE),
        (AnswerError("x", Code.INTERNAL, 500), Exit.FAILED),
        (BergamotwoodError("x"), Exit.FAILED),
    ],
)
def test_each_error_has_its_exit_code(error, code):
    assert choose_exit(error) is code
