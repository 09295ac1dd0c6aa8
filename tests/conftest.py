"""Marks the tests that KNOWN-RED.txt at the root lists as expected failures, and prints them after the run."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

MAX_ENTRIES = 3
ENTRY = re.compile(r"(\S+::\S+) \| (\S.*) \| issue (\d+)")


def known_red(path: Path) -> dict[str, str]:
    """Returns the cause and issue of each listed test by test id. Raises UsageError for a malformed or repeated entry,
    and for more than MAX_ENTRIES."""
    lines = path.read_text().splitlines() if path.exists() else []
    entries: dict[str, str] = {}
    for line in lines:
        if line.strip() and not line.startswith("#"):
            match = ENTRY.fullmatch(line.strip())
            if match is None or match[1] in entries:
                raise pytest.UsageError(f"KNOWN-RED.txt: not a line of it: {line!r}")
            entries[match[1]] = f"{match[2]} (issue {match[3]})"
    if len(entries) > MAX_ENTRIES:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(entries)} tests, {MAX_ENTRIES} at most")
    return entries


KNOWN_RED_KEY = pytest.StashKey[dict[str, str]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[KNOWN_RED_KEY] = known_red(config.rootpath / "KNOWN-RED.txt")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as strict expected failures: a listed test that passes fails the run, so that its entry is
    removed. An entry that names no test of a collected file is a usage error, unless the run selects single tests."""
    entries, ids = config.stash[KNOWN_RED_KEY], {item.nodeid for item in items}
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(strict=True, reason=entries[item.nodeid]))
    files = {item.nodeid.partition("::")[0] for item in items}
    stale = [test for test in entries if test not in ids and test.partition("::")[0] in files]
    if stale and not config.getoption("keyword") and not any("::" in arg for arg in config.args):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(stale)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, cause in config.stash[KNOWN_RED_KEY].items():
        terminalreporter.write_line(f"known red: {test}: {cause}")
