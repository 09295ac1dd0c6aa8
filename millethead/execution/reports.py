"""Reports of ended runs: sent until the head acknowledges them; only then does `last_seen` advance past them."""

from __future__ import annotations

from dataclasses import dataclass, field

from millethead.execution.messages import EndEntry, RunKey, RunProgress, RunReport


@dataclass(slots=True)
class LastSeen:
    """Progress of the acknowledgements of one instance's ends.

    `number` is the largest number for which all ends up to it are acknowledged. A new agent process finds that the
    worker has forgotten the first ends; these count as acknowledged.
    """

    number: int = 0
    _reported: set[int] = field(default_factory=set)
    _acknowledged: set[int] = field(default_factory=set)

    def take_new(self, ends: tuple[EndEntry, ...]) -> tuple[EndEntry, ...]:
        """Return the listed ends (in ascending order) that have not been reported yet and mark them as reported."""
        if ends and not self._reported:
            self.number = max(self.number, ends[0].number - 1)
        new = tuple(end for end in ends if end.number > self.number and end.number not in self._reported)
        self._reported.update(end.number for end in new)
        return new

    def acknowledge(self, number: int) -> None:
        """Record that the head has committed the end."""
        self._acknowledged.add(number)
        while self.number + 1 in self._acknowledged:
            self.number += 1
            self._acknowledged.discard(self.number)
            self._reported.discard(self.number)


class PendingReports:
    """Reports with ends that the head has not acknowledged yet, for all instances, by ascending sequence."""

    def __init__(self) -> None:
        self._sequence = 0
        self._unacknowledged: list[RunReport] = []

    @property
    def unacknowledged(self) -> tuple[RunReport, ...]:
        """The reports to send again in a new session."""
        return tuple(self._unacknowledged)

    def add(self, report: RunReport) -> RunReport:
        """Return the report with its sequence number.

        A report with ends gets the next number and is kept. A report without ends gets 0 and is not kept.
        """
        if not report.ends:
            return report
        self._sequence += 1
        numbered = RunReport(report.instance, self._sequence, report.started, report.ends, report.progress)
        self._unacknowledged.append(RunReport(report.instance, self._sequence, (), report.ends, ()))
        return numbered

    def acknowledge(self, instance: str, sequence: int) -> tuple[EndEntry, ...]:
        """Drop the report with this sequence number and return its ends.

        Earlier reports remain pending: a report may have been lost while its member was not the head, and the next one
        may have reached the head of a new epoch.
        """
        acknowledged = [
            report for report in self._unacknowledged if report.instance == instance and report.sequence == sequence
        ]
        self._unacknowledged = [report for report in self._unacknowledged if report not in acknowledged]
        return tuple(end for report in acknowledged for end in report.ends)


@dataclass(slots=True)
class ReportDraft:
    """What has to be reported about one instance after the current event has been processed."""

    started: list[RunKey] = field(default_factory=list)
    ends: list[EndEntry] = field(default_factory=list)
    progress: list[RunProgress] = field(default_factory=list)

    def take(self, instance: str) -> RunReport | None:
        """Return the draft as a report and clear it; None if it is empty."""
        if not (self.started or self.ends or self.progress):
            return None
        report = RunReport(instance, 0, tuple(self.started), tuple(self.ends), tuple(self.progress))
        self.started, self.ends, self.progress = [], [], []
        return report
