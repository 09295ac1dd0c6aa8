"""Position of an entry in the replicated log."""

from __future__ import annotations

from dataclasses import dataclass

from millethead.rpc.codec import U64, Record


@dataclass(frozen=True, slots=True, order=True)
class LogPosition(Record):
    """Epoch and sequence of an entry. A later committed entry always has a greater position. No two entries have the
    same position, including entries that were dropped."""

    epoch: U64
    sequence: U64


NO_POSITION = LogPosition(0, 0)  # before the first entry
EARLIEST_POSITION = LogPosition(0, 1)  # assigned to data accepted before positions were stored
