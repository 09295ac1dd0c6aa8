"""Job description that a client submits as JSON: a text for the workers and steps of tasks. Validation reports all
errors of a document at once."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from millethead.execution.messages import Resources

MAX_SPEC_BYTES = 4000
MAX_STEPS = 256
MAX_TASKS = 20_000  # sum over all steps
MAX_NUMBER = 2**31 - 1


class InvalidJob(ValueError):
    """Raised for an invalid job description. `findings` has one text for each error, with the place in the document."""

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


@dataclass(frozen=True, slots=True)
class StepDescription:
    """One step, which consists of `count` equal tasks. The protocol page describes the fields."""

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
    """A job. With `repeats` 0 it runs once, immediately. Otherwise it runs `repeats` times, numbered from 0, and time K
    is due `delay_ms` + K * `interval_ms` after the start of 1970."""

    spec: str
    steps: tuple[StepDescription, ...]
    repeats: int
    delay_ms: int
    interval_ms: int

    @property
    def lasting(self) -> bool:
        """Whether any step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    def due_ms(self, time: int) -> int:
        """When this time (occurrence) of the job is due, in ms since 1970; 0 for a job that is not repeated."""
        return self.delay_ms + time * self.interval_ms if self.repeats else 0

    def longest_successor_chain_ms(self) -> list[int]:
        """For each step, the estimated duration of the longest chain of steps that depend on it, without the step."""
        successors_ms = [0] * len(self.steps)
        for number, step in reversed(list(enumerate(self.steps))):
            for earlier in step.dependencies:
                successors_ms[earlier] = max(successors_ms[earlier], step.estimate_ms + successors_ms[number])
        return successors_ms

    def chain_length(self) -> int:
        """Number of steps in the longest dependency chain."""
        lengths: list[int] = []
        for step in self.steps:
            lengths.append(1 + max((lengths[number] for number in step.dependencies), default=0))
        return max(lengths, default=0)

    def critical_path_ms(self) -> int:
        """Estimated duration of the critical path: the dependency chain that takes longest."""
        ends: list[int] = []
        for step in self.steps:
            start = max((ends[number] for number in step.dependencies), default=0)
            ends.append(start + step.estimate_ms)
        return max(ends, default=0)


NOTHING = JobDescription("", (), 0, 0, 0)  # description of a trimmed job, which keeps only its final state


class _Reader:
    """Reads and validates fields of JSON objects, and collects the errors."""

    def __init__(self) -> None:
        self.findings: list[str] = []

    def number(self, values: dict[str, Any], name: str, place: str, maximum: int = MAX_NUMBER) -> int:
        value = values.get(name, 0)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= maximum:
            self.findings.append(f"{place}{name}: a number from 0 to {maximum} is wanted")
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
    """Parses and validates a request body; raises InvalidJob with all errors."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidJob(["the body is not JSON"]) from None
    if not isinstance(document, dict):
        raise InvalidJob(["the body is not an object"])
    reader = _Reader()
    spec = reader.text(document, "spec", "")
    try:
        if len(spec.encode()) > MAX_SPEC_BYTES:
            reader.findings.append(f"spec: longer than {MAX_SPEC_BYTES} bytes")
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
    if sum(step.count for step in steps) > MAX_TASKS:
        reader.findings.append(f"steps: more than {MAX_TASKS} tasks")
    if reader.findings:
        raise InvalidJob(reader.findings)
    return job


def _read_steps(document: dict[str, Any], reader: _Reader) -> tuple[StepDescription, ...]:
    listed = document.get("steps")
    if not isinstance(listed, list) or not listed:
        reader.findings.append("steps: a list of one step or more is wanted")
        return ()
    if len(listed) > MAX_STEPS:
        reader.findings.append(f"steps: more than {MAX_STEPS}")
        return ()
    return tuple(_read_step(document, step, number, reader) for number, step in enumerate(listed))


def _read_step(document: dict[str, Any], step: Any, number: int, reader: _Reader) -> StepDescription:
    place = f"steps[{number}]."
    if not isinstance(step, dict):
        reader.findings.append(f"steps[{number}]: an object is wanted")
        step = {}
    count = reader.number(step, "count", place, MAX_TASKS)
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
