"""Workers of the emulated system: the stand-in worker, with gangs over several workers and with grey conditions, and an
observer of what happens there."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from millethead.lab.worker import MS, Body, Ended, HeldRun, Phase, Started, TaskWork, WorkerModel, WorkerProfile

MARK = "|"  # in a checkpoint, before the name of what it belongs to


class Observer(Protocol):
    """Is told what happens at workers."""

    def started(self, worker: SystemWorker, start: Started, body: Body) -> None: ...

    def ended(self, worker: SystemWorker, end: Ended) -> None: ...

    def noted(self, worker: SystemWorker, end: Ended, now: float, lapsed: bool) -> None:
        """`last_seen` has reached the end; `lapsed`: the worker's hold ran out in between."""
        ...


class Condition(Enum):
    """How a worker treats what it starts."""

    SOUND = "sound"
    FAILS_ALL = "fails all"
    STANDS_STILL = "stands still"
    SLOW = "slow"


class GangRegistry:
    """The members of each run of a gang that are there, over all workers."""

    def __init__(self) -> None:
        self._members: dict[str, dict[str, tuple[SystemWorker, HeldRun]]] = {}

    def join(self, worker: SystemWorker, run: HeldRun, now: float) -> None:
        """A member has started; once all are there, all begin."""
        members = self._members.setdefault(run.gang, {})
        members[run.task] = (worker, run)
        if len(members) < run.work.gang:
            return
        for other, member in members.values():
            if member.phase is Phase.GATHERING:
                member.phase, member.begins_at = Phase.WORKING, max(member.begins_at, now)
                other.replan()

    def leave(self, run: HeldRun) -> None:
        """A member has ended."""
        members = self._members.get(run.gang, {})
        members.pop(run.task, None)
        if not members:
            self._members.pop(run.gang, None)

    def others(self, run: HeldRun) -> list[tuple[SystemWorker, HeldRun]]:
        """The members that are still there."""
        return [entry for entry in self._members.get(run.gang, {}).values() if entry[1] is not run]


class SystemWorker(WorkerModel):
    """A worker among others. `replan` is called when the time of its next event may have changed."""

    def __init__(
        self,
        profile: WorkerProfile,
        work: Callable[[str, str], TaskWork],
        instance: str,
        now: float,
        gangs: GangRegistry,
        observer: Observer,
        replan: Callable[[], None],
    ) -> None:
        super().__init__(profile, work, instance, now)
        self._gangs, self._observer, self.replan = gangs, observer, replan
        self.condition = Condition.SOUND
        self.lapsed_at = -math.inf  # when the hold of this life ran out last, though it was renewed later

    # ---- conditions --------------------------------------------------------------------------------------

    def set_condition(self, condition: Condition, now: float) -> None:
        """Change how tasks are treated. Work that stood still goes on."""
        self.advance(now)
        self.condition = condition
        for run in self.running():
            if condition is Condition.STANDS_STILL and run.phase is Phase.WORKING:
                run.done_before, run.begins_at = self._worked(run, now), math.inf
            elif condition is not Condition.STANDS_STILL and run.begins_at == math.inf:
                run.begins_at = now
        self.replan()

    # ---- starts ------------------------------------------------------------------------------------------

    def _start(self, body: Body, now: float, late: bool) -> tuple[int, Body]:
        before = len(self.starts)
        answer = super()._start(body, now, late)
        if len(self.starts) > before:
            self._observer.started(self, self.starts[-1], body)
        return answer

    def _begin(self, task: str, number: int, work: TaskWork, checkpoint: str, now: float) -> None:
        begins_at = now + (self.profile.restore_ms / MS if checkpoint else 0.0)
        if self.condition is Condition.STANDS_STILL:
            begins_at = math.inf
        phase = Phase.GATHERING if work.gang else Phase.WORKING
        run = HeldRun(task, number, work, phase, now, begins_at, saved_work(checkpoint))
        self._life.runs[(task, number)] = run
        if work.gang:
            self._gangs.join(self, run, now)

    def _saved(self, run: HeldRun, now: float, at_stop: bool = False) -> str:
        text = super()._saved(run, now, at_stop)
        return f"{text}{MARK}{owner_of(run.task, bool(run.work.gang))}" if text else ""

    # ---- ends --------------------------------------------------------------------------------------------

    def _end(self, run: HeldRun, how: str, at: float) -> None:
        super()._end(run, how, at)
        self._observer.ended(self, self.ends[-1])
        if run.work.gang:
            self._gangs.leave(run)
            if how == "lapsed":
                self._break_others(run, "broken", at)

    def _break_gang(self, ended: HeldRun, how: str, at: float) -> None:
        if ended.work.gang and how != "alone":
            self._break_others(ended, "done" if how == "done" else "broken", at)

    def _break_others(self, ended: HeldRun, how: str, at: float) -> None:
        """An end of one member is the end of all others, wherever they are."""
        for worker, member in self._gangs.others(ended):
            if worker is self and self.lapsing(at):
                continue  # it lapses itself
            if (member.task, member.run) in worker._life.runs:
                worker._end(member, how, at)
                worker.replan()

    def lapsing(self, at: float) -> bool:
        """Whether everything here is being killed because the hold is over."""
        return self.clock_ms(at) >= self._life.held_until_ms - 1e-6

    def crash(self, now: float) -> None:
        self.advance(now)
        runs = self.running()
        super().crash(now)
        for run in runs:
            self._observer.ended(self, Ended(now, 0, run.task, run.run, "crashed", "", self.instance))
            if run.work.gang:
                self._gangs.leave(run)
                self._break_others(run, "broken", now)

    def restart(self, instance: str, now: float, clock_ms: float = 1000.0) -> None:
        super().restart(instance, now, clock_ms)
        self.lapsed_at = -math.inf

    # ---- holds -------------------------------------------------------------------------------------------

    def _note_lapse(self, now: float) -> None:
        life = self._life
        if self.clock_ms(now) > life.held_until_ms > -math.inf:
            held_s = (life.held_until_ms - life.clock_offset_ms) / (MS * self.profile.rate)
            self.lapsed_at = max(self.lapsed_at, life.began_at + held_s)

    def _grant(self, deadline_ms: float, now: float) -> None:
        self._note_lapse(now)
        super()._grant(deadline_ms, now)

    def _hold(self, body: Body, now: float) -> tuple[int, Body]:
        self._note_lapse(now)
        seen = body.get("last_seen", 0)
        noted = [end for end in self._life.ends if self._life.last_seen < end.number <= seen]
        answer = super()._hold(body, now)
        for end in noted:
            self._observer.noted(self, end, now, self.lapsed_at >= end.at)
        return answer


def owner_of(task: str, gang: bool) -> str:
    """What a checkpoint belongs to: the task, or the step at its time for the members of a gang."""
    return task.rsplit(".", 1)[0] if gang else task


def saved_work(checkpoint: str) -> float:
    """The seconds of work that a checkpoint holds."""
    return float(checkpoint.split(MARK)[0]) if checkpoint else 0.0
