"""Discovery: the watch on the worker list, and asking for the whole list where the watch cannot be had."""

from __future__ import annotations

import asyncio
import json
import math
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar, cast

import structlog
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from millethead.decide.interface import ListForm, WorkerState
from millethead.exchange.core import Exchange
from millethead.exchange.model import WorkerListing, WorkerTransport
from millethead.net.connection import WRITE_BUFFER, Closed, Connection, Late, within
from millethead.net.parse import (
    BadMessage,
    body_length,
    chunk_end,
    chunk_size,
    parse_response,
    read_head,
    read_response,
)
from millethead.net.pool import READ_BUFFER, Address
from millethead.net.terms import MOVED, TOLD, ListTerms

log = structlog.get_logger()
T = TypeVar("T")
LINE = 1 << 20  # bytes of one list
# watches in a row that were answered with something else before the whole list is asked for instead: not those that
# found discovery busy or gone, since a whole list costs it as much as several watches, and all nodes would ask at once
ASK_AFTER = 2
PAUSE, PAUSE_MOST = 0.25, 1.0  # s before asking, by failures: a list that came must not start a tight loop
STATES = {"in_service": WorkerState.READY, "terminating": WorkerState.DRAINING, "terminated": WorkerState.GONE}


class BadList(Exception):
    """Discovery wrote what cannot be meant."""


class Lines:
    """What a watch writes, cut into the objects and empty lines that it means. An object may be indented over several
    lines; an empty line inside one, or one that does not begin as an object, cannot be meant."""

    def __init__(self) -> None:
        self._left = self._object = b""

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that `data` completes, and b"" for each empty line; raises BadList."""
        out: list[bytes] = []
        *lines, self._left = (self._left + data).split(b"\n")
        for line in lines:
            said, line = self._object, line.strip()
            if not line and not said:
                out.append(b"")
                continue
            if not line or (not said and not line.startswith(b"{")):
                raise BadList(f"a line that cannot be read: {(said or line)[:40]!r}")
            said += line + b"\n"
            # braces in a name can only make it wait for more: it then ends as a bad line at the next empty one
            if line.endswith(b"}") and said.count(b"{") <= said.count(b"}"):
                out.append(said)
                said = b""
            self._object = said
        if len(self._left) + len(self._object) > LINE:
            raise BadList("a line too long")
        return out


class Names:
    """Zones and machine kinds by name, as the settings index them."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}

    def entry(self, raw: Any) -> WorkerListing:
        try:
            name, state = raw["name"], STATES[raw["status"]]
            host, _, port = raw["address"].rpartition(":")
            weight, started, cell = float(raw.get("weight", 1.0)), float(raw.get("since_ms", 0)), raw["group"]
            if not isinstance(name, str) or not name or not host or not 0 < int(port) < 65536:
                raise BadList("an entry without name or address")
            if not isinstance(cell, int) or cell < 0 or not math.isfinite(weight + started) or started < 0:
                raise BadList("an entry with impossible figures")
            return WorkerListing(
                name,
                (host.strip("[]"), int(port)),
                self.zones.get(raw["zone"], len(self.zones)),
                self.kinds.get(raw["type"], len(self.kinds)),
                cell,
                state,
                weight,
                started,
                confirms=True,
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise BadList(f"an entry that cannot be read: {error!r}") from None

    def read(self, raw: Any) -> tuple[int, bool, list[WorkerListing]]:
        """(version, whether it is the whole list, entries) of one object."""
        if not isinstance(raw, dict):
            raise BadList("no object")
        index, whole, lines = raw.get("index"), raw.get("snapshot"), raw.get("endpoints")
        if not isinstance(index, int) or not isinstance(whole, bool) or not isinstance(lines, list):
            raise BadList("an object without index, snapshot or endpoints")
        return index, whole, [self.entry(line) for line in lines]


class Discovery:
    """The exchange's roster. The module says when to watch; a watch that ends is told as a failed list."""

    def __init__(
        self,
        exchange: Exchange,
        side: WorkerTransport,
        address: Address,
        names: Names,
        terms: ListTerms,
        path: str = "/discovery/hosts",
    ) -> None:
        self.exchange, self.side, self.address, self.names, self.path = exchange, side, address, names, path
        self.terms = terms
        self._sign = time.monotonic()  # s: when discovery was last heard of, or a call to it began
        self.index: int | None = None
        self._conn: Connection | None = None
        self._turn = self._failures = self._unread = 0
        self._moved = math.inf  # s, steady clock: when the call after one that failed at a new address has to begin
        self.heard: Callable[[list[WorkerListing]], None] | None = None  # told of each list that is taken

    def known(self, raw: Any) -> None:
        """Start from the list of the last run, if it can be read."""
        index, lines = self.index, list[WorkerListing]()
        try:
            if raw is not None:
                index, _, lines = self.names.read(raw)
        except BadList as bad:
            log.warning("known_list_bad", why=str(bad))
        self.inherited(index, lines)

    def inherited(self, index: int | None, lines: list[WorkerListing]) -> None:
        """Start from the list of the process before this one."""
        self.index, self._sign = index, time.monotonic()
        self.exchange.listed(self.side, ListForm.CACHED, lines, self._spare())

    def watch(self, on: bool) -> None:
        self.stop()
        if on:
            IOLoop.current().spawn_callback(self._run, self._turn, self._watch)

    def move(self, address: Address) -> None:
        """Go to another address at once, without waiting for the old one to close. Versions may be counted
        anew there, so the whole list is wanted; until it comes, the last one stands."""
        if address != self.address:
            log.info("discovery_moves", address=f"{address[0]}:{address[1]}")
            self.address, self.index, self._failures, self._unread = address, None, 0, 0
            self.watch(True)
            # what the new one has counts as told sooner than after a call that failed, whatever else comes between
            self._moved = time.monotonic() + self.terms.again - (TOLD - MOVED)

    def ask(self) -> None:
        IOLoop.current().spawn_callback(self._run, self._turn, self._ask)

    def stop(self) -> None:
        self._turn += 1
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _spare(self) -> float:
        """ms until the next call has to begin."""
        begin, self._moved = min(self._sign + self.terms.again, self._moved), math.inf
        return max(0.0, begin - time.monotonic()) * 1000

    async def _until(self, what: Awaitable[T]) -> T:
        """Wait for a part of a call or line: all of it has to be there in time, however its bytes come."""
        return await within(self._sign + self.terms.silence - time.monotonic(), what)

    async def _run(self, turn: int, call: Callable[[int], Awaitable[None]]) -> None:
        why = "it ended"
        try:
            if self._unread >= ASK_AFTER and call != self._ask:
                await asyncio.sleep(min(PAUSE_MOST, PAUSE * self._unread))
                if turn == self._turn:  # else it has moved, or begun anew, meanwhile
                    await self._ask(turn)
            if turn == self._turn:
                await call(turn)
        except (Closed, Late, OSError) as error:
            why = str(getattr(error, "real_error", None) or error) or type(error).__name__
        except (BadMessage, BadList, OverflowError, ValueError, RecursionError) as error:
            if turn == self._turn:
                log.warning("discovery_bad_line", why=str(error))
                why, self.index = "a bad line", None
        except Exception:
            log.exception("discovery_broke")
        else:
            if call == self._ask:
                return
        if turn == self._turn:
            self._failures += 1
            if not self._failures & (self._failures - 1):  # the first, and ever fewer of those that follow
                log.info("discovery_lost", why=why, failures=self._failures)
            self.stop()
            self.exchange.listed(self.side, ListForm.FAILED, within=self._spare())

    async def _call(self, query: str) -> Connection:
        self._sign = time.monotonic()
        stream = IOStream(
            socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET),
            max_buffer_size=READ_BUFFER,
            max_write_buffer_size=WRITE_BUFFER,
        )
        try:
            await within(self.terms.connect, cast(Awaitable[IOStream], stream.connect(self.address)))
            conn = Connection(stream)
            await conn.write(
                f"GET {self.path}{query} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n\r\n".encode(
                    "latin-1"
                )
            )
            return conn
        except BaseException:
            stream.close()
            raise

    async def _ask(self, turn: int) -> None:
        conn = await self._call("")
        try:
            response = await self._until(read_response(conn))
        finally:
            conn.close()
        if turn == self._turn:
            self._check(response.status)
            self._take(response.body, turn)

    async def _watch(self, turn: int) -> None:
        since = "" if self.index is None else f"&since={self.index}"
        conn = await self._call("?follow=1" + since)
        if turn != self._turn:
            conn.close()
            return
        self._conn = conn
        head = parse_response(await self._until(read_head(conn)))
        self._check(head.status)
        self._unread += 1  # until it has written something that can be read
        if body_length(head.fields) is not None:
            raise BadList("a watch that is no chunked answer")
        lines, heard = Lines(), False
        while left := await self._until(chunk_size(conn)):
            while left:
                data = await self._until(conn.some(left))
                left -= len(data)
                for line in lines.feed(data):
                    if turn != self._turn:
                        return
                    self._sign = time.monotonic()
                    if line:
                        self._take(line, turn)
                    elif not heard:  # nothing has changed since: the module must hear that the watch stands
                        self.exchange.listed(self.side, ListForm.DELTA)
                    heard = True
                    if self._failures:
                        log.info("discovery_back", failures=self._failures)
                    self._failures = self._unread = 0
            await self._until(chunk_end(conn))
        self._sign = time.monotonic()

    def _check(self, status: int) -> None:
        if status != 200:
            self._unread += status not in (429, 503)  # those say that it is busy or down
            raise Late(f"status {status}")

    def _take(self, text: bytes, turn: int) -> None:
        index, whole, lines = self.names.read(json.loads(text))
        if turn == self._turn:
            if not whole and self.index is not None and index < self.index:
                raise BadList("versions are counted anew, but only changes came")
            self.index = index
            self.exchange.listed(self.side, ListForm.FULL if whole else ListForm.DELTA, lines)
            if self.heard is not None:
                self.heard(lines)
