"""Tracks the health of workers from the outcomes and the progress of their runs.

A worker is SOUND until most of its recent runs fail, its runs stall, or it is far slower than other workers at the same
work. It is then AVOIDED for a pause whose length doubles each time, and afterwards PROBING: it gets one task at a time
until a task succeeds.

Some tasks fail on every worker. Failures of a step therefore count against a worker only while the step has not failed
on another sound worker. If a step fails several times on one worker, one failure counts, unless tasks of the step have
succeeded on other workers and none has failed there. Successes of earlier steps of the job do not matter. Paces are
compared between tasks of one step where possible, because estimates are rough.

Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from math import exp, inf, log

from millethead.execution.messages import RunEnd
from millethead.scheduling.model import MIN_HOST_WEIGHT, StepKey

FIRST_PAUSE_S, MAX_PAUSE_S = 3.0, 12.0  # pauses of an avoided worker: the first and the longest
MAX_OUTCOMES = 8  # recent outcomes on which the state of a worker is based
OUTCOME_MAX_AGE_S = 20.0  # older outcomes are ignored
FAILURE_STREAK_LIMIT = 3  # counted failures since the last success from which a worker is avoided
INITIAL_FAILURE_LIMIT = 2  # the same if no recent run succeeded
FAILURE_MAJORITY_LIMIT = 4  # the same among the recent outcomes, if failures outnumber successes
MAX_FAILURES_PER_STEP = 3  # counted failures of one step if its tasks succeed on other workers
# Time without progress after which a run is stalled: the larger of the seconds and the fraction of its estimate.
STALL_S, STALL_FRACTION = 2.0, 0.5
MIN_PACE_SPAN_S = 0.2  # shorter spans between two progress reports give no usable pace
# ratio to the pace of others from which a worker is used less, and from which it is avoided
SLOW_PACE, VERY_SLOW_PACE = 1.25, 3.0
MIN_PACE_SAMPLES = 3  # required before a worker is avoided for its pace
# Smoothing factors of a worker's pace for a sample compared within its step, and within its queue.
STEP_PACE_SMOOTHING, QUEUE_PACE_SMOOTHING = 0.4, 0.1
QUEUE_MEAN_SMOOTHING = 0.05  # smoothing factor of the mean pace of a queue
MAX_STEPS = 4096  # steps for which outcomes and paces are kept
MAX_CHANGES = 256  # changes of state kept until they are read

RunKey = tuple[StepKey, int, str]  # step, task index, instance
StepId = tuple[str, int]  # job ID and step number, for all times K of the job


class HealthState(Enum):
    """The health state of a worker. The values appear in operators' reports."""

    SOUND = "sound"
    AVOIDED = "avoided"
    PROBING = "probing"


class Cause(Enum):
    """Why a worker is not in state SOUND. The values appear in operators' reports."""

    NONE = "none"
    FAILS = "fails"
    STALLS = "stalls"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of a worker's health state."""

    instance: str
    state: HealthState
    cause: Cause


@dataclass(frozen=True, slots=True)
class _Outcome:
    ended_at: float
    step_id: StepId
    succeeded: bool


@dataclass(slots=True)
class _Worker:
    instance: str
    state: HealthState = HealthState.SOUND
    cause: Cause = Cause.NONE
    until: float = -inf  # end of the current pause
    pause: float = FIRST_PAUSE_S  # length of the next pause
    probe: RunKey | None = None
    pace: float = 0.0  # logarithm of the ratio of its runtimes to those of others
    samples: int = 0
    outcomes: deque[_Outcome] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    stalled: set[RunKey] = field(default_factory=set)


@dataclass(slots=True)
class _StepRecord:
    """The instances on which tasks of a step have succeeded, and those on which they have failed."""

    done_on: set[str] = field(default_factory=set)
    failed_on: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Progress:
    """The progress of a run: `percent` since `changed_at`."""

    percent: int
    changed_at: float


@dataclass(slots=True)
class _Pace:
    """Mean logarithm of runtime over estimate, with the instances that contributed to it."""

    mean: float
    count: int
    instances: set[str]


class Health:
    """The health states of all workers. `changed` collects the instances whose state or weight has changed."""

    def __init__(self) -> None:
        self.changed: set[str] = set()
        self._workers: dict[str, _Worker] = {}
        self._step_records: OrderedDict[StepId, _StepRecord] = OrderedDict()
        self._step_paces: OrderedDict[StepKey, _Pace] = OrderedDict()
        self._queue_means: dict[str, float] = {}
        self._progress: dict[RunKey, _Progress] = {}
        self._paused: set[str] = set()
        self._changes: deque[HealthChange] = deque(maxlen=MAX_CHANGES)

    # ---- queries ---------------------------------------------------------------------------------------------------

    def state(self, instance: str) -> HealthState:
        """Returns the health state of a worker."""
        worker = self._workers.get(instance)
        return worker.state if worker else HealthState.SOUND

    def cause(self, instance: str) -> Cause:
        """Returns why a worker is not in state SOUND."""
        worker = self._workers.get(instance)
        return worker.cause if worker else Cause.NONE

    def take_changes(self) -> list[HealthChange]:
        """Returns and clears the changes of state since the last call, the last `MAX_CHANGES` of them."""
        taken = list(self._changes)
        self._changes.clear()
        return taken

    def weight(self, instance: str) -> float:
        """Returns the health factor of the worker's weight, from 0 to 1. A worker with weight 0 gets no tasks."""
        worker = self._workers.get(instance)
        if worker is None:
            return 1.0
        if worker.state is HealthState.AVOIDED:
            return 0.0
        if worker.state is HealthState.PROBING:
            return 0.0 if worker.probe else 1.0
        slowness = exp(worker.pace)
        return 1.0 if slowness < SLOW_PACE else max(MIN_HOST_WEIGHT, slowness**-2)

    def stalled(self) -> list[RunKey]:
        """Returns the runs that have made no progress for too long."""
        return [run for worker in self._workers.values() for run in sorted(worker.stalled)]

    @property
    def next_pause_end(self) -> float:
        """The time at which the next pause ends; infinite if no worker is paused."""
        return min((self._workers[instance].until for instance in self._paused), default=inf)

    # ---- observations ----------------------------------------------------------------------------------------------

    def start_probes(self, now: float) -> None:
        """Starts probing the workers whose pause has ended."""
        for instance in [instance for instance in self._paused if self._workers[instance].until <= now]:
            worker = self._workers[instance]
            self._set_state(worker, HealthState.PROBING, worker.cause, now)

    def remove_worker(self, instance: str) -> None:
        """Forgets a worker whose process has ended."""
        self._workers.pop(instance, None)
        self._paused.discard(instance)

    def run_started(self, run: RunKey) -> None:
        """Records a placed run. The first run on a worker in state PROBING is its probe."""
        worker = self._workers.get(run[2])
        if worker is not None and worker.state is HealthState.PROBING and worker.probe is None:
            worker.probe = run
            self.changed.add(worker.instance)

    def run_ended(self, run: RunKey, outcome: RunEnd, now: float) -> None:
        """Records the end of a run. Outcomes other than DONE and FAILED do not affect the worker's health."""
        self._progress.pop(run, None)
        worker = self._worker(run[2])
        was_probe = worker.probe == run
        worker.stalled.discard(run)
        if was_probe:
            worker.probe = None
            self.changed.add(worker.instance)
        if outcome is RunEnd.DONE:
            self._record_success(worker, _step_id(run), was_probe, now)
        elif outcome is RunEnd.FAILED:
            self._record_failure(worker, _step_id(run), was_probe, now)

    def run_progressed(
        self, run: RunKey, queue: str, expected_s: float, grace_s: float, percent: int, now: float
    ) -> None:
        """Records the progress report of a run.

        `expected_s` is the expected total runtime of the run on this worker. `grace_s` extends the time without
        progress after which the run counts as stalled.
        """
        progress = self._progress.get(run)
        if progress is None:
            self._progress[run] = _Progress(percent, now)
            return
        if percent == progress.percent:
            if now - progress.changed_at > max(STALL_S, STALL_FRACTION * expected_s) + grace_s:
                self._run_stalled(run, now)
            return
        span, fraction = now - progress.changed_at, (percent - progress.percent) / 100.0
        if progress.percent and fraction > 0.0 and span >= MIN_PACE_SPAN_S:
            self.record_pace(run, queue, span / fraction / max(expected_s, 1e-3), now)
        progress.percent, progress.changed_at = percent, now
        self._run_resumed(run, now)

    def record_pace(self, run: RunKey, queue: str, ratio: float, now: float) -> None:
        """Records that a run, or a part of it, took `ratio` times the expected time.

        The ratio is compared with those of other runs of the same step, or of the same queue if there are none on other
        workers.
        """
        key, _, instance = run
        sample = log(min(100.0, max(0.01, ratio)))
        step = self._step_paces.get(key)
        if step is not None and step.instances - {instance}:
            relative, smoothing = sample - step.mean, STEP_PACE_SMOOTHING
        else:
            relative, smoothing = sample - self._queue_means.setdefault(queue, sample), QUEUE_PACE_SMOOTHING
        self._update_pace_means(key, queue, instance, sample)
        worker = self._worker(instance)
        worker.pace += smoothing * (relative - worker.pace)
        worker.samples += 1
        self.changed.add(instance)
        self._evaluate_pace(worker, now)

    # ---- transitions -----------------------------------------------------------------------------------------------

    def _set_state(self, worker: _Worker, state: HealthState, cause: Cause, now: float) -> None:
        """Changes the state of a worker. All changes of state go through this method."""
        worker.state, worker.cause = state, cause
        self._changes.append(HealthChange(worker.instance, state, cause))
        worker.probe = None
        self.changed.add(worker.instance)
        self._paused.discard(worker.instance)
        if state is HealthState.AVOIDED:
            worker.until = now + worker.pause
            worker.pause = min(MAX_PAUSE_S, 2.0 * worker.pause)
            self._paused.add(worker.instance)
        elif state is HealthState.SOUND:
            worker.pause = FIRST_PAUSE_S
            worker.outcomes.clear()

    def _record_success(self, worker: _Worker, step_id: StepId, was_probe: bool, now: float) -> None:
        record = self._step_record(step_id)
        record.done_on.add(worker.instance)
        if was_probe and worker.cause is Cause.SLOW and exp(worker.pace) > VERY_SLOW_PACE:
            self._set_state(worker, HealthState.AVOIDED, Cause.SLOW, now)
        elif was_probe:
            self._set_state(worker, HealthState.SOUND, Cause.NONE, now)
        if worker.state is HealthState.SOUND:
            worker.outcomes.append(_Outcome(now, step_id, True))
        for instance in record.failed_on:
            self._evaluate_outcomes(self._worker(instance), now)

    def _record_failure(self, worker: _Worker, step_id: StepId, was_probe: bool, now: float) -> None:
        record = self._step_record(step_id)
        record.failed_on.add(worker.instance)
        if was_probe and not self._step_is_at_fault(record, worker.instance):
            self._set_state(worker, HealthState.AVOIDED, worker.cause, now)
        elif worker.state is HealthState.SOUND:
            worker.outcomes.append(_Outcome(now, step_id, False))
        for instance in record.failed_on:
            self._evaluate_outcomes(self._worker(instance), now)

    def _evaluate_outcomes(self, worker: _Worker, now: float) -> None:
        """Avoids a worker whose recent runs fail. Readmits one if its steps turn out to fail on other workers too."""
        failing = self._is_failing(worker, now)
        if failing and worker.state is HealthState.SOUND:
            self._set_state(worker, HealthState.AVOIDED, Cause.FAILS, now)
        elif (
            not failing
            and worker.state is HealthState.AVOIDED
            and worker.cause is Cause.FAILS
            and not (worker.pause > 2.0 * FIRST_PAUSE_S)
        ):
            self._set_state(worker, HealthState.SOUND, Cause.NONE, now)

    def _is_failing(self, worker: _Worker, now: float) -> bool:
        successes = failures = streak = 0
        counted: dict[StepId, int] = {}
        for outcome in reversed(worker.outcomes):
            if outcome.ended_at < now - OUTCOME_MAX_AGE_S:
                break
            if outcome.succeeded:
                successes += 1
            elif self._counts_against_worker(outcome.step_id, worker.instance, counted):
                failures += 1
                streak += not successes
        return (
            streak >= FAILURE_STREAK_LIMIT
            or (not successes and failures >= INITIAL_FAILURE_LIMIT)
            or (failures >= FAILURE_MAJORITY_LIMIT and failures > successes)
        )

    def _counts_against_worker(self, step_id: StepId, instance: str, counted: dict[StepId, int]) -> bool:
        record = self._step_record(step_id)
        if self._step_is_at_fault(record, instance):
            return False
        counted[step_id] = counted.get(step_id, 0) + 1
        only_here = bool(record.done_on - {instance}) and not self._fails_elsewhere(record, instance)
        return counted[step_id] <= (MAX_FAILURES_PER_STEP if only_here else 1)

    def _step_is_at_fault(self, record: _StepRecord, instance: str) -> bool:
        """Returns whether a step causes its own failures: it failed on other sound workers and never succeeded."""
        return not record.done_on and self._fails_elsewhere(record, instance)

    def _fails_elsewhere(self, record: _StepRecord, instance: str) -> bool:
        """Returns whether tasks of a step have failed on another sound worker, so that the tasks may be at fault."""
        return any(self.state(other) is HealthState.SOUND for other in record.failed_on - {instance})

    def _run_stalled(self, run: RunKey, now: float) -> None:
        worker = self._worker(run[2])
        worker.stalled.add(run)
        if worker.state is HealthState.SOUND or worker.probe == run:
            self._set_state(worker, HealthState.AVOIDED, Cause.STALLS, now)

    def _run_resumed(self, run: RunKey, now: float) -> None:
        worker = self._worker(run[2])
        worker.stalled.discard(run)
        if worker.cause is Cause.STALLS and not worker.stalled:
            self._set_state(worker, HealthState.SOUND, Cause.NONE, now)

    def _evaluate_pace(self, worker: _Worker, now: float) -> None:
        slowness = exp(worker.pace)
        if worker.state is HealthState.SOUND and slowness > VERY_SLOW_PACE and worker.samples >= MIN_PACE_SAMPLES:
            self._set_state(worker, HealthState.AVOIDED, Cause.SLOW, now)
        elif worker.cause is Cause.SLOW and slowness < VERY_SLOW_PACE / 2:
            self._set_state(worker, HealthState.SOUND, Cause.NONE, now)

    # ---- records ---------------------------------------------------------------------------------------------------

    def _update_pace_means(self, key: StepKey, queue: str, instance: str, sample: float) -> None:
        mean = self._queue_means.get(queue, sample)
        self._queue_means[queue] = mean + QUEUE_MEAN_SMOOTHING * (sample - mean)
        step = self._step_paces.get(key)
        if step is None:
            step = self._step_paces[key] = _Pace(sample, 0, set())
            if len(self._step_paces) > MAX_STEPS:
                self._step_paces.popitem(last=False)
        step.count += 1
        step.mean += (sample - step.mean) / step.count
        step.instances.add(instance)

    def _worker(self, instance: str) -> _Worker:
        if instance not in self._workers:
            self._workers[instance] = _Worker(instance)
        return self._workers[instance]

    def _step_record(self, step_id: StepId) -> _StepRecord:
        if step_id not in self._step_records:
            self._step_records[step_id] = _StepRecord()
            if len(self._step_records) > MAX_STEPS:
                self._step_records.popitem(last=False)
        return self._step_records[step_id]


def _step_id(run: RunKey) -> StepId:
    """Returns the job and step number of a run."""
    key = run[0]
    return key.job, key.step
