"""What a client hands in: a text and steps of tasks. Read from JSON, with all findings at once."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from millethead.execution.messages import Resources

MOST_SPEC_BYTES = 4000
MOST_STEPS = 256
MOST_TASKS = 20_000  # of all steps together
MOST_FIGURE = 2**31 - 1


class InvalidJob(ValueError):
    """A job that cannot be taken; `findings` names each place and what is wrong there."""

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


@dataclass(frozen=True, slots=True)
class StepDescription:
    """One step: `count` like tasks. Times in ms; see the protocol page for each field."""

    count: int
    needs: Resources
    estimate_ms: int
    dependencies: tuple[int, ...]
    checkpoints: bool
    gang: bool
    same_rack: bool
    requires: str
    affinity: str
    anti_affinity: int
    idempotent: bool
    long_running: bool


@dataclass(frozen=True, slots=True)
class JobDescription:
    """A job. `repeats` 0: it runs once, at once; else that many times, time K at `delay_ms` + K * `interval_ms` since
    1970."""

    spec: str
    steps: tuple[StepDescription, ...]
    repeats: int
    delay_ms: int
    interval_ms: int

    @property
    def lasting(self) -> bool:
        """Whether a step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    def due_ms(self, time: int) -> int:
        """When a time of the job is due, in ms since 1970; 0 for a job without times."""
        return self.delay_ms + time * self.interval_ms if self.repeats else 0

    def tails_ms(self) -> list[int]:
        """Of each step, the longest chain of steps that come after it, by estimate."""
        tails = [0] * len(self.steps)
        for number, step in reversed(list(enumerate(self.steps))):
            for earlier in step.dependencies:
                tails[earlier] = max(tails[earlier], step.estimate_ms + tails[number])
        return tails

    def chain_length(self) -> int:
        """The most steps that come one after the other."""
        lengths: list[int] = []
        for step in self.steps:
            lengths.append(1 + max((lengths[number] for number in step.dependencies), default=0))
        return max(lengths, default=0)

    def longest_chain_ms(self) -> int:
        """The longest chain of steps by estimate."""
        ends: list[int] = []
        for step in self.steps:
            start = max((ends[number] for number in step.dependencies), default=0)
            ends.append(start + step.estimate_ms)
        return max(ends, default=0)


NOTHING = JobDescription("", (), 0, 0, 0)  # of a job that has ended, of which only the end is kept


class _Reader:
    """Reads fields of JSON objects and collects what is wrong."""

    def __init__(self) -> None:
        self.findings: list[str] = []

    def number(self, values: dict[str, Any], name: str, place: str, most: int = MOST_FIGURE) -> int:
        value = values.get(name, 0)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= most:
            self.findings.append(f"{place}{name}: a number from 0 to {most} is wanted")
            return 0
        return int(value)

    def text(self, values: dict[str, Any], name: str, place: str) -> str:
        value = values.get(name) or ""
        if not isinstance(value, str):
            self.findings.append(f"{place}{name}: a text is wanted")
            return ""
        return value

    def flag(self, values: dict[str, Any], name: str, place: str) -> bool:
        value = values.get(name, False)
        if not isinstance(value, bool | int):
            self.findings.append(f"{place}{name}: true or false is wanted")
            return False
        return bool(value)


def read_job(body: bytes) -> JobDescription:
    """The job that a body describes; raises InvalidJob with all findings."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidJob(["the body is not JSON"]) from None
    if not isinstance(document, dict):
        raise InvalidJob(["the body is not an object"])
    reader = _Reader()
    spec = reader.text(document, "spec", "")
    try:
        if len(spec.encode()) > MOST_SPEC_BYTES:
            reader.findings.append(f"spec: longer than {MOST_SPEC_BYTES} bytes")
    except UnicodeEncodeError:
        reader.findings.append("spec: not a text of Unicode characters")
    steps = _read_steps(document, reader)
    job = JobDescription(
        spec,
        steps,
        reader.number(document, "repeats", "", 1_000_000),
        reader.number(document, "delay_ms", "", 2**53),
        reader.number(document, "interval_ms", ""),
    )
    if sum(step.count for step in steps) > MOST_TASKS:
        reader.findings.append(f"steps: more than {MOST_TASKS} tasks")
    if reader.findings:
        raise InvalidJob(reader.findings)
    return job


def _read_steps(document: dict[str, Any], reader: _Reader) -> tuple[StepDescription, ...]:
    listed = document.get("steps")
    if not isinstance(listed, list) or not listed:
        reader.findings.append("steps: a list of one step or more is wanted")
        return ()
    if len(listed) > MOST_STEPS:
        reader.findings.append(f"steps: more than {MOST_STEPS}")
        return ()
    return tuple(_read_step(document, step, number, reader) for number, step in enumerate(listed))


def _read_step(document: dict[str, Any], step: Any, number: int, reader: _Reader) -> StepDescription:
    place = f"steps[{number}]."
    if not isinstance(step, dict):
        reader.findings.append(f"steps[{number}]: an object is wanted")
        step = {}
    count = reader.number(step, "count", place, MOST_TASKS)
    if count < 1:
        reader.findings.append(f"{place}count: at least 1 is wanted")
    return StepDescription(
        count,
        Resources(
            reader.number(step, "cpu", place),
            reader.number(step, "mem_mb", place),
            reader.number(step, "gpu", place, 65_535),
        ),
        reader.number(step, "estimate_ms", place),
        _dependencies(step, number, place, reader),
        reader.flag(step, "checkpoints", place),
        reader.flag(step, "gang", place),
        reader.flag(step, "same_rack", place),
        reader.text(step, "requires", place),
        reader.text(step, "affinity", place),
        reader.number(step, "anti_affinity", place),
        reader.flag(step, "idempotent", place) or reader.flag(document, "idempotent", ""),
        reader.flag(step, "long_running", place) or reader.flag(document, "long_running", ""),
    )


def _dependencies(step: dict[str, Any], number: int, place: str, reader: _Reader) -> tuple[int, ...]:
    listed = step.get("deps") or []
    if not isinstance(listed, list) or any(
        isinstance(other, bool) or not isinstance(other, int) or not 0 <= other < number for other in listed
    ):
        reader.findings.append(f"{place}deps: numbers of earlier steps are wanted")
        return ()
    return tuple(sorted(set(listed)))
