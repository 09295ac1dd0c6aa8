"""IPFIX export (RFC 7011): one flow record per finished job, sent over UDP to a collector on this machine."""

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
IPV4_TEMPLATE, IPV6_TEMPLATE = 256, 257  # template ids
MAX_MESSAGE_BYTES = 1200  # fits into one packet on any network path
BATCH_DELAY_S = 0.2  # for which records are collected for one message
DROP_LOG_INTERVAL_S = 60.0  # between two log lines about dropped records
_HEADER = struct.Struct("!HHIII")
_SET = struct.Struct("!HH")
_TIMES = struct.Struct("!QQ")
_COMMON = struct.Struct("!HHBQQBH")
# information elements as (element id, length) in the order of a record, with their IANA names
_VARIABLE_LENGTH = 65535
_COMMON_FIELDS = (
    (7, 2),  # sourceTransportPort
    (11, 2),  # destinationTransportPort
    (4, 1),  # protocolIdentifier
    (231, 8),  # initiatorOctets
    (232, 8),  # responderOctets
    (136, 1),  # flowEndReason
    (459, 2),  # httpStatusCode
    (96, _VARIABLE_LENGTH),  # applicationName
)
# flowStartMilliseconds, flowEndMilliseconds, the source and destination address of the address family, then the rest
_FIELDS = {
    IPV4_TEMPLATE: ((152, 8), (153, 8), (8, 4), (12, 4), *_COMMON_FIELDS),
    IPV6_TEMPLATE: ((152, 8), (153, 8), (27, 16), (28, 16), *_COMMON_FIELDS),
}
# (flowEndReason, httpStatusCode); reasons: 3 end of flow detected, 4 forced end, 5 lack of resources
_END_CODES = {Final.SERVED: (3, 200), Final.REFUSED: (5, 503), Final.FAILED: (4, 502), None: (4, 499)}


def template_set() -> bytes:
    """The set with both templates."""
    templates = b""
    for template, fields in _FIELDS.items():
        templates += _SET.pack(template, len(fields)) + b"".join(_SET.pack(*field) for field in fields)
    return _SET.pack(TEMPLATE_SET, 4 + len(templates)) + templates


def record(
    order: Order, answer: Answer | None, began: float, ended: float, listen: tuple[str, int], name: str
) -> tuple[int, bytes]:
    """Encodes the record of one job; returns (template id, bytes).

    `answer` is None if the client withdrew the job. `began` and `ended` are Unix time in ms. `listen` is the address
    of the front end, `name` the job class.
    """
    source, destination = (ip_address(host) for host in ((order.peer or ("0.0.0.0", 0))[0], listen[0]))
    template = IPV4_TEMPLATE
    if source.version == 6 or destination.version == 6:
        template = IPV6_TEMPLATE
    parts = [_TIMES.pack(int(began), int(ended))]
    for address in (source, destination):
        packed = address.packed
        if template == IPV6_TEMPLATE and len(packed) == 4:
            packed = bytes(10) + b"\xff\xff" + packed  # IPv4-mapped IPv6 address
        parts.append(packed)
    reason, status = _END_CODES[answer.final if answer is not None else None]
    application = name.encode()[:254]
    parts.append(
        _COMMON.pack(
            (order.peer or ("", 0))[1],
            listen[1],
            6,  # TCP
            len(order.body),
            len(answer.result) if answer is not None else 0,
            reason,
            status,
        )
    )
    parts.append(bytes([len(application)]) + application)
    return template, b"".join(parts)


class Exporter:
    """Queues records up to a limit and sends them in the background from the event loop, so that no job waits."""

    def __init__(
        self,
        setup: FlowSetup,
        listen: tuple[str, int],
        faktory: tuple[str, int] | None,
        classes: list[str],
        wall: Callable[[], float] = time.time,
    ) -> None:
        """`listen` and `faktory` are the addresses of the front ends, `wall` returns the Unix time in s."""
        self.setup, self.classes, self.wall = setup, classes, wall
        self.listen = {"http": listen, "faktory": faktory or listen}
        self.sequence = self.dropped = 0
        self._queue: deque[tuple[int, bytes]] = deque()
        self._templates_sent_at = -float("inf")
        self._drops_logged_at = -float("inf")
        self._logged_drops = 0
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
        """Queues the record of a finished job. If the queue is full, the record is dropped and counted."""
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
            self._timer = asyncio.get_running_loop().call_later(BATCH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Sends all queued records. Those that the operating system does not accept now are dropped and counted."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._queue:
            message, count = self.message()
            try:
                if self._socket is not None:
                    self._socket.sendto(message, self.setup.collector)
                    self.sequence = (self.sequence + count) & 0xFFFFFFFF
            except OSError:  # also raised when no collector listens at the address
                self._templates_sent_at = -float("inf")
                self._drop(count)

    def message(self) -> tuple[bytes, int]:
        """Returns the next message and its number of records. It starts with the templates when they are due."""
        now = self.wall()
        sets = b""
        if now - self._templates_sent_at >= self.setup.template_s:
            self._templates_sent_at = now
            sets = template_set()
        count = 0
        while self._queue:
            template = self._queue[0][0]
            data = b""
            while (
                self._queue
                and self._queue[0][0] == template
                and _HEADER.size + len(sets) + _SET.size + len(data) + len(self._queue[0][1]) <= MAX_MESSAGE_BYTES
            ):
                data += self._queue.popleft()[1]
                count += 1
            if not data:
                break
            sets += _SET.pack(template, _SET.size + len(data)) + data
        header = _HEADER.pack(
            VERSION, _HEADER.size + len(sets), int(now) & 0xFFFFFFFF, self.sequence, self.setup.domain
        )
        return header + sets, count

    def _drop(self, count: int) -> None:
        self.dropped += count
        now = time.monotonic()
        if now - self._drops_logged_at >= DROP_LOG_INTERVAL_S:
            log.warning("flows_dropped", since_last=self.dropped - self._logged_drops, in_all=self.dropped)
            self._drops_logged_at, self._logged_drops = now, self.dropped
