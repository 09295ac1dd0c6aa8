"""Compares the answers of the members that a release has updated with those of the others. No input or output."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from millethead.rollout.state import HealthLimits


class Counts(msgspec.Struct, array_like=True):
    """Answers of one job class since the start of a process, and the total time of the served ones in ms."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    total_ms: float = 0.0

    @property
    def answer_count(self) -> int:
        return self.served + self.refused + self.failed


ClassCounts = Sequence[Counts]


def counts_since(current: ClassCounts, previous: ClassCounts | None) -> list[Counts]:
    """Returns the counts since `previous`. If the process restarted in between, these are all of its counts."""
    if previous is None or len(previous) != len(current):
        return list(current)
    if any(n.answer_count < b.answer_count for n, b in zip(current, previous, strict=True)):
        return list(current)
    return [
        Counts(n.served - b.served, n.refused - b.refused, n.failed - b.failed, n.total_ms - b.total_ms)
        for n, b in zip(current, previous, strict=True)
    ]


def sum_counts(counts_of_subjects: Iterable[ClassCounts]) -> list[Counts]:
    """Returns the sum by class."""
    total: list[Counts] = []
    for table in counts_of_subjects:
        while len(total) < len(table):
            total.append(Counts())
        for sum_of_class, more in zip(total, table, strict=False):
            sum_of_class.served = sum_of_class.served + more.served
            sum_of_class.refused = sum_of_class.refused + more.refused
            sum_of_class.failed = sum_of_class.failed + more.failed
            sum_of_class.total_ms = sum_of_class.total_ms + more.total_ms
    return total


def find_regression(
    updated: Mapping[str, ClassCounts], others: Iterable[ClassCounts], limits: HealthLimits, classes: Sequence[str] = ()
) -> str:
    """Returns in one line why the release is unhealthy, or an empty string if it is not.

    The updated members are judged together and each by itself, against `others`, the counts of members that are not
    updated yet. A class is judged only from `limits.min_answers` answers on.
    """
    baseline = sum_counts(others)
    for who, counts in [("those moved", sum_counts(updated.values())), *updated.items()]:
        for index, new in enumerate(counts):
            old = baseline[index] if index < len(baseline) else Counts()
            name = classes[index] if index < len(classes) else f"class {index}"
            if new.answer_count < limits.min_answers:
                continue
            for what, new_count, old_count, margin in (
                ("failed", new.failed, old.failed, limits.error_margin),
                ("refused", new.refused, old.refused, limits.refusal_margin),
            ):
                fraction = new_count / new.answer_count
                usual_fraction = old_count / old.answer_count if old.answer_count else 0.0
                if fraction > usual_fraction + margin:
                    return f"{who}: {fraction:.0%} of {name} {what}, the others {usual_fraction:.0%}"
            if (
                new.served >= limits.min_answers <= old.served
                and new.total_ms / new.served > limits.latency_factor * old.total_ms / old.served
            ):
                new_ms, old_ms = new.total_ms / new.served, old.total_ms / old.served
                return f"{who}: {name} takes {new_ms:.0f} ms, the others {old_ms:.0f} ms"
    return ""
