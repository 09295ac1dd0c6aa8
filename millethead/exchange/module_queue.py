"""Serializes the calls to the decision module: the actions of one call are executed before the next call."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import structlog

from millethead.decide.interface import Action
from millethead.exchange.model import Clock

log = structlog.get_logger()
ModuleCall = Callable[[float], list[Action]]  # takes the current time in ms


class ModuleQueue:
    """A queue of calls to the decision module.

    `execute` carries out one action. It may queue further calls, which wait until all actions before them have
    been executed.
    """

    def __init__(self, clock: Clock, execute: Callable[[Action], None]) -> None:
        self._clock, self._execute = clock, execute
        self._calls: deque[tuple[str, ModuleCall]] = deque()
        self._running = False

    def put(self, name: str, call: ModuleCall) -> None:
        """Makes a call once all earlier calls are done. A call that raises is logged under `name` and skipped."""
        self._calls.append((name, call))
        if self._running:
            return
        self._running = True
        try:
            while self._calls:
                self._run(*self._calls.popleft())
        finally:
            self._running = False

    def _run(self, name: str, call: ModuleCall) -> None:
        try:
            actions = call(self._clock.now())
        except Exception:
            log.exception("module_failed", event_type=name)
            return
        for action in actions:
            self._execute(action)
