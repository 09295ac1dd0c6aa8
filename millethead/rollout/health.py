"""Compares the answers of the members that a release has updated with those of the others. No input or output."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from millethead.rollout.state import Health


class Counts(msgspec.Struct, array_like=True):
    """Answers of one job class since the start of a process, and the total time of the served ones in ms."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    ms: float = 0.0

    @property
    def answers(self) -> int:
        return self.served + self.refused + self.failed


Table = Sequence[Counts]


def since(now: Table, before: Table | None) -> list[Counts]:
    """Returns the counts since `before`. If the process restarted in between, these are all of its counts."""
    if before is None or len(before) != len(now):
        return list(now)
    if any(n.answers < b.answers for n, b in zip(now, before, strict=True)):
        return list(now)
    return [
        Counts(n.served - b.served, n.refused - b.refused, n.failed - b.failed, n.ms - b.ms)
        for n, b in zip(now, before, strict=True)
    ]


def add(tables: Iterable[Table]) -> list[Counts]:
    total: list[Counts] = []
    for table in tables:
        while len(total) < len(table):
            total.append(Counts())
        for have, more in zip(total, table, strict=False):
            have.served, have.refused = have.served + more.served, have.refused + more.refused
            have.failed, have.ms = have.failed + more.failed, have.ms + more.ms
    return total


def judge(moved: Mapping[str, Table], rest: Iterable[Table], limits: Health, classes: Sequence[str] = ()) -> str:
    """Returns in one line why the release is unhealthy, or an empty string if it is not.

    The updated members are judged together and each by itself, against `others`, the counts of members that are not
    updated yet. A class is judged only from `limits.min_answers` answers on.
    """
    base = add(rest)
    for who, table in [("those moved", add(moved.values())), *moved.items()]:
        for n, new in enumerate(table):
            old = base[n] if n < len(base) else Counts()
            name = classes[n] if n < len(classes) else f"class {n}"
            if new.answers < limits.least:
                continue
            for what, of_new, of_old, more in (
                ("failed", new.failed, old.failed, limits.errors),
                ("refused", new.refused, old.refused, limits.refusals),
            ):
                part, usual = of_new / new.answers, of_old / old.answers if old.answers else 0.0
                if part > usual + more:
                    return f"{who}: {part:.0%} of {name} {what}, the others {usual:.0%}"
            if new.served >= limits.least <= old.served and new.ms / new.served > limits.slower * old.ms / old.served:
                return f"{who}: {name} takes {new.ms / new.served:.0f} ms, the others {old.ms / old.served:.0f} ms"
    return ""
