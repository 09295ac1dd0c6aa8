"""The simulator's binary wire: frames to interface events, interface actions to replies.

Strict on frames (a malformed one raises WireError), lenient on what it does not know: unknown event codes,
settings keys, report columns and list fields are skipped. No decision is made here.
"""

from __future__ import annotations

import struct
from typing import Any, BinaryIO

from millethead.decide import interface as api
from millethead.decide.settings import report_fields

HEADER = struct.Struct("<dIII")
REPLY = struct.Struct("<II")
_RECORD = struct.Struct("<BI")
_ENTRY = struct.Struct("<IBHHBfd")
_SYNC = struct.Struct("<IHIB")
_OPEN = struct.Struct("<IQI")
_QUERY = struct.Struct("<IQfHdBdfIQ")
_STREAMING = struct.Struct("<IQHId")
_ENDED = struct.Struct("<IQHIHdBBB")
_GONE = struct.Struct("<IQ")
_PONG = struct.Struct("<IdIHB")
_MESSAGE = struct.Struct("<IIH")
_HEARTBEAT = struct.Struct("<IQIBfH")
_SEND = struct.Struct("<BIIQId")
_CANCEL = struct.Struct("<BIIQH")
_REFUSE = struct.Struct("<BIIQd")
_FAIL = struct.Struct("<BIIQ")
_PROBE = struct.Struct("<BIII")
_TIMER = struct.Struct("<BIIQd")
_WATCH = struct.Struct("<BIIB")
_LIST = struct.Struct("<BII")
_TELL = struct.Struct("<BIIHH")
_FAULT = struct.Struct("<BIIH")

MAX_FRAME = 1 << 28


class WireError(Exception):
    """The frame cannot be meant: truncated, over-long or inconsistent."""


def read_frame(source: BinaryIO) -> tuple[float, int, int, bytes] | None:
    """The next batch as (clock, batch index, record count, body), or None at a clean end of input."""
    head = source.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise WireError(f"input ends inside a header ({len(head)} of {HEADER.size} bytes)")
    now, length, count, index = HEADER.unpack(head)
    if not HEADER.size <= length <= MAX_FRAME or not now >= 0:
        raise WireError(f"impossible frame: length {length}, clock {now}")
    body = source.read(length - HEADER.size)
    if len(body) < length - HEADER.size:
        raise WireError(f"input ends inside a frame ({len(body) + HEADER.size} of {length} bytes)")
    return now, index, count, body


def records(body: bytes, count: int) -> list[tuple[int, int, int]]:
    """(code, start of the fields, end) of each record; the fields must fill the body exactly."""
    out, at = [], 0
    for _ in range(count):
        if at + 5 > len(body):
            raise WireError("a record starts past the end of its frame")
        code, size = _RECORD.unpack_from(body, at)
        at += 5
        if at + size > len(body):
            raise WireError(f"a record of code {code} runs past the end of its frame")
        out.append((code, at, at + size))
        at += size
    if at != len(body):
        raise WireError(f"{len(body) - at} bytes follow the last record")
    return out


class _Instance:
    """What the decoder must remember for one node: the names of its report columns."""

    __slots__ = ("columns",)

    def __init__(self, columns: tuple[str | None, ...]) -> None:
        self.columns = columns


class Decoder:
    """Turns records into (instance, event) pairs; holds the numbered lists of the process."""

    def __init__(self) -> None:
        self._banks: dict[int, tuple[api.WorkerEntry, ...]] = {}
        self._instances: dict[int, _Instance] = {}

    def open(self, instance: int, info: dict[str, Any]) -> None:
        self._instances[instance] = _Instance(report_fields(info))

    def bank(self, body: bytes, at: int, end: int) -> None:
        if at + 6 > end:
            raise WireError("a directory record is too short")
        number, count = struct.unpack_from("<HI", body, at)
        if at + 6 + count * _ENTRY.size > end:
            raise WireError("a directory record holds fewer entries than it says")
        entries = []
        for worker, zone, kind, cell, state, rating, started in _ENTRY.iter_unpack(
            body[at + 6 : at + 6 + count * _ENTRY.size]
        ):
            if state <= 2:
                entries.append(api.WorkerEntry(worker, zone, kind, cell, api.WorkerState(state), rating, started))
        self._banks[number] = tuple(entries)

    def _report(self, instance: int, body: bytes, at: int, count: int, end: int) -> api.Report | None:
        if at + 4 * count > end:
            raise WireError("a report runs past the end of its record")
        known = self._instances.get(instance)
        if not count or known is None:
            return None
        values = struct.unpack_from(f"<{count}f", body, at)
        named = {
            name: value
            for name, value in zip(known.columns, values, strict=False)
            if name and value == value and abs(value) < 1e9
        }
        return api.Report(**named) if named else None

    def event(self, code: int, body: bytes, at: int, end: int) -> tuple[int, api.Event] | None:
        """The event of one record, or None for a code that is not known."""
        try:
            return self._event(code, body, at, end)
        except struct.error as error:
            raise WireError(f"a record of code {code} is too short: {error}") from None

    def _event(self, code: int, body: bytes, at: int, end: int) -> tuple[int, api.Event] | None:
        need = _NEED.get(code)
        if need is None:
            return None
        if code == 18 and at + need > end:  # a query may leave out its last fields
            if end - at < 35:
                raise WireError("a query is too short")
            body, at, end = body[at:end] + bytes(need), 0, need
        if at + need > end:
            raise WireError(f"a record of code {code} is too short")
        if code == 20:
            i, job, attempt, worker, how, lag, final, _, n = _ENDED.unpack_from(body, at)
            report = self._report(i, body, at + need, n, end)
            outcome = api.Outcome(how) if 1 <= how <= 8 else api.Outcome.ERROR
            return i, api.AttemptEnded(job, attempt, worker, outcome, lag, bool(final), report)
        if code == 22:
            i, token = _GONE.unpack_from(body, at)
            return i, api.TimerFired(token)
        if code == 18:
            i, job, slots, cls, hint, marks, left, memory, tenant, key = _QUERY.unpack_from(body, at)
            return i, api.JobArrived(
                job, cls, left, slots or 1.0, memory, tenant, key, hint if marks & 1 else None, bool(marks & 2)
            )
        if code == 23:
            i, lag, worker, how, n = _PONG.unpack_from(body, at)
            outcome = api.Outcome(how) if 1 <= how <= 8 else api.Outcome.ERROR
            return i, api.ProbeEnded(worker, outcome, lag, self._report(i, body, at + need, n, end))
        if code == 17:
            i, bank, epoch, form = _SYNC.unpack_from(body, at)
            if form > 3:
                return None
            entries = self._banks.get(bank, ()) if form != 3 else ()
            return i, api.WorkerList(api.ListForm(form), entries, epoch)
        if code == 21:
            i, job = _GONE.unpack_from(body, at)
            return i, api.JobWithdrawn(job)
        if code == 19:
            i, job, attempt, worker, lag = _STREAMING.unpack_from(body, at)
            return i, api.AttemptStreaming(job, attempt, worker, lag)
        if code == 27:
            i, job, worker, topic, share, attempt = _HEARTBEAT.unpack_from(body, at)
            return i, api.AttemptProgress(job, attempt, worker, None if topic == 1 else share)
        i, sender, size = _MESSAGE.unpack_from(body, at)
        if at + need + size > end:
            raise WireError("a message runs past the end of its record")
        return i, api.PeerMessage(sender, bytes(body[at + need : at + need + size]))

    @staticmethod
    def opening(body: bytes, at: int, end: int) -> tuple[int, int, bytes]:
        """(instance, seed, settings text) of an open_instance record."""
        if at + _OPEN.size > end:
            raise WireError("an open_instance record is too short")
        instance, seed, size = _OPEN.unpack_from(body, at)
        if at + _OPEN.size + size > end:
            raise WireError("settings run past the end of their record")
        return instance, seed, bytes(body[at + _OPEN.size : at + _OPEN.size + size])


_NEED = {
    17: _SYNC.size,
    18: _QUERY.size,
    19: _STREAMING.size,
    20: _ENDED.size,
    21: _GONE.size,
    22: _GONE.size,
    23: _PONG.size,
    24: _MESSAGE.size,
    27: _HEARTBEAT.size,
}


def encode(instance: int, actions: list[api.Action], out: list[bytes]) -> None:
    """Append the records of an instance's actions."""
    for a in actions:
        match a:
            case api.SetTimer():
                out.append(_TIMER.pack(20, 20, instance, a.token, max(0.0, a.delay)))
            case api.Send():
                out.append(_SEND.pack(16, 24, instance, a.job, a.worker, a.timeout))
            case api.Probe():
                out.append(_PROBE.pack(21, 8, instance, a.worker))
            case api.Refuse():
                out.append(_REFUSE.pack(17, 20, instance, a.job, a.pause))
            case api.Fail():
                out.append(_FAIL.pack(18, 12, instance, a.job))
            case api.CancelAttempt():
                out.append(_CANCEL.pack(19, 14, instance, a.job, a.attempt))
            case api.WatchWorkers():
                out.append(_WATCH.pack(26, 5, instance, a.on))
            case api.ListWorkers():
                out.append(_LIST.pack(27, 4, instance))
            case api.TellPeers():
                to = 0xFFFF if a.node is None else a.node
                out.append(_TELL.pack(23, 8 + len(a.payload), instance, to, len(a.payload)) + a.payload)


def fault(instance: int, text: str) -> bytes:
    """A bail_out record: the instance could not go on."""
    what = text.encode()[:4000]
    return _FAULT.pack(25, 6 + len(what), instance, len(what)) + what
