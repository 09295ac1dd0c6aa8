"""IPFIX (RFC 7011): one record for each finished exchange, over UDP to a collector on this machine."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from ipaddress import ip_address

import structlog

from millethead.exchange.model import Answer, Final, Order
from millethead.flows.setup import FlowSetup

log = structlog.get_logger()
VERSION, TEMPLATE_SET = 10, 2
IPV4, IPV6 = 256, 257  # template ids
MESSAGE = 1200  # bytes at most: fits into a packet everywhere
WAIT = 0.2  # s that records are gathered for one message
COMPLAIN = 60.0  # s between two log lines about dropped records
_HEADER = struct.Struct("!HHIII")
_SET = struct.Struct("!HH")
_TIMES = struct.Struct("!QQ")
_REST = struct.Struct("!HHBQQBH")
# (element, length) in the order of a record; the names are IANA's
_VARIABLE = 65535
_ENDS = (
    (7, 2),  # sourceTransportPort
    (11, 2),  # destinationTransportPort
    (4, 1),  # protocolIdentifier
    (231, 8),  # initiatorOctets
    (232, 8),  # responderOctets
    (136, 1),  # flowEndReason
    (459, 2),  # httpStatusCode
    (96, _VARIABLE),
)  # applicationName
# flowStartMilliseconds, flowEndMilliseconds, then the source and destination address of that family
_FIELDS = {IPV4: ((152, 8), (153, 8), (8, 4), (12, 4), *_ENDS), IPV6: ((152, 8), (153, 8), (27, 16), (28, 16), *_ENDS)}
# flowEndReason: 3 end of flow detected, 4 forced end, 5 lack of resources
_MEANING = {Final.SERVED: (3, 200), Final.REFUSED: (5, 503), Final.FAILED: (4, 502), None: (4, 499)}


def template_set() -> bytes:
    out = b""
    for number, fields in _FIELDS.items():
        out += _SET.pack(number, len(fields)) + b"".join(_SET.pack(*field) for field in fields)
    return _SET.pack(TEMPLATE_SET, 4 + len(out)) + out


def record(
    order: Order, answer: Answer | None, began: float, ended: float, listen: tuple[str, int], name: str
) -> tuple[int, bytes]:
    """(template, bytes) of one exchange; times are Unix time in ms. Answer None: its client left."""
    source, destination = (ip_address(host) for host in ((order.peer or ("0.0.0.0", 0))[0], listen[0]))
    template = IPV4
    if source.version == 6 or destination.version == 6:
        template = IPV6
    parts = [_TIMES.pack(int(began), int(ended))]
    for address in (source, destination):
        packed = address.packed
        if template == IPV6 and len(packed) == 4:
            packed = bytes(10) + b"\xff\xff" + packed
        parts.append(packed)
    reason, status = _MEANING[answer.final if answer is not None else None]
    text = name.encode()[:254]
    parts.append(
        _REST.pack(
            (order.peer or ("", 0))[1],
            listen[1],
            6,
            len(order.body),
            len(answer.result) if answer is not None else 0,
            reason,
            status,
        )
    )
    parts.append(bytes([len(text)]) + text)
    return template, b"".join(parts)


class Exporter:
    """Gathers records in a bounded queue and sends them from the loop; a job never waits for it."""

    def __init__(
        self,
        setup: FlowSetup,
        listen: tuple[str, int],
        faktory: tuple[str, int] | None,
        classes: list[str],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.setup, self.classes, self.wall = setup, classes, wall
        self.listen = {"http": listen, "faktory": faktory or listen}
        self.sequence = self.dropped = 0
        self._queue: deque[tuple[int, bytes]] = deque()
        self._templates_at = -float("inf")
        self._complained = -float("inf")
        self._told = 0
        self._timer: asyncio.TimerHandle | None = None
        self._socket: socket.socket | None = None

    def start(self) -> None:
        family = socket.AF_INET6 if ":" in self.setup.collector[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def stop(self) -> None:
        self.flush()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def finished(self, order: Order, answer: Answer | None, began: float, ended: float) -> None:
        """Take in one finished exchange; drops and counts it if the queue is full."""
        if len(self._queue) >= self.setup.queue:
            self._drop(1)
            return
        self._queue.append(
            record(
                order,
                answer,
                began,
                ended,
                self.listen.get(order.origin, self.listen["http"]),
                self.classes[order.job_class],
            )
        )
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(WAIT, self.flush)

    def flush(self) -> None:
        """Send what is queued. What the system does not take now is dropped and counted."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._queue:
            message, count = self.message()
            try:
                if self._socket is not None:
                    self._socket.sendto(message, self.setup.collector)
                    self.sequence = (self.sequence + count) & 0xFFFFFFFF
            except OSError:  # also where nobody listens there
                self._templates_at = -float("inf")
                self._drop(count)

    def message(self) -> tuple[bytes, int]:
        """The next message and how many records it holds; templates go first when they are due."""
        now = self.wall()
        sets = b""
        if now - self._templates_at >= self.setup.template_s:
            self._templates_at = now
            sets = template_set()
        count = 0
        while self._queue:
            template = self._queue[0][0]
            data = b""
            while (
                self._queue
                and self._queue[0][0] == template
                and _HEADER.size + len(sets) + _SET.size + len(data) + len(self._queue[0][1]) <= MESSAGE
            ):
                data += self._queue.popleft()[1]
                count += 1
            if not data:
                break
            sets += _SET.pack(template, _SET.size + len(data)) + data
        head = _HEADER.pack(VERSION, _HEADER.size + len(sets), int(now) & 0xFFFFFFFF, self.sequence, self.setup.domain)
        return head + sets, count

    def _drop(self, count: int) -> None:
        self.dropped += count
        now = time.monotonic()
        if now - self._complained >= COMPLAIN:
            log.warning("flows_dropped", since_last=self.dropped - self._told, in_all=self.dropped)
            self._complained, self._told = now, self.dropped
