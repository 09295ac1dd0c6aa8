"""What the agent's decisions ask of its shell."""

from __future__ import annotations

from dataclasses import dataclass

from millethead.execution.calls import WorkerCall
from millethead.rpc.codec import Record


@dataclass(frozen=True, slots=True)
class SendRecord:
    """Send the record in the session with the head."""

    record: Record


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close the session and look for the head elsewhere."""

    cause: str


@dataclass(frozen=True, slots=True)
class CallWorker:
    """Make the call; its outcome comes back by the number of the call."""

    call: WorkerCall


Action = SendRecord | CloseSession | CallWorker
