"""Tests known to be red: KNOWN-RED.txt at the root names them, and the run passes over just these."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

MOST = 3
LINE = re.compile(r"(\S+::\S+) \| (\S.*) \| issue (\d+)")


def known_red(path: Path) -> dict[str, str]:
    """Test id -> cause and issue; raises UsageError for a line that is none, or one too many."""
    lines = path.read_text().splitlines() if path.exists() else []
    found: dict[str, str] = {}
    for line in lines:
        if line.strip() and not line.startswith("#"):
            match = LINE.fullmatch(line.strip())
            if match is None or match[1] in found:
                raise pytest.UsageError(f"KNOWN-RED.txt: not a line of it: {line!r}")
            found[match[1]] = f"{match[2]} (issue {match[3]})"
    if len(found) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(found)} tests, {MOST} at most")
    return found


RED = pytest.StashKey[dict[str, str]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[RED] = known_red(config.rootpath / "KNOWN-RED.txt")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Strict: one that passes is mended, and its line is to go. So is a line whose test is not there."""
    red, ids = config.stash[RED], {item.nodeid for item in items}
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(strict=True, reason=red[item.nodeid]))
    files = {item.nodeid.partition("::")[0] for item in items}
    stale = [test for test in red if test not in ids and test.partition("::")[0] in files]
    if stale and not config.getoption("keyword") and not any("::" in arg for arg in config.args):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(stale)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, why in config.stash[RED].items():
        terminalreporter.write_line(f"known red: {test}: {why}")
