"""The watch on discovery: deadlines that follow from the protocol, its bytes cut anywhere, moves, pushed lists."""

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
from millethead.net.discovery import BadList, Discovery, Lines, Names
from millethead.net.terms import ACT, EMPTY_LINE, MOVED, TOLD, ListTerms, list_terms

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SET = api.Settings(classes=(api.JobClass(deadline=5000, aim=300),), ask_every=10_000.0)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def listing(index, *entries, whole=True, indent=None):
    text = json.dumps({"index": index, "snapshot": whole, "endpoints": list(entries)}, indent=indent)
    return text.encode() + b"\n"


# ---- the deadlines -----------------------------------------------------------------------------------


@given(grace=st.floats(100, 5000), pushed=st.booleans())
def test_a_change_that_a_broken_watch_kept_back_is_known_before_the_grace_ends(grace, pushed):
    terms = list_terms(replace(SET, drain_grace=grace, lists_pushed=pushed))
    last = TOLD + grace / 1000 - ACT
    assert terms.silence > EMPTY_LINE + 0.5  # a watch that stands is not taken for silent
    if pushed:  # the next try, and its connection: the change counts as told as it comes about
        assert terms.again + terms.connect <= grace / 1000 / 2 + 0.1
    else:
        assert terms.silence < terms.again  # many need not call in one moment
        assert last - terms.again >= 0.4 * (last - terms.silence)  # and the call has time to wait its turn
        assert terms.connect < last - terms.again
    assert terms.silence < last


class Exchange:
    def __init__(self):
        self.told = []

    def listed(self, side, form, lines=(), within=float("inf")):
        self.told.append((form, within))


async def test_what_a_failed_call_leaves_of_the_time_is_told_to_the_module():
    exchange = Exchange()
    discovery = Discovery(exchange, None, ("127.0.0.1", 9), Names([], []), list_terms(SET))

    async def fails(turn):
        discovery._sign -= 2.0  # a call that took so long before it failed
        raise OSError

    before = time.monotonic()
    discovery._sign = before
    await discovery._run(discovery._turn, fails)
    form, within = exchange.told[-1]
    assert form is api.ListForm.FAILED
    assert within <= (discovery.terms.again - 2.0) * 1000
    assert within >= (discovery.terms.again - 2.0 - (time.monotonic() - before)) * 1000


async def test_after_a_move_the_second_call_comes_sooner_since_its_news_count_sooner():
    exchange = Exchange()
    discovery = Discovery(exchange, None, ("127.0.0.1", 9), Names([], []), list_terms(SET))
    discovery.watch = lambda on: None
    discovery.move(("127.0.0.1", 10))
    discovery._sign = time.monotonic()
    first, second = discovery._spare(), discovery._spare()
    assert first <= (discovery.terms.again - (TOLD - MOVED)) * 1000 < second


def test_the_module_calls_again_within_what_is_left():
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


# ---- what a watch writes -------------------------------------------------------------------------------


@given(st.data())
def test_objects_and_empty_lines_are_the_same_wherever_they_are_cut(data):
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
    lines, got, at = Lines(), [], 0
    while at < len(text):
        size = data.draw(st.integers(1, len(text) - at))
        got += lines.feed(text[at : at + size])
        at += size
    assert [json.loads(line) if line else None for line in got] == [
        json.loads(part) if part.strip() else None for part in parts
    ]


@pytest.mark.parametrize("text", [b"x\n", b'{"index":\n\n', b"[]\n", b"]\n"])
def test_what_cannot_become_an_object_is_a_bad_line_at_once(text):
    with pytest.raises(BadList):
        Lines().feed(text)


def test_a_line_that_never_ends_is_bounded():
    lines = Lines()
    with pytest.raises(BadList):
        for _ in range(40):
            lines.feed(b"{" + b" " * 50_000)


# ---- on sockets ----------------------------------------------------------------------------------------


async def watch(stage):
    """The next call to discovery: (its head, reader, writer)."""
    reader, writer = await asyncio.wait_for(stage.discovery.accepted.get(), TIMEOUT_S)
    return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S), reader, writer


@pytest.mark.parametrize(
    "said", [b"", b"HTTP/1.1 200 OK\r\nX", HEAD, HEAD + chunk(b"\n") + b"5", HEAD + chunk(b"\n") + b'20\r\n{"index":']
)
async def test_a_watch_that_dribbles_bytes_without_ending_a_line_is_silent(said):
    """Each byte once gave it 7 s more; what it had missed counted as told 6 s after its last line."""
    async with DispatcherFixture() as stage:
        discovery = stage.program.discovery
        _, reader, writer = await watch(stage)
        discovery.terms = ListTerms(silence=0.4, connect=TIMEOUT_S, again=0.4, pushed=False)
        writer.write(said)
        over = asyncio.create_task(reader.read())
        with contextlib.suppress(ConnectionError):
            until = time.monotonic() + TIMEOUT_S
            while time.monotonic() < until and not over.done():  # bytes that never end anything
                writer.write(b" " if b"index" in said else b"0" if said.startswith(HEAD) else b"a")
                await writer.drain()
                await asyncio.wait([over], timeout=0.05)
        await asyncio.wait([over], timeout=TIMEOUT_S)
        # closed with a byte unread it ends as a reset, else plainly: both are the end that is wanted
        assert over.done() and isinstance(over.exception(), ConnectionError | None)
        again, *_ = await watch(stage)
        assert again.startswith(b"GET /discovery/hosts?follow=1")


async def test_a_list_indented_over_several_lines_is_taken():
    async with DispatcherFixture() as stage:
        _, _, writer = await watch(stage)
        text = listing(42, endpoint(1, 9, status="terminating"), endpoint(2, stage.workers[1].port), indent=2)
        for at in range(0, len(text), 7):
            writer.write(chunk(text[at : at + 7]) if at else HEAD + chunk(text[:7]))
        exchange = stage.program.exchange
        async with asyncio.timeout(TIMEOUT_S):
            while exchange.worker("s-00000001").open:
                await asyncio.sleep(0)
        assert exchange.worker("s-00000002").open and stage.program.discovery.index == 42


async def test_versions_counted_anew_are_not_mixed_with_the_old_ones():
    """Changes since a version that discovery no longer means would leave out what changed in between."""
    async with DispatcherFixture() as stage:
        head, reader, writer = await watch(stage)
        assert b"since=41 " in head
        writer.write(HEAD + chunk(listing(3, endpoint(1, 9, status="terminating"), whole=False)))
        assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
        assert stage.program.exchange.worker("s-00000001").open  # a bad list changes nothing
        again, *_ = await watch(stage)
        assert b"since" not in again  # the whole list is wanted


async def test_pushed_lists_are_watched_too():
    """Where an agent pushes lists no watch was opened, and drains were never heard of (drain, 19 times on one day)."""
    async with DispatcherFixture(settings={**SETTINGS, "membership_mode": "automatic"}) as stage:
        for _ in range(2):
            _, _, writer = await watch(stage)
            writer.write(HEAD + chunk(b"\n"))
            writer.transport.abort()  # what comes about from now on counts as told at once
        _, _, writer = await watch(stage)
        writer.write(HEAD + chunk(listing(42, endpoint(1, 9, status="terminating"), whole=False)))
        async with asyncio.timeout(TIMEOUT_S):
            while stage.program.exchange.worker("s-00000001").open:
                await asyncio.sleep(0)


def test_the_configuration_says_whether_lists_are_pushed(tmp_path):
    for mode, pushed in (("automatic", True), ("subscribe", False)):
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": {**SETTINGS, "membership_mode": mode}}
            )
        )
        settings = load_config({"BALANCER_CONFIG": str(path)}).settings
        assert (settings.watch_needed, settings.lists_pushed) == (True, pushed)
