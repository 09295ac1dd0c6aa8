"""Calls of the decision module in order: each one's actions are carried out before the next call is made."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import structlog

from millethead.decide.interface import Action
from millethead.exchange.model import Clock

log = structlog.get_logger()
ModuleCall = Callable[[float], list[Action]]  # takes the time


class ModuleQueue:
    """`act` carries one action out. It may bring further calls: these wait until all actions before them are done."""

    def __init__(self, clock: Clock, act: Callable[[Action], None]) -> None:
        self._clock, self._act = clock, act
        self._calls: deque[tuple[str, ModuleCall]] = deque()
        self._busy = False

    def put(self, what: str, call: ModuleCall) -> None:
        """Make a call as soon as those before it are done. One that raises is logged under `what`, and left out."""
        self._calls.append((what, call))
        if self._busy:
            return
        self._busy = True
        try:
            while self._calls:
                self._make(*self._calls.popleft())
        finally:
            self._busy = False

    def _make(self, what: str, call: ModuleCall) -> None:
        try:
            actions = call(self._clock.now())
        except Exception:
            log.exception("module_failed", event_type=what)
            return
        for action in actions:
            self._act(action)
