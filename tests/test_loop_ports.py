"""The timers of the head: an error that nobody expected is told, wherever a call raises it."""

from __future__ import annotations

import asyncio

import pytest

from millethead.programs import control as control_module
from millethead.programs.control import ControlProgram
from millethead.programs.loop_ports import LoopClock


def fails() -> None:
    raise ZeroDivisionError


async def test_calls_that_raise_are_told() -> None:
    told: list[Exception] = []
    clock, over = LoopClock(told.append), asyncio.Event()
    clock.soon(fails)
    clock.later(0.0, fails)
    clock.run_guarded(fails)
    clock.later(0.001, over.set)
    await asyncio.wait_for(over.wait(), 5.0)
    assert [type(error) for error in told] == [ZeroDivisionError] * 3


async def test_member_whose_tick_fails_ends_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """It must not stay as a member that beats no more, nor go on with state that is half changed."""
    ended: list[int] = []
    monkeypatch.setattr(control_module.os, "_exit", ended.append)
    program = object.__new__(ControlProgram)
    program._clock = LoopClock(program._on_unexpected_error)
    program._settings = type("Settings", (), {"node": "n"})()
    monkeypatch.setattr(ControlProgram, "_run_tick", lambda self: fails())
    program._tick()
    assert ended == [70]
