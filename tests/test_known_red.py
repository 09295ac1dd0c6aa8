"""KNOWN-RED.txt: only the tests that it lists may fail, and they must be removed from it once they pass."""

from pathlib import Path

import pytest

TEST_SOURCE = """
    def test_red(): assert False
    def test_green(): pass
"""
ENTRY = "test_some.py::test_red | the fault | issue 26\n"


@pytest.fixture
def run_pytest(pytester):
    def call(entries):
        pytester.makeconftest((Path(__file__).parent / "conftest.py").read_text())
        pytester.makepyprojecttoml("[tool.pytest.ini_options]\n")
        pytester.makepyfile(test_some=TEST_SOURCE)
        (pytester.path / "KNOWN-RED.txt").write_text(entries)
        return pytester.runpytest_subprocess()

    return call


def test_a_listed_failing_test_is_tolerated_and_printed(run_pytest):
    result = run_pytest("# a comment\n\n" + ENTRY)
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["known red: test_some.py::test_red: the fault (issue 26)"])


@pytest.mark.parametrize(
    "entries",
    [
        "",
        ENTRY.replace("red", "green"),
        ENTRY.replace("test_red", "test_none"),
        "test_some.py::test_red\n",
        ENTRY + ENTRY,
        "".join(ENTRY.replace("test_some", f"test_{n}") for n in range(4)),
    ],
    ids=["not listed", "passes", "no such test", "no cause", "listed twice", "four entries"],
)
def test_any_other_case_fails_the_run(run_pytest, entries):
    assert run_pytest(entries).ret != 0
