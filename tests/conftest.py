"""Expects the tests that KNOWN-RED.txt names to fail, and prints them.

Those in lines that begin with "flaky:" may pass as well.
"""

import gc
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
PREFIX = "test: "
FLAKY_PREFIX = "flaky: "


def list_known_red(prefix=PREFIX):
    """Return the node ids in the lines of KNOWN-RED.txt that begin with a prefix."""
    lines = (line.strip() for line in KNOWN_RED.read_text().splitlines())
    return {line.removeprefix(prefix) for line in lines if line.startswith(prefix)}


@pytest.fixture(scope="module", autouse=True)
def freeze_heap():
    """Exclude what earlier modules left from collections, which hold the event loop."""
    gc.collect()
    gc.freeze()


def pytest_collection_modifyitems(items):
    known = list_known_red()
    flaky = list_known_red(FLAKY_PREFIX)
    for item in items:
        if item.nodeid in known | flaky:
            is_strict = item.nodeid in known
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=is_strict))


def pytest_terminal_summary(terminalreporter):
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known to fail: {report.nodeid}")
    for report in terminalreporter.stats.get("xpassed", []):
        terminalreporter.write_line(f"known to be flaky, passed: {report.nodeid}")
