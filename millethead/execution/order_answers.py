"""Applies the worker's answers to starts and stops to the state of the instance."""

from __future__ import annotations

from millethead.execution.calls import CallAnswer, CallStatus, Rejection, StartCall, StopCall
from millethead.execution.messages import RunEnd, RunKey
from millethead.execution.run_lists import record_inferred_end, record_started
from millethead.execution.runs import Run, RunState, transition
from millethead.execution.worker_instance import WorkerInstance

RETRY_PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.5)  # before each retry of an order that was not carried out


def retry_pause(attempts: int) -> float:
    """Return the seconds to wait before an order that was not carried out is sent again."""
    return RETRY_PAUSES_S[min(attempts, len(RETRY_PAUSES_S) - 1)]


def apply_start_answer(worker: WorkerInstance, call: StartCall, answer: CallAnswer, now: float) -> None:
    """Apply the outcome of a start.

    A rejection proves that the run never started only if no earlier attempt may have been carried out.
    """
    if answer.status is CallStatus.DONE or answer.rejection in (Rejection.OLD, Rejection.ROOM):
        worker.confirmed_deadline = max(worker.confirmed_deadline, call.deadline_ms)
    run = _finish_call(worker, call.key, RunState.STARTING)
    if run is None:
        return
    if answer.status is CallStatus.DONE:
        run.started_at = None if run.may_have_started or worker.cold else now
        record_started(worker, run, now)
    elif answer.status is CallStatus.UNCLEAR:
        run.may_have_started = True
    elif answer.status is CallStatus.NOT_SENT or answer.rejection in (Rejection.FENCE, Rejection.LATE):
        _retry_start(run, now)
    elif not run.may_have_started:
        record_inferred_end(worker, run, RunEnd.NEVER, now)
    elif answer.rejection is Rejection.OLD:
        transition(run, RunState.CLOSED, now)
    else:
        transition(run, RunState.STOPPING, now)


def _retry_start(run: Run, now: float) -> None:
    """Schedule another attempt after a call that was certainly not carried out."""
    pause = retry_pause(run.attempts)
    if not run.may_have_started:
        transition(run, RunState.WAITING, now)
    run.retry_at = now + pause


def apply_stop_answer(worker: WorkerInstance, call: StopCall, answer: CallAnswer, now: float) -> None:
    """Apply the outcome of a stop. Once the worker has answered it, the worker rejects any start of the run."""
    stopped = answer.status is CallStatus.DONE or answer.rejection is Rejection.OLD
    abandoned = worker.abandoned_runs.get(call.key)
    if abandoned is not None:
        abandoned.call_in_flight = False
        abandoned.retry_at = now + RETRY_PAUSES_S[-1]
        if stopped:
            del worker.abandoned_runs[call.key]
    run = _finish_call(worker, call.key, RunState.STOPPING)
    if run is None:
        return
    if stopped:
        transition(run, RunState.CLOSED, now)
    else:
        run.retry_at = now + retry_pause(run.attempts)


def _finish_call(worker: WorkerInstance, key: RunKey, state: RunState) -> Run | None:
    """Record that the run's call has ended; return the run if it is still in the state for which the call was sent."""
    run = worker.runs.get(key)
    if run is None:
        return None
    run.call_in_flight = False
    return run if run.state is state else None
