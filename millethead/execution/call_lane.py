"""A queue of calls to one worker and the daemon threads that carry them out, each with a connection of its own.

New connections to a worker are priced. So a thread that holds an open connection takes calls at once, and one that
holds none opens another only for a call that has waited QUICK_S, or where no connection is in use at all."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

import structlog

from millethead.execution.worker_call import Call, CallResult, WorkerConnection, not_sent

log = structlog.get_logger()
QUICK_S = 0.05  # s that a call waits for an open connection before another is opened
Post = Callable[[Callable[[], None]], None]


class CallerState(Enum):
    """RESTING: waits for work, however long. STANDBY: waits until the oldest call has waited QUICK_S. CALLING: carries
    a call out."""

    RESTING = auto()
    STANDBY = auto()
    CALLING = auto()


class _Caller:
    """A thread of a lane, its connection and its state; the state is guarded by the lane's lock."""

    def __init__(self, lock: threading.Lock, connection: WorkerConnection) -> None:
        self.state = CallerState.CALLING  # until it first looks for work
        self.connection = connection
        self.woken = threading.Condition(lock)


class CallLane:
    """Calls in the order of their queueing, on up to `most` threads. Threads start when they are first needed."""

    def __init__(self, host: str, port: int, post: Post, most: int) -> None:
        self._host, self._port, self._post, self._most = host, port, post, most
        self._lock = threading.Lock()
        self._queue: deque[Call] = deque()
        self._callers: list[_Caller] = []
        self._closed = False

    def submit(self, call: Call) -> None:
        """Queue a call. Its `done` is posted once; with a result that says nothing was sent if the lane is closed."""
        with self._lock:
            if not self._closed:
                self._queue.append(call)
                self._engage()
                return
        self._report(call, not_sent(time.monotonic()))

    def close(self) -> None:
        """End the threads. What waits is reported as not sent, what is under way as without an answer."""
        with self._lock:
            self._closed = True
            dropped = list(self._queue)
            self._queue.clear()
            for caller in self._callers:
                caller.woken.notify()
                if caller.state is CallerState.CALLING:
                    caller.connection.abort()
        for call in dropped:
            self._report(call, not_sent(time.monotonic()))

    # ---- with the lock held --------------------------------------------------------------------------

    def _engage(self) -> None:
        """Have somebody look at the queue: a resting thread with a connection, or one that stands by for the case that
        the busy ones do not come to it soon."""
        resting = [caller for caller in self._callers if caller.state is CallerState.RESTING]
        for caller in resting:
            if caller.connection.is_open:
                self._wake(caller)
                return
        standby = [caller for caller in self._callers if caller.state is CallerState.STANDBY]
        if standby:
            if not self._any_calling():
                standby[0].woken.notify()
        elif resting:
            self._wake(resting[0])
        elif len(self._callers) < self._most:
            self._start_caller()

    def _wake(self, caller: _Caller) -> None:
        self._set_state(caller, CallerState.STANDBY)
        caller.woken.notify()

    def _start_caller(self) -> None:
        caller = _Caller(self._lock, WorkerConnection(self._host, self._port))
        self._set_state(caller, CallerState.STANDBY)
        self._callers.append(caller)
        name = f"worker-call-{self._host}:{self._port}"
        threading.Thread(target=self._run, args=(caller,), name=name, daemon=True).start()

    def _set_state(self, caller: _Caller, state: CallerState) -> None:
        caller.state = state

    def _may_take(self, caller: _Caller, now: float) -> bool:
        """Whether `caller` is to carry the oldest call out now."""
        if caller.connection.check():
            return True
        if now - self._queue[0].queued_at >= QUICK_S:
            return True
        return not self._any_calling()

    def _any_calling(self) -> bool:
        return any(caller.state is CallerState.CALLING for caller in self._callers)

    def _next(self, caller: _Caller) -> Call | None:
        """Wait for a call that `caller` is to carry out; None once the lane is closed."""
        while not self._closed:
            if not self._queue:
                self._set_state(caller, CallerState.RESTING)
                caller.woken.wait()
                continue
            now = time.monotonic()
            self._set_state(caller, CallerState.STANDBY)
            if self._may_take(caller, now):
                return self._take(caller)
            caller.woken.wait(self._queue[0].queued_at + QUICK_S - now)
        return None

    def _take(self, caller: _Caller) -> Call:
        self._set_state(caller, CallerState.CALLING)
        call = self._queue.popleft()
        if self._queue:
            self._engage()
        return call

    # ---- on the threads ------------------------------------------------------------------------------

    def _run(self, caller: _Caller) -> None:
        while True:
            with self._lock:
                call = self._next(caller)
            if call is None:
                caller.connection.close()
                return
            self._report(call, caller.connection.exchange(call))

    def _report(self, call: Call, result: CallResult) -> None:
        try:
            self._post(lambda: call.done(result))
        except RuntimeError:  # the loop is closed: nobody waits any more
            log.info("worker_call_result_dropped", path=call.path, outcome=result.outcome.name)
