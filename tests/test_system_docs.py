"""The documentation covers log events, wait reasons, commands and exit codes of the programs."""

import os
import re
import subprocess
import sys
from pathlib import Path

from millethead.__main__ import SYSTEM_COMMANDS
from millethead.control.inspect import HeadWaitReason
from millethead.programs.command_line import ExitCode
from millethead.scheduling.model import WaitReason

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "operating-the-system.md").read_text()
PACKAGES = (
    "programs",
    "control",
    "replication",
    "execution",
    "storage",
    "web",
    "rpc",
    "configuration",
    "jobs",
    "scheduling",
)
EVENT = re.compile(r'log(?:ger\(\))?\.(?:info|warning|error|critical|exception)\(\s*"([a-z_]+)"[,)]')


def section(head):
    """The text of the page under a heading."""
    return PAGE.partition(f"\n## {head}\n")[2].partition("\n## ")[0]


def test_documentation_lists_exactly_the_log_events():
    code = "".join(path.read_text() for package in PACKAGES for path in (ROOT / "millethead" / package).rglob("*.py"))
    rows = [row.split("|")[1] for row in section("Log lines").splitlines() if row.startswith("| `")]
    assert {event for row in rows for event in re.findall(r"`([a-z_]+)`", row)} == set(EVENT.findall(code))


def test_documentation_lists_every_wait_reason():
    rows = [row.split("|")[1] for row in section("Why a task waits").splitlines() if row.startswith("| `")]
    reasons = {reason.value for reason in WaitReason} - {WaitReason.NOT_WAITING.value}
    assert {text for row in rows for text in re.findall(r"`([^`]+)`", row)} == reasons | {
        reason.value for reason in HeadWaitReason
    }


def test_documentation_lists_commands_and_exit_codes():
    line = section("The command line")
    assert {command for command in SYSTEM_COMMANDS if f"millethead {command}" in line} == SYSTEM_COMMANDS - {
        "control",
        "dispatcher",
        "agent",
    }
    assert [int(code) for code in re.findall(r"^\| (\d) \|", line, re.MULTILINE)] == [code.value for code in ExitCode]


def test_links_have_existing_targets():
    for name in ("system", "replication", "operating-the-system"):
        page = (ROOT / "docs" / f"{name}.md").read_text()
        for target in re.findall(r"\]\(([a-z-]+\.md)\)", page):
            assert (ROOT / "docs" / target).exists(), (name, target)


def test_shell_completion_of_commands():
    environment = {
        **os.environ,
        "_MILLETHEAD_COMPLETE": "complete_bash",
        "COMP_WORDS": "millethead con",
        "COMP_CWORD": "1",
    }
    done = subprocess.run(
        [sys.executable, "-m", "millethead"], env=environment, capture_output=True, text=True, timeout=60
    )
    assert set(done.stdout.split()) == {"config", "control"}
