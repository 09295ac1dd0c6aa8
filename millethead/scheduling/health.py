"""What is learnt of the workers from the ends and the progress of their runs, and which are avoided for it.

A worker is SOUND until most of its recent runs fail, its runs stand still, or it is far slower than others at the same
work. Then it is AVOIDED for a pause that doubles each time, and after it PROBING: one task at a time tries it out.

Some work fails always and everywhere. So failures of a step count against a worker only while the step has not failed
on another sound worker too; and of several failures of one step at one worker only one counts, unless tasks of the step
have succeeded elsewhere, and none has failed there. That earlier steps of its job succeeded says nothing. Paces are
compared between tasks of one step where possible, since estimates are rough.

Times are seconds of a steady clock.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from math import exp, inf, log

from millethead.execution.messages import RunEnd
from millethead.scheduling.model import LEAST_WEIGHT, StepKey

FIRST_PAUSE_S, LONGEST_PAUSE_S = 3.0, 12.0
ENDS_KEPT = 8  # recent ends that a verdict rests on
ENDS_AGE_S = 20.0  # older ends say nothing any more
BAD_STREAK = 3  # counted failures since the last success that make a worker avoided
BAD_START = 2  # the same where no success is among the recent ends
BAD_SHARE = 4  # or so many among the recent ends, if they are the larger part
COUNTED_PER_STEP = 3  # failures of one step counted at most where its tasks succeed elsewhere
STALL_S, STALL_SHARE = 2.0, 0.5  # a run stands still after this long, and this part of its estimate
LEAST_SPAN_S = 0.2  # shorter spans between two reports say nothing about pace
SLOW, VERY_SLOW = 1.25, 3.0  # times others' pace from which a worker is chosen less, and avoided
PACE_SAMPLES = 3  # before a worker is avoided for its pace
SAME_STEP, SAME_QUEUE = 0.4, 0.1  # how far one sample moves a worker's pace, by what it is compared with
QUEUE_MOVE = 0.05
STEPS_KEPT = 4096  # remembered
CHANGES_KEPT = 256  # until they are told

RunName = tuple[StepKey, int, str]  # step, index, instance
Work = tuple[str, int]  # a step of a job, whatever its time


class Standing(Enum):
    """What is held of a worker."""

    SOUND = "sound"
    AVOIDED = "avoided"
    PROBING = "probing"


class Cause(Enum):
    """Why a worker is not sound."""

    NONE = "none"
    FAILS = "fails"
    STALLS = "stalls"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class StandingChange:
    """A worker is held to be something else from now on."""

    instance: str
    standing: Standing
    cause: Cause


@dataclass(frozen=True, slots=True)
class _End:
    at: float
    work: Work
    good: bool


@dataclass(slots=True)
class _Worker:
    instance: str
    standing: Standing = Standing.SOUND
    cause: Cause = Cause.NONE
    until: float = -inf  # end of the pause
    pause: float = FIRST_PAUSE_S  # the next one
    probe: RunName | None = None
    pace: float = 0.0  # logarithm of its time over that of others
    samples: int = 0
    ends: deque[_End] = field(default_factory=lambda: deque(maxlen=ENDS_KEPT))
    stalled: set[RunName] = field(default_factory=set)


@dataclass(slots=True)
class _Record:
    """Where tasks of a step have ended well, and where not."""

    done_on: set[str] = field(default_factory=set)
    failed_on: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Watch:
    """A run's progress: `percent` since `moved_at`."""

    percent: int
    moved_at: float


@dataclass(slots=True)
class _Pace:
    """Mean logarithm of time over estimate, with the instances that it comes from."""

    mean: float
    count: int
    instances: set[str]


class Health:
    """The standing of all workers. `changed` collects the instances whose standing or weight has changed."""

    def __init__(self) -> None:
        self.changed: set[str] = set()
        self._workers: dict[str, _Worker] = {}
        self._records: OrderedDict[Work, _Record] = OrderedDict()
        self._steps: OrderedDict[StepKey, _Pace] = OrderedDict()
        self._queues: dict[str, float] = {}
        self._watches: dict[RunName, _Watch] = {}
        self._pausing: set[str] = set()
        self._told: deque[StandingChange] = deque(maxlen=CHANGES_KEPT)

    # ---- what is asked ---------------------------------------------------------------------------------------------

    def standing(self, instance: str) -> Standing:
        """What is held of a worker."""
        worker = self._workers.get(instance)
        return worker.standing if worker else Standing.SOUND

    def cause(self, instance: str) -> Cause:
        """Why a worker is not sound."""
        worker = self._workers.get(instance)
        return worker.cause if worker else Cause.NONE

    def take_changes(self) -> list[StandingChange]:
        """The changes of standing since the last time, the last ones of very many."""
        taken = list(self._told)
        self._told.clear()
        return taken

    def weight(self, instance: str) -> float:
        """A factor of the worker's weight, at most 1; 0: it gets nothing."""
        worker = self._workers.get(instance)
        if worker is None:
            return 1.0
        if worker.standing is Standing.AVOIDED:
            return 0.0
        if worker.standing is Standing.PROBING:
            return 0.0 if worker.probe else 1.0
        slowness = exp(worker.pace)
        return 1.0 if slowness < SLOW else max(LEAST_WEIGHT, slowness**-2)

    def stalled(self) -> list[RunName]:
        """Runs that stand still though they should move."""
        return [name for worker in self._workers.values() for name in sorted(worker.stalled)]

    @property
    def next_wake(self) -> float:
        """When the next pause ends; infinite if none is under way."""
        return min((self._workers[instance].until for instance in self._pausing), default=inf)

    # ---- what is learnt --------------------------------------------------------------------------------------------

    def wake(self, now: float) -> None:
        """Begin to probe the workers whose pause is over."""
        for instance in [instance for instance in self._pausing if self._workers[instance].until <= now]:
            worker = self._workers[instance]
            self._move(worker, Standing.PROBING, worker.cause, now)

    def forget(self, instance: str) -> None:
        """The worker's life is over."""
        self._workers.pop(instance, None)
        self._pausing.discard(instance)

    def started(self, name: RunName) -> None:
        """A run is placed."""
        worker = self._workers.get(name[2])
        if worker is not None and worker.standing is Standing.PROBING and worker.probe is None:
            worker.probe = name
            self.changed.add(worker.instance)

    def ended(self, name: RunName, how: RunEnd, now: float) -> None:
        """A run is over. What ended neither `done` nor `failed` says nothing of the worker."""
        self._watches.pop(name, None)
        worker = self._worker(name[2])
        was_probe = worker.probe == name
        worker.stalled.discard(name)
        if was_probe:
            worker.probe = None
            self.changed.add(worker.instance)
        if how is RunEnd.DONE:
            self._succeeded(worker, _work(name), was_probe, now)
        elif how is RunEnd.FAILED:
            self._failed(worker, _work(name), was_probe, now)

    def progressed(
        self, name: RunName, queue: str, expected_s: float, patience_s: float, percent: int, now: float
    ) -> None:
        """A report of a run's percentage. `expected_s` is what the run should take in all there; `patience_s` is added
        to the time for which it may stand still."""
        watch = self._watches.get(name)
        if watch is None:
            self._watches[name] = _Watch(percent, now)
            return
        if percent == watch.percent:
            if now - watch.moved_at > max(STALL_S, STALL_SHARE * expected_s) + patience_s:
                self._stands_still(name, now)
            return
        span, part = now - watch.moved_at, (percent - watch.percent) / 100.0
        if watch.percent and part > 0.0 and span >= LEAST_SPAN_S:
            self.took(name, queue, span / part / max(expected_s, 1e-3), now)
        watch.percent, watch.moved_at = percent, now
        self._moves_on(name, now)

    def took(self, name: RunName, queue: str, ratio: float, now: float) -> None:
        """A run, or a part of it, took `ratio` times what was expected: compared with others at the same work."""
        key, _, instance = name
        sample = log(min(100.0, max(0.01, ratio)))
        step = self._steps.get(key)
        if step is not None and step.instances - {instance}:
            relative, move = sample - step.mean, SAME_STEP
        else:
            relative, move = sample - self._queues.setdefault(queue, sample), SAME_QUEUE
        self._note_pace(key, queue, instance, sample)
        worker = self._worker(instance)
        worker.pace += move * (relative - worker.pace)
        worker.samples += 1
        self.changed.add(instance)
        self._judge_pace(worker, now)

    # ---- verdicts --------------------------------------------------------------------------------------------------

    def _move(self, worker: _Worker, standing: Standing, cause: Cause, now: float) -> None:
        """The one place where a worker's standing changes."""
        worker.standing, worker.cause = standing, cause
        self._told.append(StandingChange(worker.instance, standing, cause))
        worker.probe = None
        self.changed.add(worker.instance)
        self._pausing.discard(worker.instance)
        if standing is Standing.AVOIDED:
            worker.until = now + worker.pause
            worker.pause = min(LONGEST_PAUSE_S, 2.0 * worker.pause)
            self._pausing.add(worker.instance)
        elif standing is Standing.SOUND:
            worker.pause = FIRST_PAUSE_S
            worker.ends.clear()

    def _succeeded(self, worker: _Worker, work: Work, was_probe: bool, now: float) -> None:
        known = self._record(work)
        known.done_on.add(worker.instance)
        if was_probe and worker.cause is Cause.SLOW and exp(worker.pace) > VERY_SLOW:
            self._move(worker, Standing.AVOIDED, Cause.SLOW, now)
        elif was_probe:
            self._move(worker, Standing.SOUND, Cause.NONE, now)
        if worker.standing is Standing.SOUND:
            worker.ends.append(_End(now, work, True))
        for instance in known.failed_on:
            self._judge_ends(self._worker(instance), now)

    def _failed(self, worker: _Worker, work: Work, was_probe: bool, now: float) -> None:
        known = self._record(work)
        known.failed_on.add(worker.instance)
        if was_probe and not self._blames_itself(known, worker.instance):
            self._move(worker, Standing.AVOIDED, worker.cause, now)
        elif worker.standing is Standing.SOUND:
            worker.ends.append(_End(now, work, False))
        for instance in known.failed_on:
            self._judge_ends(self._worker(instance), now)

    def _judge_ends(self, worker: _Worker, now: float) -> None:
        """Avoid a worker whose ends speak against it; clear one whose jobs have turned out to fail everywhere."""
        guilty = self._guilty(worker, now)
        if guilty and worker.standing is Standing.SOUND:
            self._move(worker, Standing.AVOIDED, Cause.FAILS, now)
        elif (
            not guilty
            and worker.standing is Standing.AVOIDED
            and worker.cause is Cause.FAILS
            and not (worker.pause > 2.0 * FIRST_PAUSE_S)
        ):
            self._move(worker, Standing.SOUND, Cause.NONE, now)

    def _guilty(self, worker: _Worker, now: float) -> bool:
        good = bad = streak = 0
        counted: dict[Work, int] = {}
        for end in reversed(worker.ends):
            if end.at < now - ENDS_AGE_S:
                break
            if end.good:
                good += 1
            elif self._counts(end.work, worker.instance, counted):
                bad += 1
                streak += not good
        return streak >= BAD_STREAK or (not good and bad >= BAD_START) or (bad >= BAD_SHARE and bad > good)

    def _counts(self, work: Work, instance: str, counted: dict[Work, int]) -> bool:
        known = self._record(work)
        if self._blames_itself(known, instance):
            return False
        counted[work] = counted.get(work, 0) + 1
        only_here = bool(known.done_on - {instance}) and not self._fails_elsewhere(known, instance)
        return counted[work] <= (COUNTED_PER_STEP if only_here else 1)

    def _blames_itself(self, known: _Record, instance: str) -> bool:
        """Whether a step's failures lie with itself: it failed on other sound workers too, and never succeeded."""
        return not known.done_on and self._fails_elsewhere(known, instance)

    def _fails_elsewhere(self, known: _Record, instance: str) -> bool:
        """Whether tasks of a step have failed on another sound worker: some of them may be at fault themselves."""
        return any(self.standing(other) is Standing.SOUND for other in known.failed_on - {instance})

    def _stands_still(self, name: RunName, now: float) -> None:
        worker = self._worker(name[2])
        worker.stalled.add(name)
        if worker.standing is Standing.SOUND or worker.probe == name:
            self._move(worker, Standing.AVOIDED, Cause.STALLS, now)

    def _moves_on(self, name: RunName, now: float) -> None:
        worker = self._worker(name[2])
        worker.stalled.discard(name)
        if worker.cause is Cause.STALLS and not worker.stalled:
            self._move(worker, Standing.SOUND, Cause.NONE, now)

    def _judge_pace(self, worker: _Worker, now: float) -> None:
        slowness = exp(worker.pace)
        if worker.standing is Standing.SOUND and slowness > VERY_SLOW and worker.samples >= PACE_SAMPLES:
            self._move(worker, Standing.AVOIDED, Cause.SLOW, now)
        elif worker.cause is Cause.SLOW and slowness < VERY_SLOW / 2:
            self._move(worker, Standing.SOUND, Cause.NONE, now)

    # ---- memory ----------------------------------------------------------------------------------------------------

    def _note_pace(self, key: StepKey, queue: str, instance: str, sample: float) -> None:
        mean = self._queues.get(queue, sample)
        self._queues[queue] = mean + QUEUE_MOVE * (sample - mean)
        step = self._steps.get(key)
        if step is None:
            step = self._steps[key] = _Pace(sample, 0, set())
            if len(self._steps) > STEPS_KEPT:
                self._steps.popitem(last=False)
        step.count += 1
        step.mean += (sample - step.mean) / step.count
        step.instances.add(instance)

    def _worker(self, instance: str) -> _Worker:
        if instance not in self._workers:
            self._workers[instance] = _Worker(instance)
        return self._workers[instance]

    def _record(self, work: Work) -> _Record:
        if work not in self._records:
            self._records[work] = _Record()
            if len(self._records) > STEPS_KEPT:
                self._records.popitem(last=False)
        return self._records[work]


def _work(name: RunName) -> Work:
    """The work that a run does."""
    key = name[0]
    return key.job, key.step
