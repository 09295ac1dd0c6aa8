"""What is wrong with a document: every problem with its place, reported together."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

LONGEST_QUOTE = 80  # characters of a document's own text that a finding repeats


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem. `place`: where it is, such as `routes[2].timeout_ms`; empty for the document as a whole."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place or 'the document'}: {self.problem}"

    def within(self, place: str) -> Finding:
        """The same problem, seen from the record that holds this one at `place`."""
        separator = "" if not place or not self.place or self.place.startswith("[") else "."
        return Finding(f"{place}{separator}{self.place}", self.problem)


class FindingsError(Exception):
    """A document cannot be used; `findings` holds every reason, and there is at least one."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings: tuple[Finding, ...] = tuple(findings)
        super().__init__(self.findings)

    def __str__(self) -> str:
        return "; ".join(str(finding) for finding in self.findings)


def quoted(text: str) -> str:
    """A text of the document as a finding repeats it: escaped, and cut when long."""
    return repr(text if len(text) <= LONGEST_QUOTE else text[:LONGEST_QUOTE] + "...")
