"""Runs the tests that KNOWN-RED.txt lists, and reports their outcomes without failing the run."""

from __future__ import annotations

from pathlib import Path

import pytest

ROOT = Path(__file__).parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def read_known_red(text: str) -> frozenset[str]:
    """Return the test ids; indented lines and comments belong to an entry's description."""
    lines = text.splitlines()
    return frozenset(line.strip() for line in lines if line and line[0] not in "# \t")


def relative_id(item: pytest.Item) -> str:
    """Return the item's id relative to the repository's root, whichever root pytest uses."""
    names = item.nodeid.partition("::")[2]
    return f"{item.path.relative_to(ROOT).as_posix()}::{names}"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let failed assertions of known red tests pass; other errors still fail the run."""
    known = read_known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else frozenset()
    for item in items:
        if relative_id(item) in known:
            item.add_marker(pytest.mark.xfail(raises=AssertionError, reason="KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the outcome of each known red test that ran."""
    for outcome, text in (("xfailed", "failed"), ("xpassed", "passed")):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"KNOWN-RED {text}: {report.nodeid}")
