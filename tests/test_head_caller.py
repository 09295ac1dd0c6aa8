"""Calls to the head on real sockets, the crossing of answers, calls and changes of the head forced by the test."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest

from millethead.control.calls import (
    CallAnswer,
    CallerHello,
    CallerWelcome,
    ConfigurationAck,
    ConfigurationUpdate,
    HeadAnswer,
    HeadCall,
    JobCall,
)
from millethead.control.client import CallFailed, HeadCaller
from millethead.replication.place import LogPlace
from millethead.replication.view import ChainMember, Member, View
from millethead.rpc.codec import Record, decode_any
from millethead.rpc.connection import Connection, InputBudget

PATIENCE_S = 5.0


class FakeMember:
    """A member of the core whose records the test sends by hand."""

    def __init__(self) -> None:
        self.address = ""
        self.connection: Connection | None = None
        self._came: dict[type[Record], asyncio.Queue[Record]] = {}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        budget = InputBudget()
        self._server = await loop.create_server(
            lambda: Connection(self._received, lambda _: None, self._opened, budget), "127.0.0.1", 0
        )
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def _opened(self, connection: Connection) -> None:
        self.connection = connection

    def _received(self, connection: Connection, record: Record) -> None:
        self._came.setdefault(type(record), asyncio.Queue()).put_nowait(record)

    async def next(self, kind: type[Record]) -> Record:
        """The next record of a kind that the caller has sent."""
        return await asyncio.wait_for(self._came.setdefault(kind, asyncio.Queue()).get(), PATIENCE_S)

    async def next_call(self) -> tuple[int, JobCall]:
        """The epoch and the call of the next one."""
        sent = await self.next(HeadCall)
        assert isinstance(sent, HeadCall)
        call = decode_any(sent.call)
        assert isinstance(call, JobCall)
        return sent.epoch, call

    def send(self, record: Record) -> None:
        assert self.connection is not None
        self.connection.send(record)

    def serve(self, epoch: int) -> None:
        """Say that it is the head of an epoch."""
        member = Member(self.address, 1)
        self.send(CallerWelcome(View(epoch, (member,), (ChainMember(member, 1, 1),)), True))

    def answer(self, epoch: int, number: int, status: int) -> None:
        self.send(HeadAnswer(epoch, CallAnswer(number, status, b"{}", 0)))

    def stop(self) -> None:
        self._server.close()


async def joined(configured: Callable[[int, bytes], None] | None = None) -> tuple[FakeMember, HeadCaller]:
    """A caller that has found the head of epoch 1."""
    member = FakeMember()
    await member.start()
    caller = HeadCaller("d1", lambda: (member.address,), Random(1), configured)
    caller.start()
    await member.next(CallerHello)
    member.serve(1)
    return member, caller


def post(number: int) -> JobCall:
    return JobCall(number, "POST", "jobs.example", "/slow/00000000000000ff", b"{}")


async def test_answer_of_an_earlier_head_is_not_that_of_the_call_sent_again() -> None:
    """The earlier head's refusal is on its way while the later head takes the job: the client is told of the latter."""
    member, caller = await joined()
    call = asyncio.create_task(caller.call(post, PATIENCE_S, PATIENCE_S))
    epoch, sent = await member.next_call()
    assert epoch == 1
    member.serve(2)
    epoch, again = await member.next_call()
    assert epoch == 2 and again == sent
    member.answer(1, sent.number, 429)
    member.answer(2, sent.number, 200)
    assert (await call).status == 200
    caller.close()
    member.stop()


async def test_answer_to_a_call_that_was_given_up_meets_no_other_call() -> None:
    member, caller = await joined()
    first = asyncio.create_task(caller.call(post, 0.0, 0.0))
    with pytest.raises(CallFailed):
        await first
    second = asyncio.create_task(caller.call(post, PATIENCE_S, PATIENCE_S))
    epoch, sent = await member.next_call()
    if sent.number == 1:
        epoch, sent = await member.next_call()
    member.answer(epoch, 1, 410)
    member.answer(epoch, sent.number, 200)
    assert sent.number == 2 and (await second).status == 200
    caller.close()
    member.stop()


async def test_a_call_that_was_sent_and_not_answered_may_have_been_taken() -> None:
    member, caller = await joined()
    call = asyncio.create_task(caller.call(post, PATIENCE_S, 0.0))
    await member.next_call()
    assert member.connection is not None
    member.connection.close()
    with pytest.raises(CallFailed) as failed:
        await call
    assert failed.value.sent
    caller.close()
    member.stop()


async def test_configuration_of_an_earlier_head_is_not_put_into_force() -> None:
    told: list[int] = []
    member, caller = await joined(lambda version, _: told.append(version))
    member.send(ConfigurationUpdate(1, LogPlace(1, 4), 7, b"{}", False))
    await member.next(ConfigurationAck)
    member.serve(2)
    member.send(ConfigurationUpdate(1, LogPlace(1, 9), 8, b"{}", False))
    ack = await member.next(ConfigurationAck)
    assert ack == ConfigurationAck(7, LogPlace(1, 4))
    member.send(ConfigurationUpdate(2, LogPlace(2, 6), 8, b"{}", False))
    assert await member.next(ConfigurationAck) == ConfigurationAck(8, LogPlace(2, 6))
    assert told == [7, 8]
    caller.close()
    member.stop()
