"""Actions that the agent's state machine returns; `AgentShell` carries them out."""

from __future__ import annotations

from dataclasses import dataclass

from millethead.execution.calls import WorkerCall
from millethead.rpc.codec import Record


@dataclass(frozen=True, slots=True)
class SendRecord:
    """Send the record to the head in the current session."""

    record: Record


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close the session and search for the head on another member. `cause` is written to the log."""

    cause: str


@dataclass(frozen=True, slots=True)
class CallWorker:
    """Send the call to the worker. The answer is passed to `Agent.call_ended` with the number of the call."""

    call: WorkerCall


Action = SendRecord | CloseSession | CallWorker
