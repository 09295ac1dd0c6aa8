"""Findings: the problems of a document, each with its location, reported together."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_QUOTE_CHARS = 80  # length at which text quoted from a document is truncated


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem. `place` is its location, such as `routes[2].timeout_ms`; empty for the document as a whole."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place or 'the document'}: {self.problem}"

    def within(self, place: str) -> Finding:
        """Return the same problem with its location prefixed by `place`, the location of the nested record."""
        separator = "" if not place or not self.place or self.place.startswith("[") else "."
        return Finding(f"{place}{separator}{self.place}", self.problem)


class FindingsError(Exception):
    """A document is invalid. `findings` has all reasons, at least one."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings: tuple[Finding, ...] = tuple(findings)
        super().__init__(self.findings)

    def __str__(self) -> str:
        return "; ".join(str(finding) for finding in self.findings)


def quoted(text: str) -> str:
    """Quote text of the document for a finding: escaped, and truncated if it is long."""
    return repr(text if len(text) <= MAX_QUOTE_CHARS else text[:MAX_QUOTE_CHARS] + "...")
