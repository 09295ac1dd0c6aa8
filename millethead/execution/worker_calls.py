"""What the agent asks of its worker: starts, stops and holds. It decides when each is due, and counts those under way.

Starts go only where room is certain and the hold can reach far enough; a stop is repeated until it is answered. A hold
asks for the lists, and renews the time for which the worker keeps what runs.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from millethead.execution.actions import Action, CallWorker
from millethead.execution.calls import CallAnswer, CallVerdict, HoldCall, StartCall, StopCall, WorkerCall
from millethead.execution.lease import HeadSession
from millethead.execution.life import ANSWER_PATIENCE_S, SHORTEST_WAIT_S, Life
from millethead.execution.listing import conclude, merge_lists
from millethead.execution.messages import RunEnd, RunKey
from millethead.execution.order_answers import retry_pause
from millethead.execution.runs import Run, RunState, change
from millethead.execution.wake import Wake
from millethead.execution.worker_clock import MS

START_TIMEOUTS_S = (0.15, 0.3, 0.6)  # of the tries of one start; after the last it is stopped
STOP_TIMEOUTS_S = (0.2, 0.4, 0.8, 1.0)
ROOM_PATIENCE_S = 1.0  # that a start may wait until it can be made
MOST_ORDER_CALLS = 3  # starts and stops under way at the same time
RENEWAL_DUE_S = 1.0  # of the hold that is left when the pause between looks is waived
RENEWAL_GAIN_MS = 300  # by which a renewal must extend the hold for that
MOST_WAIT_MS = 2000
WAIT_GAPS = 4.0  # times the gap between looks that a run asks for, which a hold may wait for an end


@dataclass(frozen=True, slots=True)
class AgentLimits:
    """`hold_max_ms`: the longest hold that a worker grants; `heartbeat_s`: between two heartbeats; `look_gap_s`: least
    time between the answer of a hold and the next one, so that several ends come in one."""

    hold_max_ms: float
    heartbeat_s: float
    look_gap_s: float = 0.25


class WorkerCalls:
    """`act` takes the calls to be made; `look_gap_s`: least time between two looks, as the head wants it."""

    def __init__(self, limits: AgentLimits, session: HeadSession, wake: Wake, act: Callable[[Action], None]) -> None:
        self._limits, self._session, self._wake, self._act = limits, session, wake, act
        self.look_gap_s = limits.look_gap_s
        self._under_way: dict[int, WorkerCall] = {}
        self._number = 0

    @property
    def fence(self) -> int:
        """The newest epoch of a welcome: no order of an older one is given any more."""
        return self._session.epoch

    @property
    def count(self) -> int:
        """How many calls have not ended."""
        return len(self._under_way)

    def ended(self, number: int) -> WorkerCall | None:
        """A call is under way no longer; returns it if it was."""
        return self._under_way.pop(number, None)

    # ---- starts and stops ----------------------------------------------------------------------------

    def settle_run(self, life: Life, run: Run, now: float) -> None:
        """Change what the run's state has become outdated for: not wanted any more, or tried in vain."""
        may_start = run.wanted and not life.draining
        if run.tried_at is None and life.settled and (life.listed or now >= life.quiet_at(self._limits.heartbeat_s)):
            run.tried_at = now
        if run.state is RunState.WAITING:
            if not may_start or self._wake.due(_patience_end(run), now):
                conclude(life, run, RunEnd.NEVER, now)
        elif run.state is RunState.STARTING and not run.calling:
            tried = run.tries >= len(START_TIMEOUTS_S) or (run.tries == 0 and self._wake.due(_patience_end(run), now))
            if life.listed and (tried or not may_start):
                change(run, RunState.STOPPING, now)
        elif run.state is RunState.RUNNING and not run.wanted and life.ordered:
            change(run, RunState.STOPPING, now)

    def stop_runs(self, life: Life, now: float) -> None:
        if not self._may_order():
            return
        for run in life.runs:
            if run.state is RunState.STOPPING and not run.calling and self._wake.due(run.retry_at, now):
                if not self._order_call_free():
                    return
                run.calling = True
                self._call_stop(life, run.key, run.tries)
                run.tries += 1
        for key, given_up in life.unstopped.items():
            if not given_up.calling and life.heard_at > life.lapsed_at and self._wake.due(given_up.retry_at, now):
                if not self._order_call_free():
                    return
                given_up.calling = True
                self._call_stop(life, key, 0)

    def _call_stop(self, life: Life, key: RunKey, tries: int) -> None:
        timeout = STOP_TIMEOUTS_S[min(tries, len(STOP_TIMEOUTS_S) - 1)]
        self._call(lambda number: StopCall(number, life.instance, timeout, self.fence, key))

    def start_runs(self, life: Life, now: float) -> None:
        if not self._may_start(life):
            return
        deadline = life.deadline(self._session.lease_end, self._limits.hold_max_ms, now)
        if deadline is None:
            return
        for run in life.runs:
            if not self._start_due(life, run, now):
                continue
            if not self._order_call_free():
                return
            self._start(life, run, deadline, now)

    def _start_due(self, life: Life, run: Run, now: float) -> bool:
        if run.state is RunState.STARTING:
            return not run.calling and self._wake.due(run.retry_at, now) and self._fits(life, run)
        waits = run.state is RunState.WAITING and not life.is_doubted
        return waits and self._wake.due(run.retry_at, now) and self._fits(life, run)

    def _fits(self, life: Life, run: Run) -> bool:
        return life.info is not None and life.runs.fits(run, life.info.capacity)

    def _start(self, life: Life, run: Run, deadline: int, now: float) -> None:
        order = run.order
        assert order is not None
        if run.state is RunState.WAITING:
            change(run, RunState.STARTING, now)
        timeout = START_TIMEOUTS_S[min(run.tries, len(START_TIMEOUTS_S) - 1)]
        run.calling = True
        run.tries += 1
        life.look_at = min(life.look_at, now + _gap_for(run))
        life.sent_deadline(deadline)
        self._call(
            lambda number: StartCall(
                number, life.instance, timeout, self.fence, run.key, order.spec, order.checkpoint, deadline
            )
        )

    def _may_order(self) -> bool:
        """Whether the worker would take an order by its fence."""
        return self.fence > 0 and not self._session.fence_stale

    def _may_start(self, life: Life) -> bool:
        return (
            self._may_order()
            and self._session.welcomed
            and life.settled
            and life.listed
            and life.info is not None
            and not life.draining
        )

    def _order_call_free(self) -> bool:
        return sum(not isinstance(call, HoldCall) for call in self._under_way.values()) < MOST_ORDER_CALLS

    # ---- holds ---------------------------------------------------------------------------------------

    def look(self, life: Life, now: float) -> None:
        wanted = life.runs.any_at_worker() or (not life.listed and now < life.quiet_at(self._limits.heartbeat_s))
        if not wanted or life.hold is not None or not self._may_order():
            return
        if self._session.lease_pending and not self._session.lease_holds(now):
            return
        deadline = life.deadline(self._session.lease_end, self._limits.hold_max_ms, now)
        if not self._wake.due(self._look_time(life, deadline, now), now):
            return
        if deadline is not None:
            life.sent_deadline(deadline)
        wait_s = 0.0 if self._unproved(life) else min(life.wait_for(deadline, now), self._longest_wait(life))
        wait_ms = min(MOST_WAIT_MS, int(wait_s * MS))
        timeout = wait_ms / MS + life.hold_patience_s
        life.hold = self._call(
            lambda number: HoldCall(
                number, life.instance, timeout, self.fence, life.last_seen.number, deadline, wait_ms
            )
        )

    def _look_time(self, life: Life, deadline: int | None, now: float) -> float:
        """When to look next: at once where a list is needed, or the hold runs out and can be renewed."""
        if life.misses:
            return life.look_at
        renewable = deadline is not None and deadline >= life.granted + RENEWAL_GAIN_MS
        if self._unproved(life) or (renewable and life.left(life.granted, now) < RENEWAL_DUE_S):
            return min(life.look_at, now)
        return life.look_at

    def _unproved(self, life: Life) -> bool:
        """Whether a list is needed at once: it shows if a run was ever there, or what runs at all."""
        return not life.listed or any(
            run.state is RunState.CLOSED and run.seen_at is None and run.since > life.listed_at for run in life.runs
        )

    def take_hold_answer(self, life: Life, call: HoldCall, answer: CallAnswer, now: float) -> None:
        life.hold = None
        if answer.result is CallVerdict.DONE and answer.lists is not None:
            if call.deadline_ms is not None:
                life.granted = max(life.granted, call.deadline_ms)
            merge_lists(life, answer.lists, answer.sent_at, now)
            life.look_at = now + self._look_gap(life)
        elif answer.result is CallVerdict.UNCLEAR:
            life.look_at = max(now, answer.sent_at + ANSWER_PATIENCE_S) if life.misses > 1 else now
        else:
            life.look_at = now + max(self._limits.look_gap_s, retry_pause(life.misses))

    def _longest_wait(self, life: Life) -> float:
        """How long a hold may wait for an end: one that gets lost is found out only after that, so that it must not
        take much longer than what the most urgent run there can lose."""
        return max(SHORTEST_WAIT_S, WAIT_GAPS * min(map(_gap_for, life.runs.at_worker()), default=math.inf))

    def _look_gap(self, life: Life) -> float:
        """The least time between two looks: each costs, and one brings several ends."""
        return min([self.look_gap_s, *(_gap_for(run) for run in life.runs.at_worker())])

    def _call(self, make: Callable[[int], WorkerCall]) -> int:
        self._number += 1
        call = make(self._number)
        self._under_way[self._number] = call
        self._act(CallWorker(call))
        return self._number


def _gap_for(run: Run) -> float:
    """The least time between two looks for the sake of one run (s)."""
    return math.inf if run.order is None else run.order.look_gap_ms / MS


def _patience_end(run: Run) -> float:
    """Until when the start may wait to be made."""
    return math.inf if run.tried_at is None else run.tried_at + ROOM_PATIENCE_S
