"""Keeps long-lived objects out of Python's cyclic garbage collector.

A full collection traverses all live objects. With 10,000 jobs held or recently passed on (each leaves its deadline
timer and its outcome for some time), a full collection blocked the event loop for 50 to 100 ms. These objects are not
cyclic garbage; reference counting frees them. So after every few hundred jobs the objects allocated since the last time
are collected, which is quick, and then excluded from collection with `gc.freeze`. A frozen object that later becomes
part of a cycle is never found, so from time to time, when few jobs are held, all objects are unfrozen.
"""

from __future__ import annotations

import gc

JOBS_PER_FREEZE = 500  # jobs held or passed on between two freezes
FREEZES_BEFORE_UNFREEZE = 32
MAX_HELD_FOR_UNFREEZE = 250  # jobs held; with more, unfreezing would make the next collection slow


class GcFreezer:
    def __init__(self) -> None:
        self._jobs = self._freezes = 0

    def count_job(self, held: int) -> None:
        """Counts one job that is now held or passed on; `held` is how many jobs have no final answer yet."""
        self._jobs += 1
        if self._jobs < JOBS_PER_FREEZE:
            return
        self._jobs = 0
        if self._freezes >= FREEZES_BEFORE_UNFREEZE and held < MAX_HELD_FOR_UNFREEZE:
            gc.unfreeze()
            self._freezes = 0
            return
        gc.collect()
        gc.freeze()
        self._freezes += 1
