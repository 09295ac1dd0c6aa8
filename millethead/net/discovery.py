"""Client of the discovery service: watches the worker list, or requests the whole list where a watch fails."""

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
from millethead.net.connection import WRITE_BUFFER_BYTES, Closed, Connection, PeerTimeout, with_timeout
from millethead.net.parse import (
    BadMessage,
    body_length,
    chunk_end,
    chunk_size,
    parse_response,
    read_head,
    read_response,
)
from millethead.net.pool import READ_BUFFER_BYTES, Address
from millethead.net.timeouts import ANNOUNCED_AFTER_S, MOVE_ANNOUNCED_AFTER_S, ListTimeouts

log = structlog.get_logger()
T = TypeVar("T")
MAX_LIST_BYTES = 1 << 20
# Consecutive watches with an unusable response before the whole list is requested instead. Watches that found discovery
# busy or unreachable do not count: a whole list costs it as much as several watches, and all nodes would request one at
# the same time.
MAX_UNUSABLE_WATCHES = 2
# Pause before such a request, per unusable watch and at most. Without it a successful request would start a tight loop.
REQUEST_PAUSE_S, MAX_REQUEST_PAUSE_S = 0.25, 1.0
STATES = {"in_service": WorkerState.READY, "terminating": WorkerState.DRAINING, "terminated": WorkerState.GONE}


class InvalidWorkerList(Exception):
    """Discovery sent an invalid list."""


class ListObjectSplitter:
    """Splits the output of a watch into JSON objects and empty lines. An object may extend over several lines. An empty
    line inside an object is invalid, and so is a line outside of one that does not begin with a brace."""

    def __init__(self) -> None:
        self._partial_line = self._partial_object = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the objects that `data` completes, and b"" for each empty line. Raises InvalidWorkerList."""
        out: list[bytes] = []
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            text, line = self._partial_object, line.strip()
            if not line and not text:
                out.append(b"")
                continue
            if not line or (not text and not line.startswith(b"{")):
                raise InvalidWorkerList(f"invalid line: {(text or line)[:40]!r}")
            text += line + b"\n"
            # Braces inside strings are counted too. They can only delay the end of the object: the next empty line then
            # makes it invalid.
            if line.endswith(b"}") and text.count(b"{") <= text.count(b"}"):
                out.append(text)
                text = b""
            self._partial_object = text
        if len(self._partial_line) + len(self._partial_object) > MAX_LIST_BYTES:
            raise InvalidWorkerList(f"the list exceeds {MAX_LIST_BYTES} bytes")
        return out


class WorkerListParser:
    """Parses worker lists. Maps the names of zones and machine kinds to their indexes in the settings."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}

    def parse_entry(self, raw: Any) -> WorkerListing:
        try:
            name, state = raw["name"], STATES[raw["status"]]
            host, _, port = raw["address"].rpartition(":")
            weight, started, cell = float(raw.get("weight", 1.0)), float(raw.get("since_ms", 0)), raw["group"]
            if not isinstance(name, str) or not name or not host or not 0 < int(port) < 65536:
                raise InvalidWorkerList("entry without a valid name or address")
            if not isinstance(cell, int) or cell < 0 or not math.isfinite(weight + started) or started < 0:
                raise InvalidWorkerList("entry with an invalid group, weight or start time")
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
            raise InvalidWorkerList(f"invalid entry: {error!r}") from None

    def parse(self, raw: Any) -> tuple[int, bool, list[WorkerListing]]:
        """Returns (version, whether it is the whole list, entries) of one object. Raises InvalidWorkerList."""
        if not isinstance(raw, dict):
            raise InvalidWorkerList("the list is not a JSON object")
        index, whole, entries = raw.get("index"), raw.get("snapshot"), raw.get("endpoints")
        if not isinstance(index, int) or not isinstance(whole, bool) or not isinstance(entries, list):
            raise InvalidWorkerList("object without index, snapshot or endpoints")
        return index, whole, [self.parse_entry(entry) for entry in entries]


class Discovery:
    """The exchange's source of worker lists. The decision module requests watches and lists. The end of a watch is
    reported to the exchange as a failed list.

    `index`: version of the last list, None if the next call has to return the whole list."""

    def __init__(
        self,
        exchange: Exchange,
        transport: WorkerTransport,
        address: Address,
        parser: WorkerListParser,
        timeouts: ListTimeouts,
        path: str = "/discovery/hosts",
    ) -> None:
        self.exchange, self.transport, self.address, self.parser, self.path = exchange, transport, address, parser, path
        self.timeouts = timeouts
        # monotonic time: see ListTimeouts
        self._last_contact_s = time.monotonic()
        self.index: int | None = None
        self._conn: Connection | None = None
        self._generation = self._failures = self._unusable_watches = 0
        # monotonic time: when the next call has to begin if the first call to a new address fails
        self._move_deadline_s = math.inf
        self.on_list: Callable[[list[WorkerListing]], None] | None = None  # called with the entries of each list

    def load_cached(self, raw: Any) -> None:
        """Starts from the list that the platform has stored from the last run, if it is valid."""
        index, entries = self.index, list[WorkerListing]()
        try:
            if raw is not None:
                index, _, entries = self.parser.parse(raw)
        except InvalidWorkerList as error:
            log.warning("known_list_bad", why=str(error))
        self.load_inherited(index, entries)

    def load_inherited(self, index: int | None, entries: list[WorkerListing]) -> None:
        """Starts from the list of the predecessor process."""
        self.index, self._last_contact_s = index, time.monotonic()
        self.exchange.listed(self.transport, ListForm.CACHED, entries, self._until_next_call_ms())

    def watch(self, on: bool) -> None:
        """Ends the current call. If `on`, starts a new watch."""
        self.stop()
        if on:
            IOLoop.current().spawn_callback(self._run, self._generation, self._watch)

    def move(self, address: Address) -> None:
        """Switches to another address at once, without waiting for the old connection to close. Versions may differ
        there, so the whole list is requested. The last list stays in use until then."""
        if address != self.address:
            log.info("discovery_moves", address=f"{address[0]}:{address[1]}")
            self.address, self.index, self._failures, self._unusable_watches = address, None, 0, 0
            self.watch(True)
            # the list at the new address counts as announced sooner than a change after a failed call
            self._move_deadline_s = (
                time.monotonic() + self.timeouts.next_call_s - (ANNOUNCED_AFTER_S - MOVE_ANNOUNCED_AFTER_S)
            )

    def ask(self) -> None:
        """Requests the whole list."""
        IOLoop.current().spawn_callback(self._run, self._generation, self._request_list)

    def stop(self) -> None:
        """Ends the current call. `_generation` tells its coroutine that it is obsolete."""
        self._generation += 1
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _until_next_call_ms(self) -> float:
        """Returns the ms until the next call has to begin."""
        begin = min(self._last_contact_s + self.timeouts.next_call_s, self._move_deadline_s)
        self._move_deadline_s = math.inf
        return max(0.0, begin - time.monotonic()) * 1000

    async def _before_silence(self, operation: Awaitable[T]) -> T:
        """Awaits a part of a response or line, until the deadline that applies to the whole of it."""
        return await with_timeout(self._last_contact_s + self.timeouts.silence_s - time.monotonic(), operation)

    async def _run(self, generation: int, call: Callable[[int], Awaitable[None]]) -> None:
        why = "the call ended"
        try:
            if self._unusable_watches >= MAX_UNUSABLE_WATCHES and call != self._request_list:
                await asyncio.sleep(min(MAX_REQUEST_PAUSE_S, REQUEST_PAUSE_S * self._unusable_watches))
                if generation == self._generation:  # otherwise the address has changed, or a new call has begun
                    await self._request_list(generation)
            if generation == self._generation:
                await call(generation)
        except (Closed, PeerTimeout, OSError) as error:
            why = str(getattr(error, "real_error", None) or error) or type(error).__name__
        except (BadMessage, InvalidWorkerList, OverflowError, ValueError, RecursionError) as error:
            if generation == self._generation:
                log.warning("discovery_bad_line", why=str(error))
                why, self.index = "invalid response", None
        except Exception:
            log.exception("discovery_broke")
        else:
            if call == self._request_list:
                return
        if generation == self._generation:
            self._failures += 1
            if not self._failures & (self._failures - 1):  # log failures number 1, 2, 4, 8, ...
                log.info("discovery_lost", why=why, failures=self._failures)
            self.stop()
            self.exchange.listed(self.transport, ListForm.FAILED, within=self._until_next_call_ms())

    async def _call(self, query: str) -> Connection:
        """Connects to discovery and sends a request for the list."""
        self._last_contact_s = time.monotonic()
        stream = IOStream(
            socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET),
            max_buffer_size=READ_BUFFER_BYTES,
            max_write_buffer_size=WRITE_BUFFER_BYTES,
        )
        try:
            await with_timeout(self.timeouts.connect_s, cast(Awaitable[IOStream], stream.connect(self.address)))
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

    async def _request_list(self, generation: int) -> None:
        conn = await self._call("")
        try:
            response = await self._before_silence(read_response(conn))
        finally:
            conn.close()
        if generation == self._generation:
            self._check(response.status)
            self._apply(response.body, generation)

    async def _watch(self, generation: int) -> None:
        since = "" if self.index is None else f"&since={self.index}"
        conn = await self._call("?follow=1" + since)
        if generation != self._generation:
            conn.close()
            return
        self._conn = conn
        head = parse_response(await self._before_silence(read_head(conn)))
        self._check(head.status)
        self._unusable_watches += 1  # reset by the first valid line
        if body_length(head.fields) is not None:
            raise InvalidWorkerList("the response to a watch is not chunked")
        splitter, received = ListObjectSplitter(), False
        while left := await self._before_silence(chunk_size(conn)):
            while left:
                data = await self._before_silence(conn.read_some(left))
                left -= len(data)
                for line in splitter.feed(data):
                    if generation != self._generation:
                        return
                    self._last_contact_s = time.monotonic()
                    if line:
                        self._apply(line, generation)
                    elif not received:  # nothing has changed: tell the decision module that the watch is established
                        self.exchange.listed(self.transport, ListForm.DELTA)
                    received = True
                    if self._failures:
                        log.info("discovery_back", failures=self._failures)
                    self._failures = self._unusable_watches = 0
            await self._before_silence(chunk_end(conn))
        self._last_contact_s = time.monotonic()

    def _check(self, status: int) -> None:
        if status != 200:
            self._unusable_watches += status not in (429, 503)  # 429 and 503: discovery is busy or down
            raise PeerTimeout(f"status {status}")

    def _apply(self, text: bytes, generation: int) -> None:
        """Passes a list or a set of changes to the exchange."""
        index, whole, entries = self.parser.parse(json.loads(text))
        if generation == self._generation:
            if not whole and self.index is not None and index < self.index:
                raise InvalidWorkerList("changes with a lower version than the last list")
            self.index = index
            self.exchange.listed(self.transport, ListForm.FULL if whole else ListForm.DELTA, entries)
            if self.on_list is not None:
                self.on_list(entries)
