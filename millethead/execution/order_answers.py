"""What the worker's answers to starts and stops change in what is known of a life."""

from __future__ import annotations

from millethead.execution.calls import CallAnswer, CallVerdict, Rejection, StartCall, StopCall
from millethead.execution.life import Life
from millethead.execution.listing import conclude, confirm
from millethead.execution.messages import RunEnd, RunKey
from millethead.execution.runs import Run, RunState, change

RETRY_PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.5)  # after an order that was not carried out


def retry_pause(tries: int) -> float:
    """Seconds until an order that was not carried out is given again."""
    return RETRY_PAUSES_S[min(tries, len(RETRY_PAUSES_S) - 1)]


def take_start_answer(life: Life, call: StartCall, answer: CallAnswer, now: float) -> None:
    """A start was answered, or not. Only a start that was never unclear is disproved by a rejection."""
    if answer.result is CallVerdict.DONE or answer.rejection in (Rejection.OLD, Rejection.ROOM):
        life.granted = max(life.granted, call.deadline_ms)
    run = _run_called_for(life, call.key, RunState.STARTING)
    if run is None:
        return
    if answer.result is CallVerdict.DONE:
        run.began_at = None if run.unclear or life.cold else now
        confirm(life, run, now)
    elif answer.result is CallVerdict.UNCLEAR:
        run.unclear = True
    elif answer.result is CallVerdict.NOT_SENT or answer.rejection in (Rejection.FENCE, Rejection.LATE):
        _start_later(run, now)
    elif not run.unclear:
        conclude(life, run, RunEnd.NEVER, now)
    elif answer.rejection is Rejection.OLD:
        change(run, RunState.CLOSED, now)
    else:
        change(run, RunState.STOPPING, now)


def _start_later(run: Run, now: float) -> None:
    """This call was certainly not carried out."""
    pause = retry_pause(run.tries)
    if not run.unclear:
        change(run, RunState.WAITING, now)
    run.retry_at = now + pause


def take_stop_answer(life: Life, call: StopCall, answer: CallAnswer, now: float) -> None:
    """A stop was answered, or not: from its answer on the worker rejects the run."""
    stopped = answer.result is CallVerdict.DONE or answer.rejection is Rejection.OLD
    given_up = life.unstopped.get(call.key)
    if given_up is not None:
        given_up.calling = False
        given_up.retry_at = now + RETRY_PAUSES_S[-1]
        if stopped:
            del life.unstopped[call.key]
    run = _run_called_for(life, call.key, RunState.STOPPING)
    if run is None:
        return
    if stopped:
        change(run, RunState.CLOSED, now)
    else:
        run.retry_at = now + retry_pause(run.tries)


def _run_called_for(life: Life, key: RunKey, state: RunState) -> Run | None:
    """The run whose call has ended, if it is still in the state that the call was for."""
    run = life.runs.get(key)
    if run is None:
        return None
    run.calling = False
    return run if run.state is state else None
