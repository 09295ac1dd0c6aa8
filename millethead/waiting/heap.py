"""Keeps the cyclic collector off what lives for long.

A full collection walks everything alive: with 10,000 jobs held, or just passed on (each leaves its deadline's timer
and its outcome for a while), it stopped the loop for 50 to 100 ms. None of that is cyclic garbage; it is freed by its
count of references. So it is moved out of the collector's sight by thousands (`gc.freeze`), after a collection of what
came since the last time, which is small. What is frozen and later becomes part of a cycle is not found, so when little
is held, all is handed back now and then.
"""

from __future__ import annotations

import gc

STEP = 500  # jobs held anew or passed on that are worth a collection
ROUNDS = 32  # freezes after which a nearly empty room hands all back
EMPTY = 250  # jobs held


class Heap:
    def __init__(self) -> None:
        self._jobs = self._rounds = 0

    def grows(self, held: int) -> None:
        """One more job was taken to be held, or passed on; so many owe their answer."""
        self._jobs += 1
        if self._jobs < STEP:
            return
        self._jobs = 0
        if self._rounds >= ROUNDS and held < EMPTY:
            gc.unfreeze()
            self._rounds = 0
            return
        gc.collect()
        gc.freeze()
        self._rounds += 1
