"""The system's pages say what its programs do: log events, reasons to wait, commands and exit codes."""

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


def test_every_log_event_of_the_system_is_explained_and_no_other():
    code = "".join(path.read_text() for package in PACKAGES for path in (ROOT / "millethead" / package).rglob("*.py"))
    rows = [row.split("|")[1] for row in section("Log lines").splitlines() if row.startswith("| `")]
    assert {event for row in rows for event in re.findall(r"`([a-z_]+)`", row)} == set(EVENT.findall(code))


def test_every_reason_to_wait_is_explained():
    rows = [row.split("|")[1] for row in section("Why a task waits").splitlines() if row.startswith("| `")]
    reasons = {reason.value for reason in WaitReason} - {WaitReason.NOT_WAITING.value}
    assert {text for row in rows for text in re.findall(r"`([^`]+)`", row)} == reasons | {
        reason.value for reason in HeadWaitReason
    }


def test_commands_and_exit_codes():
    line = section("The command line")
    assert {command for command in SYSTEM_COMMANDS if f"millethead {command}" in line} == SYSTEM_COMMANDS - {
        "control",
        "dispatcher",
        "agent",
    }
    assert [int(code) for code in re.findall(r"^\| (\d) \|", line, re.MULTILINE)] == [code.value for code in ExitCode]


def test_links_of_the_pages_lead_somewhere():
    for name in ("system", "replication", "operating-the-system"):
        page = (ROOT / "docs" / f"{name}.md").read_text()
        for target in re.findall(r"\]\(([a-z-]+\.md)\)", page):
            assert (ROOT / "docs" / target).exists(), (name, target)


def test_the_shell_completes_commands():
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
