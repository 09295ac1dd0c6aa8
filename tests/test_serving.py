"""Long-running programs start without loading the libraries of the command line."""

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
    said = subprocess.run(
        [sys.executable, "-c", CHECK.format(program=program)], capture_output=True, text=True, check=True
    )
    assert said.stdout.strip() == "[]"


def test_control_does_not_load_the_decision_modules_of_the_dispatcher() -> None:
    """They would add 20 ms to each start and delay the recovery of the core."""
    loaded = (
        "import sys, millethead.programs.control; print([name for name in sys.modules if 'millethead.decide' in name])"
    )
    said = subprocess.run([sys.executable, "-c", loaded], capture_output=True, text=True, check=True)
    assert said.stdout.strip() == "[]"


@pytest.mark.parametrize("arguments", [[], ["status"], ["control", "--log-level=debug"], ["agent", "more"]])
def test_command_line_takes_whatever_names_no_program_alone(arguments: list[str]) -> None:
    assert not serve_program(arguments)


def test_command_line_tells_what_is_wrong_with_the_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("MILLETHEAD_NODE_FILE", raising=False)
    modules = dict(sys.modules)
    try:
        assert not serve_program(["control"])
    finally:
        if "rich" not in modules:
            sys.modules.pop("rich", None)
    said = subprocess.run([sys.executable, "-m", "millethead", "control"], capture_output=True, text=True, check=False)
    assert said.returncode == 2 and "MILLETHEAD_NODE_FILE" in said.stderr
