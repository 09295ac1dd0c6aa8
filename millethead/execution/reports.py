"""Ends on their way to the head: sent until they are acknowledged; only then does `last_seen` move past them."""

from __future__ import annotations

from dataclasses import dataclass, field

from millethead.execution.messages import EndEntry, RunKey, RunProgress, RunReport


@dataclass(slots=True)
class LastSeen:
    """How far the listed ends of one life are acknowledged: `number` is the largest such that all up to it are, or were
    forgotten by the worker before (an agent that was started anew finds those missing)."""

    number: int = 0
    _reported: set[int] = field(default_factory=set)
    _acknowledged: set[int] = field(default_factory=set)

    def take_new(self, ends: tuple[EndEntry, ...]) -> tuple[EndEntry, ...]:
        """The listed ends, by rising number, that have not been reported yet; they count as reported from now on."""
        if ends and not self._reported:
            self.number = max(self.number, ends[0].number - 1)
        new = tuple(end for end in ends if end.number > self.number and end.number not in self._reported)
        self._reported.update(end.number for end in new)
        return new

    def acknowledge(self, number: int) -> None:
        """The end is committed."""
        self._acknowledged.add(number)
        while self.number + 1 in self._acknowledged:
            self.number += 1
            self._acknowledged.discard(self.number)
            self._reported.discard(self.number)


class PendingReports:
    """Reports of all lives that hold ends and are not acknowledged yet, by rising sequence."""

    def __init__(self) -> None:
        self._sequence = 0
        self._unacknowledged: list[RunReport] = []

    @property
    def unacknowledged(self) -> tuple[RunReport, ...]:
        """What is to be sent again in a new session."""
        return tuple(self._unacknowledged)

    def add(self, report: RunReport) -> RunReport:
        """The report with its sequence: the next one if it holds ends, else 0, and then it is not kept."""
        if not report.ends:
            return report
        self._sequence += 1
        numbered = RunReport(report.instance, self._sequence, report.started, report.ends, report.progress)
        self._unacknowledged.append(RunReport(report.instance, self._sequence, (), report.ends, ()))
        return numbered

    def acknowledge(self, instance: str, sequence: int) -> tuple[EndEntry, ...]:
        """Drop the life's report of this sequence; returns the ends that are acknowledged thereby. It says nothing of those
        before: one may have come while its member was not the head, and the next one to the head of a new epoch."""
        acknowledged = [
            report for report in self._unacknowledged if report.instance == instance and report.sequence == sequence
        ]
        self._unacknowledged = [report for report in self._unacknowledged if report not in acknowledged]
        return tuple(end for report in acknowledged for end in report.ends)


@dataclass(slots=True)
class ReportDraft:
    """What is to be told about one life once the event at hand has been dealt with."""

    started: list[RunKey] = field(default_factory=list)
    ends: list[EndEntry] = field(default_factory=list)
    progress: list[RunProgress] = field(default_factory=list)

    def take(self, instance: str) -> RunReport | None:
        """What there is to tell, as a report; None if nothing. The draft is empty afterwards."""
        if not (self.started or self.ends or self.progress):
            return None
        report = RunReport(instance, 0, tuple(self.started), tuple(self.ends), tuple(self.progress))
        self.started, self.ends, self.progress = [], [], []
        return report
