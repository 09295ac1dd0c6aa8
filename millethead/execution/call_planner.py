"""Decides which calls to the worker are due (starts, stops and polls), and tracks the calls in flight.

A run is started only if the worker certainly has room for it and a deadline far enough ahead can be granted. A stop is
repeated until it is answered. A poll requests the lists of runs and ends and renews the deadline until which the worker
keeps its runs.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from millethead.execution.actions import Action, CallWorker
from millethead.execution.calls import CallAnswer, CallStatus, PollCall, StartCall, StopCall, WorkerCall
from millethead.execution.lease import HeadSession
from millethead.execution.messages import RunEnd, RunKey
from millethead.execution.next_timer import NextTimer
from millethead.execution.order_answers import retry_pause
from millethead.execution.run_lists import apply_run_lists, record_inferred_end
from millethead.execution.runs import Run, RunState, transition
from millethead.execution.worker_clock import MS
from millethead.execution.worker_instance import MIN_POLL_WAIT_S, POLL_ANSWER_TIMEOUT_S, WorkerInstance

START_TIMEOUTS_S = (0.15, 0.3, 0.6)  # per attempt; the run is stopped after the last one
STOP_TIMEOUTS_S = (0.2, 0.4, 0.8, 1.0)
START_QUEUE_TIMEOUT_S = 1.0  # maximum delay of the first attempt to start a run
MAX_CONCURRENT_ORDERS = 3  # starts and stops in flight
RENEWAL_THRESHOLD_S = 1.0  # a deadline nearer than this is renewed without waiting for the polling interval
MIN_RENEWAL_GAIN_MS = 300  # minimum extension of the deadline by such a renewal
MAX_POLL_WAIT_MS = 2000
MAX_POLL_WAIT_INTERVALS = 4.0  # maximum wait of a poll, as a multiple of the shortest polling interval of a run


@dataclass(frozen=True, slots=True)
class AgentLimits:
    """Limits of an agent.

    `hold_max_ms` is the longest time for which a worker keeps a run without renewal, `heartbeat_s` the time between two
    heartbeats. `poll_interval_s` is the minimum time from the answer of a poll to the next poll, so that one poll
    returns several ends.
    """

    hold_max_ms: float
    heartbeat_s: float
    poll_interval_s: float = 0.25


class CallPlanner:
    """Calls of one agent to its worker.

    `execute` receives the calls to send. `poll_interval_s` is the minimum time between two polls, as set by the head.
    """

    def __init__(
        self, limits: AgentLimits, session: HeadSession, timer: NextTimer, execute: Callable[[Action], None]
    ) -> None:
        self._limits, self._session, self._timer, self._execute = limits, session, timer, execute
        self.poll_interval_s = limits.poll_interval_s
        self._in_flight: dict[int, WorkerCall] = {}
        self._number = 0

    @property
    def fence(self) -> int:
        """Epoch of the newest session; orders carry it as their fencing token."""
        return self._session.epoch

    @property
    def in_flight_count(self) -> int:
        """Number of calls that have not ended."""
        return len(self._in_flight)

    def remove(self, number: int) -> WorkerCall | None:
        """Remove a call that has ended from the calls in flight; return it, or None if it was not in flight."""
        return self._in_flight.pop(number, None)

    # ---- starts and stops ----------------------------------------------------------------------------

    def update_run(self, worker: WorkerInstance, run: Run, now: float) -> None:
        """Move the run to its next state if it is no longer desired or if its start has been attempted too often."""
        may_start = run.desired and not worker.draining
        if (
            run.start_due_since is None
            and worker.desired_current
            and (worker.runs_listed or now >= worker.silence_deadline(self._limits.heartbeat_s))
        ):
            run.start_due_since = now
        if run.state is RunState.WAITING:
            if not may_start or self._timer.is_due(_start_deadline(run), now):
                record_inferred_end(worker, run, RunEnd.NEVER, now)
        elif run.state is RunState.STARTING and not run.call_in_flight:
            attempts_exhausted = run.attempts >= len(START_TIMEOUTS_S) or (
                run.attempts == 0 and self._timer.is_due(_start_deadline(run), now)
            )
            if worker.runs_listed and (attempts_exhausted or not may_start):
                transition(run, RunState.STOPPING, now)
        elif run.state is RunState.RUNNING and not run.desired and worker.desired_received:
            transition(run, RunState.STOPPING, now)

    def stop_runs(self, worker: WorkerInstance, now: float) -> None:
        if not self._may_send_orders():
            return
        for run in worker.runs:
            if run.state is RunState.STOPPING and not run.call_in_flight and self._timer.is_due(run.retry_at, now):
                if not self._has_free_order_slot():
                    return
                run.call_in_flight = True
                self._call_stop(worker, run.key, run.attempts)
                run.attempts += 1
        for key, abandoned in worker.abandoned_runs.items():
            if (
                not abandoned.call_in_flight
                and worker.last_contact_at > worker.expired_at
                and self._timer.is_due(abandoned.retry_at, now)
            ):
                if not self._has_free_order_slot():
                    return
                abandoned.call_in_flight = True
                self._call_stop(worker, key, 0)

    def _call_stop(self, worker: WorkerInstance, key: RunKey, attempts: int) -> None:
        timeout = STOP_TIMEOUTS_S[min(attempts, len(STOP_TIMEOUTS_S) - 1)]
        self._call(lambda number: StopCall(number, worker.instance, timeout, self.fence, key))

    def start_runs(self, worker: WorkerInstance, now: float) -> None:
        if not self._may_start(worker):
            return
        deadline = worker.renewal_deadline(self._session.lease_end, self._limits.hold_max_ms, now)
        if deadline is None:
            return
        for run in worker.runs:
            if not self._start_due(worker, run, now):
                continue
            if not self._has_free_order_slot():
                return
            self._start(worker, run, deadline, now)

    def _start_due(self, worker: WorkerInstance, run: Run, now: float) -> bool:
        if run.state is RunState.STARTING:
            return not run.call_in_flight and self._timer.is_due(run.retry_at, now) and self._fits(worker, run)
        can_start = run.state is RunState.WAITING and not worker.is_unresponsive
        return can_start and self._timer.is_due(run.retry_at, now) and self._fits(worker, run)

    def _fits(self, worker: WorkerInstance, run: Run) -> bool:
        return worker.info is not None and worker.runs.fits(run, worker.info.capacity)

    def _start(self, worker: WorkerInstance, run: Run, deadline: int, now: float) -> None:
        order = run.order
        assert order is not None
        if run.state is RunState.WAITING:
            transition(run, RunState.STARTING, now)
        timeout = START_TIMEOUTS_S[min(run.attempts, len(START_TIMEOUTS_S) - 1)]
        run.call_in_flight = True
        run.attempts += 1
        worker.next_poll_at = min(worker.next_poll_at, now + _run_poll_interval_s(run))
        worker.record_sent_deadline(deadline)
        self._call(
            lambda number: StartCall(
                number, worker.instance, timeout, self.fence, run.key, order.spec, order.checkpoint, deadline
            )
        )

    def _may_send_orders(self) -> bool:
        """Return whether the worker is expected to accept the fencing token."""
        return self.fence > 0 and not self._session.fence_stale

    def _may_start(self, worker: WorkerInstance) -> bool:
        return (
            self._may_send_orders()
            and self._session.is_open
            and worker.desired_current
            and worker.runs_listed
            and worker.info is not None
            and not worker.draining
        )

    def _has_free_order_slot(self) -> bool:
        return sum(not isinstance(call, PollCall) for call in self._in_flight.values()) < MAX_CONCURRENT_ORDERS

    # ---- polls -------------------------------------------------------------------------------------------

    def poll_if_due(self, worker: WorkerInstance, now: float) -> None:
        poll_needed = (
            worker.runs.any_at_worker()
            or worker.is_disputed
            or (not worker.runs_listed and now < worker.silence_deadline(self._limits.heartbeat_s))
        )
        if not poll_needed or worker.poll_call is not None or not self._may_send_orders():
            return
        if self._session.lease_pending and not self._session.lease_holds(now):
            return
        deadline = worker.renewal_deadline(self._session.lease_end, self._limits.hold_max_ms, now)
        if not self._timer.is_due(self._poll_time(worker, deadline, now), now):
            return
        if deadline is not None:
            worker.record_sent_deadline(deadline)
        wait_s = (
            0.0 if self._list_needed(worker) else min(worker.poll_wait_s(deadline, now), self._max_poll_wait_s(worker))
        )
        wait_ms = min(MAX_POLL_WAIT_MS, int(wait_s * MS))
        timeout = wait_ms / MS + worker.poll_answer_timeout_s
        worker.poll_call = self._call(
            lambda number: PollCall(
                number, worker.instance, timeout, self.fence, worker.last_seen.number, deadline, wait_ms
            )
        )

    def _poll_time(self, worker: WorkerInstance, deadline: int | None, now: float) -> float:
        """Return the time of the next poll: now if a list is needed or if the deadline is close and can be extended."""
        if worker.missed_polls:
            return worker.next_poll_at
        renewable = deadline is not None and deadline >= worker.confirmed_deadline + MIN_RENEWAL_GAIN_MS
        if self._list_needed(worker) or (
            renewable and worker.time_left(worker.confirmed_deadline, now) < RENEWAL_THRESHOLD_S
        ):
            return min(worker.next_poll_at, now)
        return worker.next_poll_at

    def _list_needed(self, worker: WorkerInstance) -> bool:
        """Return whether a list is needed at once.

        It shows which runs exist, whether a stopped run ever existed, and whether the instance still does.
        """
        if not worker.runs_listed or worker.is_disputed:
            return True
        return any(
            run.state is RunState.CLOSED
            and run.first_seen_at is None
            and run.state_since > worker.last_list_requested_at
            for run in worker.runs
        )

    def apply_poll_answer(self, worker: WorkerInstance, call: PollCall, answer: CallAnswer, now: float) -> None:
        worker.poll_call = None
        if answer.status is CallStatus.DONE and answer.lists is not None:
            if call.deadline_ms is not None:
                worker.confirmed_deadline = max(worker.confirmed_deadline, call.deadline_ms)
            apply_run_lists(worker, answer.lists, answer.sent_at, now)
            worker.next_poll_at = now + self._poll_interval_s(worker)
        elif answer.status is CallStatus.UNCLEAR:
            worker.next_poll_at = max(now, answer.sent_at + POLL_ANSWER_TIMEOUT_S) if worker.missed_polls > 1 else now
        else:
            worker.next_poll_at = now + max(self._limits.poll_interval_s, retry_pause(worker.missed_polls))

    def _max_poll_wait_s(self, worker: WorkerInstance) -> float:
        """Return how long a poll may wait for an end.

        A lost poll is detected only after its wait, so the wait is bounded by the shortest polling interval of the
        runs.
        """
        return max(
            MIN_POLL_WAIT_S,
            MAX_POLL_WAIT_INTERVALS * min(map(_run_poll_interval_s, worker.runs.at_worker()), default=math.inf),
        )

    def _poll_interval_s(self, worker: WorkerInstance) -> float:
        """Return the minimum time between two polls. Each poll has a cost, and one poll can return several ends."""
        return min([self.poll_interval_s, *(_run_poll_interval_s(run) for run in worker.runs.at_worker())])

    def _call(self, create: Callable[[int], WorkerCall]) -> int:
        self._number += 1
        call = create(self._number)
        self._in_flight[self._number] = call
        self._execute(CallWorker(call))
        return self._number


def _run_poll_interval_s(run: Run) -> float:
    """Return the minimum time between two polls that the run asks for, in seconds."""
    return math.inf if run.order is None else run.order.poll_interval_ms / MS


def _start_deadline(run: Run) -> float:
    """Return the time by which the first attempt to start the run must be made."""
    return math.inf if run.start_due_since is None else run.start_due_since + START_QUEUE_TIMEOUT_S
