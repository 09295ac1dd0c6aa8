"""Only committed values leave the head: static checks of the code, and the order of configurations at followers."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import millethead
from millethead.control.calls import CallerPong, ConfigurationUpdate
from millethead.control.commit import Committed, CommittedLink, UncommittedRelease
from millethead.control.configuration_stream import ActiveConfiguration
from millethead.lab.streamed import StreamedConfigurations, UncommittedConfiguration
from millethead.replication.log_position import NO_POSITION, LogPosition

PACKAGE = Path(millethead.__file__).parent
GATE_MODULE = PACKAGE / "control" / "commit.py"


def count_calls(path: Path, name: str) -> int:
    """Count the calls of a function in a module."""
    tree = ast.parse(path.read_text())
    return sum(
        isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == name
        for node in ast.walk(tree)
    )


def test_only_the_gate_creates_committed_values() -> None:
    modules = {path for path in PACKAGE.rglob("*.py") if count_calls(path, "Committed")}
    assert modules == {GATE_MODULE, PACKAGE / "lab" / "core_mutants.py"}, "mutants bypass the gate on purpose"


def raw_link_uses(source: str) -> list[str]:
    """Return the places where code of the head uses a raw link.

    Violations are a parameter of type HeadLink that is used for anything but the construction of a `CommittedLink`, an
    attribute of that type, and access to the link inside a `CommittedLink`. The argument types of the constructor are
    checked by mypy.
    """
    tree = ast.parse(source)
    wrapped = {
        id(node.args[0])
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "CommittedLink"
    }
    found = [f"stored in line {node.lineno}" for node in ast.walk(tree) if _is_raw_attribute(node)]
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and node.attr == "link" and _ends_in_link(node.value):
            found.append(f"unwrapped in line {node.lineno}")
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            raw = {argument.arg for argument in _arguments(node) if _is_raw(argument.annotation)}
            found += [
                f"{use.id} in line {use.lineno}"
                for use in ast.walk(node)
                if isinstance(use, ast.Name) and use.id in raw and id(use) not in wrapped
            ]
    return found


def _arguments(function: ast.FunctionDef | ast.AsyncFunctionDef) -> list[ast.arg]:
    return [*function.args.posonlyargs, *function.args.args, *function.args.kwonlyargs]


def _is_raw(annotation: ast.expr | None) -> bool:
    return annotation is not None and "HeadLink" in ast.unparse(annotation)


def _is_raw_attribute(node: ast.AST) -> bool:
    return isinstance(node, ast.AnnAssign) and _is_raw(node.annotation)


def _ends_in_link(node: ast.expr) -> bool:
    return isinstance(node, ast.Attribute) and node.attr == "link"


@pytest.mark.parametrize("path", sorted((PACKAGE / "control").glob("*.py")), ids=lambda path: path.stem)
def test_links_of_the_head_are_wrapped_immediately(path: Path) -> None:
    """Code with a raw link could send uncommitted values.

    `commit.py` defines the wrapper, and `client.py` is the other end of the connection.
    """
    if path.name not in ("commit.py", "client.py"):
        assert raw_link_uses(path.read_text()) == []


@pytest.mark.parametrize(
    "source",
    [
        "def hello(self, link: HeadLink): link.send(record)",
        "def hello(self, link: HeadLink): self._raw = link",
        "def hello(self, link: HeadLink): keep(other, link)",
        "def hello(self, link: HeadLink): return CommittedLink(chain, link)",
        "class Session:\n    link: HeadLink",
        "def tell(self, session): session.link.link.send(record)",
    ],
)
def test_check_detects_raw_link_uses(source: str) -> None:
    assert raw_link_uses(source)


def test_check_accepts_a_wrapped_link() -> None:
    assert raw_link_uses("def hello(self, link: HeadLink): return CommittedLink(link, self._chain)") == []


def update(epoch: int, place: LogPosition, version: int, force: bool = False) -> ConfigurationUpdate:
    return ConfigurationUpdate(epoch, place, version, b"{}", force)


def test_link_rejects_uncommitted_records() -> None:
    class Sink:
        """Link and chain in one that records what is sent."""

        def __init__(self) -> None:
            self.sent: list[object] = []
            self.committed = 4

        def send(self, record: object) -> None:
            self.sent.append(record)

    sink = Sink()
    link = CommittedLink(sink, sink)  # type: ignore[arg-type]
    link.send(Committed(CallerPong(), 4))
    with pytest.raises(UncommittedRelease):
        link.send(Committed(CallerPong(), 5))
    assert sink.sent == [CallerPong()]


def test_follower_orders_updates_by_log_position_not_version() -> None:
    held = ActiveConfiguration()
    assert held.accept(update(2, LogPosition(2, 7), 5), 2)
    assert not held.accept(update(2, LogPosition(2, 7), 5), 2), "the same update again"
    assert held.accept(update(3, LogPosition(3, 9), 5), 3), "another order under the same number"
    assert not held.accept(update(3, LogPosition(2, 8), 6), 3), "an earlier entry, whatever its version"
    assert held.ack().place == LogPosition(3, 9)


def test_follower_ignores_updates_of_earlier_heads() -> None:
    held = ActiveConfiguration()
    assert held.accept(update(4, LogPosition(4, 9), 6), 4)
    assert not held.accept(update(3, LogPosition(3, 20), 7), 4)
    assert not held.accept(update(3, LogPosition(3, 8), 5, force=True), 4)
    assert held.version == 6


def test_follower_replaces_an_uncommitted_configuration() -> None:
    held = ActiveConfiguration(9, LogPosition(3, 50))
    assert held.accept(update(4, LogPosition(2, 7), 5, force=True), 4)
    assert (held.version, held.place) == (5, LogPosition(2, 7))


def test_stream_oracle_detects_invalid_updates() -> None:
    streamed = StreamedConfigurations()

    class State:
        place, document = LogPosition(1, 2), b"{}"

    streamed.committed(State())  # type: ignore[arg-type]
    assert streamed.newest == LogPosition(1, 2) > NO_POSITION
    streamed.told(update(1, LogPosition(1, 2), 1))
    for invalid in (
        update(1, LogPosition(1, 3), 2),
        ConfigurationUpdate(1, LogPosition(1, 2), 1, b"other", False),
        update(1, LogPosition(1, 2), 1, force=True),
    ):
        with pytest.raises(UncommittedConfiguration):
            streamed.told(invalid)
