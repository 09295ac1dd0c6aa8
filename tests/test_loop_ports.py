"""Timers of the head: an unexpected exception in any callback is reported."""

from __future__ import annotations

import asyncio

import pytest

from millethead.programs import control as control_module
from millethead.programs.control import ControlProgram
from millethead.programs.loop_ports import LoopClock


def fails() -> None:
    raise ZeroDivisionError


async def test_exceptions_of_callbacks_are_reported() -> None:
    reported: list[Exception] = []
    clock, finished = LoopClock(reported.append), asyncio.Event()
    clock.soon(fails)
    clock.later(0.0, fails)
    clock.run_guarded(fails)
    clock.later(0.001, finished.set)
    await asyncio.wait_for(finished.wait(), 5.0)
    assert [type(error) for error in reported] == [ZeroDivisionError] * 3


async def test_member_exits_when_its_tick_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """It must neither stay alive without heartbeats nor continue with partly changed state."""
    exit_codes: list[int] = []
    monkeypatch.setattr(control_module.os, "_exit", exit_codes.append)
    program = object.__new__(ControlProgram)
    program._clock = LoopClock(program._on_unexpected_error)
    program._settings = type("Settings", (), {"node": "n"})()
    monkeypatch.setattr(ControlProgram, "_run_tick", lambda self: fails())
    program._tick()
    assert exit_codes == [70]
