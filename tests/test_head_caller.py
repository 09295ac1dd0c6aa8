"""Tests of the head client on real sockets: calls, answers and changes of the head in an order forced by the test."""

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
    caller_id,
)
from millethead.control.client import CallFailed, HeadClient
from millethead.replication.log_position import LogPosition
from millethead.replication.view import ChainMember, Member, View
from millethead.rpc.codec import Record, decode_any
from millethead.rpc.connection import Connection, InputBudget

TIMEOUT_S = 5.0


class FakeMember:
    """A member of the core whose records are sent by the test."""

    def __init__(self) -> None:
        self.address = ""
        self.connection: Connection | None = None
        self._received_records: dict[type[Record], asyncio.Queue[Record]] = {}

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
        self._received_records.setdefault(type(record), asyncio.Queue()).put_nowait(record)

    async def next(self, kind: type[Record]) -> Record:
        """Return the next record of a type from the client."""
        return await asyncio.wait_for(self._received_records.setdefault(kind, asyncio.Queue()).get(), TIMEOUT_S)

    async def next_call(self) -> tuple[int, JobCall]:
        """Return the next call and the epoch to which it is addressed."""
        sent = await self.next(HeadCall)
        assert isinstance(sent, HeadCall)
        call = decode_any(sent.call)
        assert isinstance(call, JobCall)
        return sent.epoch, call

    def send(self, record: Record) -> None:
        assert self.connection is not None
        self.connection.send(record)

    def serve(self, epoch: int) -> None:
        """Announce itself as the head of an epoch."""
        member = Member(self.address, 1)
        self.send(CallerWelcome(View(epoch, (member,), (ChainMember(member, 1, 1),)), True))

    def answer(self, epoch: int, number: int, status: int) -> None:
        self.send(HeadAnswer(epoch, CallAnswer(number, status, b"{}", 0)))

    def stop(self) -> None:
        self._server.close()


async def joined(configured: Callable[[int, bytes], None] | None = None) -> tuple[FakeMember, HeadClient]:
    """Return a member that is the head of epoch 1 and a client connected to it."""
    member = FakeMember()
    await member.start()
    client = HeadClient("d1", lambda: (member.address,), Random(1), configured)
    client.start()
    await member.next(CallerHello)
    member.serve(1)
    return member, client


def post(number: int) -> JobCall:
    return JobCall(number, "POST", "jobs.example", "/slow/00000000000000ff", b"{}")


async def test_answer_of_an_earlier_head_to_a_resent_call_is_ignored() -> None:
    """The client returns the answer of the new head.

    The refusal of the previous head arrives while the new head accepts the job.
    """
    member, client = await joined()
    call = asyncio.create_task(client.call(post, TIMEOUT_S, TIMEOUT_S))
    epoch, sent = await member.next_call()
    assert epoch == 1
    member.serve(2)
    epoch, again = await member.next_call()
    assert epoch == 2 and again == sent
    member.answer(1, sent.number, 429)
    member.answer(2, sent.number, 200)
    assert (await call).status == 200
    client.close()
    member.stop()


async def test_late_answer_to_an_abandoned_call_is_ignored() -> None:
    member, client = await joined()
    numbers: list[int] = []

    def numbered_post(number: int) -> JobCall:
        numbers.append(number)
        return post(number)

    first = asyncio.create_task(client.call(numbered_post, 0.0, 0.0))
    with pytest.raises(CallFailed):
        await first
    second = asyncio.create_task(client.call(numbered_post, TIMEOUT_S, TIMEOUT_S))
    epoch, sent = await member.next_call()
    if sent.number == numbers[0]:
        epoch, sent = await member.next_call()
    member.answer(epoch, numbers[0], 410)
    member.answer(epoch, sent.number, 200)
    assert sent.number == numbers[1] == numbers[0] + 1 and (await second).status == 200
    client.close()
    member.stop()


async def test_unanswered_call_is_reported_as_sent() -> None:
    member, client = await joined()
    call = asyncio.create_task(client.call(post, TIMEOUT_S, 0.0))
    await member.next_call()
    assert member.connection is not None
    member.connection.close()
    with pytest.raises(CallFailed) as failed:
        await call
    assert failed.value.sent
    client.close()
    member.stop()


async def test_configuration_of_an_earlier_head_is_ignored() -> None:
    applied: list[int] = []
    member, client = await joined(lambda version, _: applied.append(version))
    member.send(ConfigurationUpdate(1, LogPosition(1, 4), 7, b"{}", False))
    await member.next(ConfigurationAck)
    member.serve(2)
    member.send(ConfigurationUpdate(1, LogPosition(1, 9), 8, b"{}", False))
    ack = await member.next(ConfigurationAck)
    assert ack == ConfigurationAck(7, LogPosition(1, 4))
    member.send(ConfigurationUpdate(2, LogPosition(2, 6), 8, b"{}", False))
    assert await member.next(ConfigurationAck) == ConfigurationAck(8, LogPosition(2, 6))
    assert applied == [7, 8]
    client.close()
    member.stop()


async def test_calls_of_two_clients_have_different_numbers() -> None:
    """A copy of a call is known by its number, so no other call may have the same one."""
    numbers = []
    for seed in (1, 2):
        client = HeadClient("d1", lambda: (), Random(seed))
        with pytest.raises(CallFailed):
            await client.call(lambda number: numbers.append(number) or post(number), 0.0, 0.0)
    assert caller_id(numbers[0]) and caller_id(numbers[1])
    assert caller_id(numbers[0]) != caller_id(numbers[1])
