"""The discovery client: timeouts, parsing of watches, changes of the address, pushed lists."""

import asyncio
import contextlib
import json
import time
from dataclasses import replace

import pytest
from dispatcher_fixture import SETTINGS, TIMEOUT_S, DispatcherFixture, endpoint
from hypothesis import given
from hypothesis import strategies as st

from millethead.config import load_config
from millethead.decide import interface as api
from millethead.net.discovery import Discovery, InvalidWorkerList, ListObjectSplitter, WorkerListParser
from millethead.net.timeouts import (
    ANNOUNCED_AFTER_S,
    EMPTY_LINE_INTERVAL_S,
    MOVE_ANNOUNCED_AFTER_S,
    PROCESSING_S,
    ListTimeouts,
    list_timeouts,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SET = api.Settings(classes=(api.JobClass(deadline=5000, aim=300),), ask_every=10_000.0)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def listing(index, *entries, whole=True, indent=None):
    text = json.dumps({"index": index, "snapshot": whole, "endpoints": list(entries)}, indent=indent)
    return text.encode() + b"\n"


# ---- timeouts ----------------------------------------------------------------------------------------


@given(grace=st.floats(100, 5000), pushed=st.booleans())
def test_change_delayed_by_a_broken_watch_is_learned_within_the_grace(grace, pushed):
    timeouts = list_timeouts(replace(SET, drain_grace=grace, lists_pushed=pushed))
    last = ANNOUNCED_AFTER_S + grace / 1000 - PROCESSING_S
    assert timeouts.silence_s > EMPTY_LINE_INTERVAL_S + 0.5  # an idle watch is not taken for silent
    if pushed:  # the next call and its connect: the change counts as announced at once
        assert timeouts.next_call_s + timeouts.connect_s <= grace / 1000 / 2 + 0.1
    else:
        assert timeouts.silence_s < timeouts.next_call_s  # calls of many dispatchers can be spread
        assert last - timeouts.next_call_s >= 0.4 * (last - timeouts.silence_s)  # and a call has time to be queued
        assert timeouts.connect_s < last - timeouts.next_call_s
    assert timeouts.silence_s < last


class FakeExchange:
    def __init__(self):
        self.lists = []

    def listed(self, transport, form, entries=(), within=float("inf")):
        self.lists.append((form, within))


async def test_failed_list_has_the_time_until_the_next_call():
    exchange = FakeExchange()
    discovery = Discovery(exchange, None, ("127.0.0.1", 9), WorkerListParser([], []), list_timeouts(SET))

    async def fails(generation):
        discovery._last_contact_s -= 2.0  # the call took 2 s before it failed
        raise OSError

    before = time.monotonic()
    discovery._last_contact_s = before
    await discovery._run(discovery._generation, fails)
    form, within = exchange.lists[-1]
    assert form is api.ListForm.FAILED
    assert within <= (discovery.timeouts.next_call_s - 2.0) * 1000
    assert within >= (discovery.timeouts.next_call_s - 2.0 - (time.monotonic() - before)) * 1000


async def test_call_after_a_move_is_due_sooner():
    """The list at a new address counts as announced sooner."""
    exchange = FakeExchange()
    discovery = Discovery(exchange, None, ("127.0.0.1", 9), WorkerListParser([], []), list_timeouts(SET))
    discovery.watch = lambda on: None
    discovery.move(("127.0.0.1", 10))
    discovery._last_contact_s = time.monotonic()
    first, second = discovery._until_next_call_ms(), discovery._until_next_call_ms()
    assert first <= (discovery.timeouts.next_call_s - (ANNOUNCED_AFTER_S - MOVE_ANNOUNCED_AFTER_S)) * 1000 < second


def test_decision_module_requests_the_next_call_in_time():
    from harness import Node, workers

    for nodes in (1, 30, 200):
        for seed in range(20):
            node = Node(replace(SET, watch_needed=True, nodes=nodes), seed=seed)
            node.update_workers(*workers(2), form=api.ListForm.CACHED)
            for n in range(6):
                node.run_until(node.now + 20_000)
                before = sum(isinstance(a, api.WatchWorkers) for a in node.actions)
                node.handle(api.WorkerList(api.ListForm.FAILED, within=300.0 * n))
                node.run_until(node.now + 300.0 * n + 2)
                assert sum(isinstance(a, api.WatchWorkers) for a in node.actions) > before


# ---- parsing of watches --------------------------------------------------------------------------------


@given(st.data())
def test_objects_and_empty_lines_do_not_depend_on_chunk_borders(data):
    parts = data.draw(
        st.lists(
            st.sampled_from(
                [
                    listing(4, endpoint(1, 80)),
                    listing(5, endpoint(1, 80), endpoint(2, 81), indent=2),
                    listing(6, {**endpoint(1, 80), "zone": "{odd}"}, indent=1),
                    b"\n",
                    b"\r\n",
                ]
            ),
            min_size=1,
            max_size=5,
        )
    )
    text = b"".join(parts)
    splitter, objects, at = ListObjectSplitter(), [], 0
    while at < len(text):
        size = data.draw(st.integers(1, len(text) - at))
        objects += splitter.feed(text[at : at + size])
        at += size
    assert [json.loads(line) if line else None for line in objects] == [
        json.loads(part) if part.strip() else None for part in parts
    ]


@pytest.mark.parametrize("text", [b"x\n", b'{"index":\n\n', b"[]\n", b"]\n"])
def test_line_that_cannot_become_an_object_is_rejected_at_once(text):
    with pytest.raises(InvalidWorkerList):
        ListObjectSplitter().feed(text)


def test_length_of_a_line_is_bounded():
    splitter = ListObjectSplitter()
    with pytest.raises(InvalidWorkerList):
        for _ in range(40):
            splitter.feed(b"{" + b" " * 50_000)


# ---- on sockets ----------------------------------------------------------------------------------------


async def watch(dispatcher):
    """Accepts the next call to discovery. Returns (head of the request, reader, writer)."""
    reader, writer = await asyncio.wait_for(dispatcher.discovery.accepted.get(), TIMEOUT_S)
    return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S), reader, writer


@pytest.mark.parametrize(
    "sent", [b"", b"HTTP/1.1 200 OK\r\nX", HEAD, HEAD + chunk(b"\n") + b"5", HEAD + chunk(b"\n") + b'20\r\n{"index":']
)
async def test_watch_without_a_complete_line_counts_as_silent(sent):
    """Each byte extended the timeout by 7 s, although a missed change counts as announced 6 s after the last line."""
    async with DispatcherFixture() as dispatcher:
        discovery = dispatcher.program.discovery
        _, reader, writer = await watch(dispatcher)
        discovery.timeouts = ListTimeouts(silence_s=0.4, connect_s=TIMEOUT_S, next_call_s=0.4, pushed=False)
        writer.write(sent)
        closed = asyncio.create_task(reader.read())
        with contextlib.suppress(ConnectionError):
            until = time.monotonic() + TIMEOUT_S
            while time.monotonic() < until and not closed.done():  # bytes that never complete a line
                writer.write(b" " if b"index" in sent else b"0" if sent.startswith(HEAD) else b"a")
                await writer.drain()
                await asyncio.wait([closed], timeout=0.05)
        await asyncio.wait([closed], timeout=TIMEOUT_S)
        # a close with an unread byte is a reset, otherwise an orderly close: both are expected
        assert closed.done() and isinstance(closed.exception(), ConnectionError | None)
        again, *_ = await watch(dispatcher)
        assert again.startswith(b"GET /discovery/hosts?follow=1")


async def test_list_over_several_lines_is_accepted():
    async with DispatcherFixture() as dispatcher:
        _, _, writer = await watch(dispatcher)
        text = listing(42, endpoint(1, 9, status="terminating"), endpoint(2, dispatcher.workers[1].port), indent=2)
        for at in range(0, len(text), 7):
            writer.write(chunk(text[at : at + 7]) if at else HEAD + chunk(text[:7]))
        exchange = dispatcher.program.exchange
        async with asyncio.timeout(TIMEOUT_S):
            while exchange.worker("s-00000001").open:
                await asyncio.sleep(0)
        assert exchange.worker("s-00000002").open and dispatcher.program.discovery.index == 42


async def test_changes_with_restarted_versions_are_rejected():
    """After discovery restarts its version count, changes since an old version would omit what changed in between."""
    async with DispatcherFixture() as dispatcher:
        head, reader, writer = await watch(dispatcher)
        assert b"since=41 " in head
        writer.write(HEAD + chunk(listing(3, endpoint(1, 9, status="terminating"), whole=False)))
        assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
        assert dispatcher.program.exchange.worker("s-00000001").open  # an invalid list has no effect
        again, *_ = await watch(dispatcher)
        assert b"since" not in again  # the whole list is requested


async def test_pushed_lists_are_watched_too():
    """With pushed lists no watch was opened, and dispatchers did not learn of drains (19 in one day)."""
    async with DispatcherFixture(settings={**SETTINGS, "membership_mode": "automatic"}) as dispatcher:
        for _ in range(2):
            _, _, writer = await watch(dispatcher)
            writer.write(HEAD + chunk(b"\n"))
            writer.transport.abort()  # changes from now on count as announced at once
        _, _, writer = await watch(dispatcher)
        writer.write(HEAD + chunk(listing(42, endpoint(1, 9, status="terminating"), whole=False)))
        async with asyncio.timeout(TIMEOUT_S):
            while dispatcher.program.exchange.worker("s-00000001").open:
                await asyncio.sleep(0)


def test_configuration_sets_whether_lists_are_pushed(tmp_path):
    for mode, pushed in (("automatic", True), ("subscribe", False)):
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": {**SETTINGS, "membership_mode": mode}}
            )
        )
        settings = load_config({"BALANCER_CONFIG": str(path)}).settings
        assert (settings.watch_needed, settings.lists_pushed) == (True, pushed)
