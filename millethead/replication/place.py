"""The place of an entry in the replicated log."""

from __future__ import annotations

from dataclasses import dataclass

from millethead.rpc.codec import U64, Record


@dataclass(frozen=True, slots=True, order=True)
class LogPlace(Record):
    """Epoch and sequence of an entry. Of two committed entries the later one has the greater place, and no two
    entries of all logs that ever were have the same one."""

    epoch: U64
    sequence: U64


NO_PLACE = LogPlace(0, 0)  # before the first entry
EARLIEST_PLACE = LogPlace(0, 1)  # of what was accepted before places were kept
