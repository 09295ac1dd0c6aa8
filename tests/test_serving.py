"""The server programs start without loading the libraries of the command line."""

from __future__ import annotations

import subprocess
import sys

import pytest

from millethead.programs.serving import PROGRAMS, serve_program

CHECK = """
import sys
sys.modules["rich"] = None
import millethead.logs, millethead.programs.serving, millethead.programs.{program}
print(sorted({{"typer", "rich.console", "pydantic", "docopt"}} & set(sys.modules)))
"""


@pytest.mark.parametrize("program", PROGRAMS)
def test_program_does_not_load_command_line_libraries(program: str) -> None:
    result = subprocess.run(
        [sys.executable, "-c", CHECK.format(program=program)], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_control_does_not_load_the_decision_module() -> None:
    """Loading it takes 20 ms, by which each restart of the control program would be longer."""
    loaded = (
        "import sys, millethead.programs.control; print([name for name in sys.modules if 'millethead.decide' in name])"
    )
    result = subprocess.run([sys.executable, "-c", loaded], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"


@pytest.mark.parametrize("arguments", [[], ["status"], ["control", "--log-level=debug"], ["agent", "more"]])
def test_other_arguments_are_left_to_the_command_line(arguments: list[str]) -> None:
    assert not serve_program(arguments)


def test_command_line_reports_missing_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("MILLETHEAD_NODE_FILE", raising=False)
    modules = dict(sys.modules)
    try:
        assert not serve_program(["control"])
    finally:
        if "rich" not in modules:
            sys.modules.pop("rich", None)
    result = subprocess.run(
        [sys.executable, "-m", "millethead", "control"], capture_output=True, text=True, check=False
    )
    assert result.returncode == 2 and "MILLETHEAD_NODE_FILE" in result.stderr
