"""KNOWN-RED.txt: passed over are just the tests that it names, while they fail."""

from pathlib import Path

import pytest

TESTS = """
    def test_red(): assert False
    def test_green(): pass
"""
RED = "test_some.py::test_red | the fault | issue 26\n"


@pytest.fixture
def run(pytester):
    def call(red):
        pytester.makeconftest((Path(__file__).parent / "conftest.py").read_text())
        pytester.makepyprojecttoml("[tool.pytest.ini_options]\n")
        pytester.makepyfile(test_some=TESTS)
        (pytester.path / "KNOWN-RED.txt").write_text(red)
        return pytester.runpytest_subprocess()

    return call


def test_a_named_test_that_fails_is_passed_over_and_printed(run):
    done = run("# a comment\n\n" + RED)
    done.assert_outcomes(passed=1, xfailed=1)
    assert done.ret == 0
    done.stdout.fnmatch_lines(["known red: test_some.py::test_red: the fault (issue 26)"])


@pytest.mark.parametrize(
    "red",
    [
        "",
        RED.replace("red", "green"),
        RED.replace("test_red", "test_none"),
        "test_some.py::test_red\n",
        RED + RED,
        "".join(RED.replace("test_some", f"test_{n}") for n in range(4)),
    ],
    ids=["not named", "passes", "not there", "no cause", "twice", "four"],
)
def test_anything_else_fails(run, red):
    assert run(red).ret != 0
