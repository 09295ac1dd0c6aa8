"""Modules import each other in one direction only."""

from __future__ import annotations

import ast
from pathlib import Path

import millethead

PACKAGE = Path(millethead.__file__).parent
# The scheduler's records refer to each other both ways; at run time nothing of this is imported in a circle.
BY_TYPES_ALONE = {frozenset({"millethead.scheduling.placement", "millethead.scheduling.state"})}


def module_name(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(source: str, modules: frozenset[str]) -> set[str]:
    """The modules of the package that a source imports, also for types alone or inside of functions."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                found.add(submodule if submodule in modules else node.module)
    return found & modules


def circles(graph: dict[str, set[str]]) -> set[frozenset[str]]:
    """The strongly connected components of more than one module."""
    reached = {module: _reachable(graph, module) for module in graph}
    return {
        circle
        for module in graph
        if len(circle := frozenset(other for other in reached[module] if module in reached[other])) > 1
    }


def _reachable(graph: dict[str, set[str]], first: str) -> set[str]:
    seen, waiting = {first}, [first]
    while waiting:
        for other in graph[waiting.pop()] - seen:
            seen.add(other)
            waiting.append(other)
    return seen


def test_no_circle_of_imports_comes_back() -> None:
    paths = {module_name(path): path for path in PACKAGE.rglob("*.py")}
    modules = frozenset(paths)
    graph = {module: imported(path.read_text(), modules) - {module} for module, path in paths.items()}
    assert len(graph) > 250
    assert circles(graph) == BY_TYPES_ALONE


def test_circles_are_found_through_any_number_of_modules() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": set(), "e": {"a"}}
    assert circles(graph) == {frozenset("abc")}


def test_imports_for_types_and_in_functions_count() -> None:
    source = """
from typing import TYPE_CHECKING
if TYPE_CHECKING:
    import p.a
def f():
    from p import b
    from p.c import x
"""
    assert imported(source, frozenset({"p", "p.a", "p.b", "p.c", "p.d"})) == {"p.a", "p.b", "p.c"}
