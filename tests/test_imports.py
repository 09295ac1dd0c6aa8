"""The modules of the package must not import each other in cycles."""

from __future__ import annotations

import ast
from pathlib import Path

import millethead

PACKAGE = Path(millethead.__file__).parent
# Cycles of imports under TYPE_CHECKING, which do not occur at run time: the scheduler's records refer to each other.
TYPE_CHECKING_ONLY_CYCLES = {frozenset({"millethead.scheduling.placement", "millethead.scheduling.state"})}


def module_name(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_modules(source: str, modules: frozenset[str]) -> set[str]:
    """Returns those of `modules` that the source imports, including imports under TYPE_CHECKING and in functions."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                found.add(submodule if submodule in modules else node.module)
    return found & modules


def import_cycles(graph: dict[str, set[str]]) -> set[frozenset[str]]:
    """Returns the strongly connected components that have more than one module."""
    reachable = {module: _reachable(graph, module) for module in graph}
    return {
        cycle
        for module in graph
        if len(cycle := frozenset(other for other in reachable[module] if module in reachable[other])) > 1
    }


def _reachable(graph: dict[str, set[str]], first: str) -> set[str]:
    """Returns the modules that `first` imports directly or indirectly, and `first` itself."""
    reachable, pending = {first}, [first]
    while pending:
        for other in graph[pending.pop()] - reachable:
            reachable.add(other)
            pending.append(other)
    return reachable


def test_the_package_has_no_import_cycles_at_run_time() -> None:
    paths = {module_name(path): path for path in PACKAGE.rglob("*.py")}
    modules = frozenset(paths)
    graph = {module: imported_modules(path.read_text(), modules) - {module} for module, path in paths.items()}
    assert len(graph) > 250
    assert import_cycles(graph) == TYPE_CHECKING_ONLY_CYCLES


def test_cycles_of_any_length_are_found() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": set(), "e": {"a"}}
    assert import_cycles(graph) == {frozenset("abc")}


def test_imports_under_type_checking_and_in_functions_are_included() -> None:
    source = """
from typing import TYPE_CHECKING
if TYPE_CHECKING:
    import p.a
def f():
    from p import b
    from p.c import x
"""
    assert imported_modules(source, frozenset({"p", "p.a", "p.b", "p.c", "p.d"})) == {"p.a", "p.b", "p.c"}
