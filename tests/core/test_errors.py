from pathlib import Path

from bergamotwood_core.errors import HTTP_STATUS, Code
from bergamotwood_core.states import Run


def test_every_code_has_a_status():
    assert set(HTTP_STATUS) == set(Code)


def test_errors_page_lists_every_code_with_its_name_and_status():
    page = Path(__file__).parents[2] / "docs" / "ERRORS.md"
    rows = [line.strip("| ").split(" | ") for line in page.read_text().splitlines()]
    listed = [
        (int(row[0]), row[1], int(row[2]), row[3]) for row in rows if row[0].isdigit()
    ]
    assert [row[:3] for row in listed] == [
        (int(code), code.name, HTTP_STATUS[code]) for code in sorted(Code)
    ]
    assert {row[3] for row in listed} == set(Run)
