"""A queue of calls to one worker and the daemon threads that carry them out, each with a connection of its own.

New connections to a worker are priced. So a thread that holds an open connection takes calls at once, and one that
holds none opens another only for a call that has waited MAX_QUEUE_DELAY_S, or where no connection is in use at all."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

import structlog

from millethead.execution.worker_connection import Call, CallResult, WorkerConnection, not_sent

log = structlog.get_logger()
MAX_QUEUE_DELAY_S = 0.05  # s that a call waits for an open connection before another is opened
Post = Callable[[Callable[[], None]], None]


class ThreadState(Enum):
    """IDLE: waits for work, however long. STANDBY: waits until the oldest call has waited MAX_QUEUE_DELAY_S. BUSY: carries
    a call out."""

    IDLE = auto()
    STANDBY = auto()
    BUSY = auto()


class _CallThread:
    """A thread of a lane, its connection and its state; the state is guarded by the lane's lock."""

    def __init__(self, lock: threading.Lock, connection: WorkerConnection) -> None:
        self.state = ThreadState.BUSY  # until it first looks for work
        self.connection = connection
        self.wake_up = threading.Condition(lock)


class WorkerConnectionPool:
    """Calls in the order of their queueing, on up to `max_threads` threads. Threads start when they are first needed."""

    def __init__(self, host: str, port: int, post: Post, max_threads: int) -> None:
        self._host, self._port, self._post, self._max_threads = host, port, post, max_threads
        self._lock = threading.Lock()
        self._queue: deque[Call] = deque()
        self._threads: list[_CallThread] = []
        self._closed = False

    def submit(self, call: Call) -> None:
        """Queue a call. Its `done` is posted once; with a result that says nothing was sent if the lane is closed."""
        with self._lock:
            if not self._closed:
                self._queue.append(call)
                self._notify_thread()
                return
        self._post_result(call, not_sent(time.monotonic()))

    def close(self) -> None:
        """End the threads. What waits is reported as not sent, what is under way as without an answer."""
        with self._lock:
            self._closed = True
            dropped = list(self._queue)
            self._queue.clear()
            for thread in self._threads:
                thread.wake_up.notify()
                if thread.state is ThreadState.BUSY:
                    thread.connection.abort()
        for call in dropped:
            self._post_result(call, not_sent(time.monotonic()))

    # ---- with the lock held --------------------------------------------------------------------------

    def _notify_thread(self) -> None:
        """Have somebody look at the queue: a idle thread with a connection, or one that stands by for the case that
        the busy ones do not come to it soon."""
        idle = [thread for thread in self._threads if thread.state is ThreadState.IDLE]
        for thread in idle:
            if thread.connection.is_open:
                self._wake_thread(thread)
                return
        standby = [thread for thread in self._threads if thread.state is ThreadState.STANDBY]
        if standby:
            if not self._any_busy():
                standby[0].wake_up.notify()
        elif idle:
            self._wake_thread(idle[0])
        elif len(self._threads) < self._max_threads:
            self._start_thread()

    def _wake_thread(self, thread: _CallThread) -> None:
        self._set_state(thread, ThreadState.STANDBY)
        thread.wake_up.notify()

    def _start_thread(self) -> None:
        thread = _CallThread(self._lock, WorkerConnection(self._host, self._port))
        self._set_state(thread, ThreadState.STANDBY)
        self._threads.append(thread)
        name = f"worker-call-{self._host}:{self._port}"
        threading.Thread(target=self._run, args=(thread,), name=name, daemon=True).start()

    def _set_state(self, thread: _CallThread, state: ThreadState) -> None:
        thread.state = state

    def _may_take(self, thread: _CallThread, now: float) -> bool:
        """Whether `thread` is to carry the oldest call out now."""
        if thread.connection.check():
            return True
        if now - self._queue[0].queued_at >= MAX_QUEUE_DELAY_S:
            return True
        return not self._any_busy()

    def _any_busy(self) -> bool:
        return any(thread.state is ThreadState.BUSY for thread in self._threads)

    def _next_call(self, thread: _CallThread) -> Call | None:
        """Wait for a call that `thread` is to carry out; None once the lane is closed."""
        while not self._closed:
            if not self._queue:
                self._set_state(thread, ThreadState.IDLE)
                thread.wake_up.wait()
                continue
            now = time.monotonic()
            self._set_state(thread, ThreadState.STANDBY)
            if self._may_take(thread, now):
                return self._take_call(thread)
            thread.wake_up.wait(self._queue[0].queued_at + MAX_QUEUE_DELAY_S - now)
        return None

    def _take_call(self, thread: _CallThread) -> Call:
        self._set_state(thread, ThreadState.BUSY)
        call = self._queue.popleft()
        if self._queue:
            self._notify_thread()
        return call

    # ---- on the threads ------------------------------------------------------------------------------

    def _run(self, thread: _CallThread) -> None:
        while True:
            with self._lock:
                call = self._next_call(thread)
            if call is None:
                thread.connection.close()
                return
            self._post_result(call, thread.connection.exchange(call))

    def _post_result(self, call: Call, result: CallResult) -> None:
        try:
            self._post(lambda: call.done(result))
        except RuntimeError:  # the loop is closed: nobody waits any more
            log.info("worker_call_result_dropped", path=call.path, outcome=result.outcome.name)
