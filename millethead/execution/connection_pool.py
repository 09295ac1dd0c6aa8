"""Pool of connections to one worker: a queue of calls and daemon threads that execute them, one connection per thread.

Opening a connection to a worker has a cost. A thread with an open connection therefore takes calls at once. A
thread without one opens a connection only for a call that has waited MAX_QUEUE_DELAY_S, or if no thread is executing a
call.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

import structlog

from millethead.execution.worker_connection import Call, CallResult, WorkerConnection, not_sent

log = structlog.get_logger()
MAX_QUEUE_DELAY_S = 0.05  # a call that waits longer for an open connection gets a new one
Post = Callable[[Callable[[], None]], None]


class ThreadState(Enum):
    """State of a thread of the pool.

    IDLE: waits for a call without a time limit. STANDBY: waits until the oldest call has waited MAX_QUEUE_DELAY_S.
    BUSY: executes a call.
    """

    IDLE = auto()
    STANDBY = auto()
    BUSY = auto()


class _CallThread:
    """A thread of the pool with its connection and its state. The pool's lock guards the state."""

    def __init__(self, lock: threading.Lock, connection: WorkerConnection) -> None:
        self.state = ThreadState.BUSY  # until it first waits for a call
        self.connection = connection
        self.wake_up = threading.Condition(lock)


class WorkerConnectionPool:
    """Executes calls in the order of submission on up to `max_threads` threads. Threads are started on demand."""

    def __init__(self, host: str, port: int, post: Post, max_threads: int) -> None:
        self._host, self._port, self._post, self._max_threads = host, port, post, max_threads
        self._lock = threading.Lock()
        self._queue: deque[Call] = deque()
        self._threads: list[_CallThread] = []
        self._closed = False

    def submit(self, call: Call) -> None:
        """Queue a call. Its `done` is posted once. If the pool is closed, the result states that nothing was sent."""
        with self._lock:
            if not self._closed:
                self._queue.append(call)
                self._notify_thread()
                return
        self._post_result(call, not_sent(time.monotonic()))

    def close(self) -> None:
        """Stop the threads. Queued calls end as not sent, calls in flight end without an answer."""
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

    # ---- called with the lock held -----------------------------------------------------------------------

    def _notify_thread(self) -> None:
        """Make sure that a thread takes the oldest call.

        Prefers an idle thread with an open connection. Otherwise a thread on standby takes the call if the busy threads
        do not take it soon.
        """
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
        """Return whether the thread may take the oldest call now."""
        if thread.connection.check():
            return True
        if now - self._queue[0].queued_at >= MAX_QUEUE_DELAY_S:
            return True
        return not self._any_busy()

    def _any_busy(self) -> bool:
        return any(thread.state is ThreadState.BUSY for thread in self._threads)

    def _next_call(self, thread: _CallThread) -> Call | None:
        """Wait for a call that the thread may take; return None once the pool is closed."""
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

    # ---- called on the threads of the pool ---------------------------------------------------------------

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
        except RuntimeError:  # the event loop is closed, so nobody waits for the result
            log.info("worker_call_result_dropped", path=call.path, outcome=result.outcome.name)
