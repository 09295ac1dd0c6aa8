"""What leaves the head is committed: only the gate makes committed values, and followers go by the log's place."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import millethead
from millethead.control.calls import CallerPong, ConfigurationUpdate
from millethead.control.commit import Committed, CommittedLink, UncommittedRelease
from millethead.control.configuration_stream import HeldConfiguration
from millethead.lab.streamed import StreamedConfigurations, UncommittedConfiguration
from millethead.replication.place import NO_PLACE, LogPlace

PACKAGE = Path(millethead.__file__).parent
MAKER = PACKAGE / "control" / "commit.py"


def calls_of(path: Path, name: str) -> int:
    tree = ast.parse(path.read_text())
    return sum(
        isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == name
        for node in ast.walk(tree)
    )


def test_only_the_gate_makes_committed_values() -> None:
    makers = {path for path in PACKAGE.rglob("*.py") if calls_of(path, "Committed")}
    assert makers == {MAKER, PACKAGE / "lab" / "core_mutants.py"}, "mutants leave the gate out on purpose"


def raw_uses(source: str) -> list[str]:
    """Where code of the head gets at a raw link: a parameter of that type that does anything but go into a
    `CommittedLink`, one that is kept, and the link inside of a `CommittedLink`. What these take, mypy checks."""
    tree = ast.parse(source)
    wrapped = {
        id(node.args[0])
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "CommittedLink"
    }
    found = [f"kept in line {node.lineno}" for node in ast.walk(tree) if _annotates_raw(node)]
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and node.attr == "link" and _ends_in_link(node.value):
            found.append(f"inside in line {node.lineno}")
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


def _annotates_raw(node: ast.AST) -> bool:
    return isinstance(node, ast.AnnAssign) and _is_raw(node.annotation)


def _ends_in_link(node: ast.expr) -> bool:
    return isinstance(node, ast.Attribute) and node.attr == "link"


@pytest.mark.parametrize("path", sorted((PACKAGE / "control").glob("*.py")), ids=lambda path: path.stem)
def test_links_of_the_head_are_wrapped_at_once(path: Path) -> None:
    """Whoever holds a raw link could send anything. `commit.py` makes the wrapper; `client.py` is the other end."""
    if path.name not in ("commit.py", "client.py"):
        assert raw_uses(path.read_text()) == []


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
def test_the_check_notices_raw_links(source: str) -> None:
    assert raw_uses(source)


def test_the_check_lets_a_wrapped_link_pass() -> None:
    assert raw_uses("def hello(self, link: HeadLink): return CommittedLink(link, self._chain)") == []


def update(epoch: int, place: LogPlace, version: int, discard: bool = False) -> ConfigurationUpdate:
    return ConfigurationUpdate(epoch, place, version, b"{}", discard)


def test_a_link_passes_nothing_that_is_not_committed() -> None:
    class Sink:
        """Keeps what is sent."""

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


def test_follower_goes_by_the_place_and_not_by_the_number() -> None:
    held = HeldConfiguration()
    assert held.take(update(2, LogPlace(2, 7), 5), 2)
    assert not held.take(update(2, LogPlace(2, 7), 5), 2), "the same again"
    assert held.take(update(3, LogPlace(3, 9), 5), 3), "another order under the same number"
    assert not held.take(update(3, LogPlace(2, 8), 6), 3), "an earlier entry, whatever its number"
    assert held.ack().place == LogPlace(3, 9)


def test_follower_ignores_what_an_earlier_head_had_sent() -> None:
    held = HeldConfiguration()
    assert held.take(update(4, LogPlace(4, 9), 6), 4)
    assert not held.take(update(3, LogPlace(3, 20), 7), 4)
    assert not held.take(update(3, LogPlace(3, 8), 5, discard=True), 4)
    assert held.version == 6


def test_follower_discards_what_was_never_committed() -> None:
    held = HeldConfiguration(9, LogPlace(3, 50))
    assert held.take(update(4, LogPlace(2, 7), 5, discard=True), 4)
    assert (held.version, held.place) == (5, LogPlace(2, 7))


def test_oracle_of_the_stream() -> None:
    streamed = StreamedConfigurations()

    class State:
        place, document = LogPlace(1, 2), b"{}"

    streamed.committed(State())  # type: ignore[arg-type]
    assert streamed.newest == LogPlace(1, 2) > NO_PLACE
    streamed.told(update(1, LogPlace(1, 2), 1))
    for wrong in (
        update(1, LogPlace(1, 3), 2),
        ConfigurationUpdate(1, LogPlace(1, 2), 1, b"other", False),
        update(1, LogPlace(1, 2), 1, discard=True),
    ):
        with pytest.raises(UncommittedConfiguration):
            streamed.told(wrong)
