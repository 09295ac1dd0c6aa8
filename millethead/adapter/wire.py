"""Codec of the simulator's binary protocol: decodes frames to events and encodes actions to replies.

A malformed frame raises WireError. Unknown record codes, settings keys and report columns are ignored.
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
_JOB_OR_TOKEN = struct.Struct("<IQ")
_PROBE_ENDED = struct.Struct("<IdIHB")
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
_BAIL_OUT = struct.Struct("<BIIH")

MAX_FRAME_BYTES = 1 << 28


class WireError(Exception):
    """A frame is truncated, too long or inconsistent."""


def read_frame(source: BinaryIO) -> tuple[float, int, int, bytes] | None:
    """The next frame as (clock, batch index, record count, body), or None at the end of input between two frames."""
    header = source.read(HEADER.size)
    if not header:
        return None
    if len(header) < HEADER.size:
        raise WireError(f"input ends inside a header ({len(header)} of {HEADER.size} bytes)")
    now, length, count, index = HEADER.unpack(header)
    if not HEADER.size <= length <= MAX_FRAME_BYTES or not now >= 0:
        raise WireError(f"impossible frame: length {length}, clock {now}")
    body = source.read(length - HEADER.size)
    if len(body) < length - HEADER.size:
        raise WireError(f"input ends inside a frame ({len(body) + HEADER.size} of {length} bytes)")
    return now, index, count, body


def split_records(body: bytes, count: int) -> list[tuple[int, int, int]]:
    """(code, start of the fields, end) of each record; the records must fill the body exactly."""
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
    """Decoder state of one instance: the Report fields of its report columns."""

    __slots__ = ("columns",)

    def __init__(self, columns: tuple[str | None, ...]) -> None:
        self.columns = columns


class Decoder:
    """Decodes records to (instance, event) pairs. Keeps the numbered worker directories, shared by all instances."""

    def __init__(self) -> None:
        self._directories: dict[int, tuple[api.WorkerEntry, ...]] = {}
        self._instances: dict[int, _Instance] = {}

    def open_instance(self, instance: int, info: dict[str, Any]) -> None:
        self._instances[instance] = _Instance(report_fields(info))

    def store_directory(self, body: bytes, at: int, end: int) -> None:
        """Store the worker entries of a directory record under its number."""
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
        self._directories[number] = tuple(entries)

    def _decode_report(self, instance: int, body: bytes, at: int, count: int, end: int) -> api.Report | None:
        if at + 4 * count > end:
            raise WireError("a report runs past the end of its record")
        state = self._instances.get(instance)
        if not count or state is None:
            return None
        values = struct.unpack_from(f"<{count}f", body, at)
        fields = {
            name: value
            for name, value in zip(state.columns, values, strict=False)
            if name and value == value and abs(value) < 1e9  # not NaN or absurdly large
        }
        return api.Report(**fields) if fields else None

    def decode_event(self, code: int, body: bytes, at: int, end: int) -> tuple[int, api.Event] | None:
        """The instance and event of one record, or None if the code is unknown."""
        try:
            return self._decode_event(code, body, at, end)
        except struct.error as error:
            raise WireError(f"a record of code {code} is too short: {error}") from None

    def _decode_event(self, code: int, body: bytes, at: int, end: int) -> tuple[int, api.Event] | None:
        min_size = _MIN_SIZES.get(code)
        if min_size is None:
            return None
        if code == 18 and at + min_size > end:  # a query may omit its last fields, which are then 0
            if end - at < 35:
                raise WireError("a query is too short")
            body, at, end = body[at:end] + bytes(min_size), 0, min_size
        if at + min_size > end:
            raise WireError(f"a record of code {code} is too short")
        if code == 20:  # attempt ended
            instance, job, attempt, worker, result, elapsed, final, _, count = _ENDED.unpack_from(body, at)
            report = self._decode_report(instance, body, at + min_size, count, end)
            outcome = api.Outcome(result) if 1 <= result <= 8 else api.Outcome.ERROR
            return instance, api.AttemptEnded(job, attempt, worker, outcome, elapsed, bool(final), report)
        if code == 22:  # timer fired
            instance, token = _JOB_OR_TOKEN.unpack_from(body, at)
            return instance, api.TimerFired(token)
        if code == 18:  # query: a job arrived
            instance, job, slots, cls, hint, flags, left, memory, tenant, key = _QUERY.unpack_from(body, at)
            return instance, api.JobArrived(
                job, cls, left, slots or 1.0, memory, tenant, key, hint if flags & 1 else None, bool(flags & 2)
            )
        if code == 23:  # probe ended
            instance, elapsed, worker, result, count = _PROBE_ENDED.unpack_from(body, at)
            outcome = api.Outcome(result) if 1 <= result <= 8 else api.Outcome.ERROR
            report = self._decode_report(instance, body, at + min_size, count, end)
            return instance, api.ProbeEnded(worker, outcome, elapsed, report)
        if code == 17:  # worker list
            instance, directory, epoch, form = _SYNC.unpack_from(body, at)
            if form > 3:
                return None
            entries = self._directories.get(directory, ()) if form != 3 else ()
            return instance, api.WorkerList(api.ListForm(form), entries, epoch)
        if code == 21:  # client gone
            instance, job = _JOB_OR_TOKEN.unpack_from(body, at)
            return instance, api.JobWithdrawn(job)
        if code == 19:  # attempt streaming
            instance, job, attempt, worker, elapsed = _STREAMING.unpack_from(body, at)
            return instance, api.AttemptStreaming(job, attempt, worker, elapsed)
        if code == 27:  # heartbeat: attempt started or in progress
            instance, job, worker, topic, share, attempt = _HEARTBEAT.unpack_from(body, at)
            return instance, api.AttemptProgress(job, attempt, worker, None if topic == 1 else share)
        instance, sender, size = _MESSAGE.unpack_from(body, at)
        if at + min_size + size > end:
            raise WireError("a message runs past the end of its record")
        return instance, api.PeerMessage(sender, bytes(body[at + min_size : at + min_size + size]))

    @staticmethod
    def decode_open_instance(body: bytes, at: int, end: int) -> tuple[int, int, bytes]:
        """(instance, seed, settings text) of an open_instance record."""
        if at + _OPEN.size > end:
            raise WireError("an open_instance record is too short")
        instance, seed, size = _OPEN.unpack_from(body, at)
        if at + _OPEN.size + size > end:
            raise WireError("settings run past the end of their record")
        return instance, seed, bytes(body[at + _OPEN.size : at + _OPEN.size + size])


_MIN_SIZES = {  # bytes of the fixed fields, by record code
    17: _SYNC.size,
    18: _QUERY.size,
    19: _STREAMING.size,
    20: _ENDED.size,
    21: _JOB_OR_TOKEN.size,
    22: _JOB_OR_TOKEN.size,
    23: _PROBE_ENDED.size,
    24: _MESSAGE.size,
    27: _HEARTBEAT.size,
}


def encode_actions(instance: int, actions: list[api.Action], out: list[bytes]) -> None:
    """Append one record for each action of an instance to `out`."""
    for action in actions:
        match action:
            case api.SetTimer():
                out.append(_TIMER.pack(20, 20, instance, action.token, max(0.0, action.delay)))
            case api.Send():
                out.append(_SEND.pack(16, 24, instance, action.job, action.worker, action.timeout))
            case api.Probe():
                out.append(_PROBE.pack(21, 8, instance, action.worker))
            case api.Refuse():
                out.append(_REFUSE.pack(17, 20, instance, action.job, action.pause))
            case api.Fail():
                out.append(_FAIL.pack(18, 12, instance, action.job))
            case api.CancelAttempt():
                out.append(_CANCEL.pack(19, 14, instance, action.job, action.attempt))
            case api.WatchWorkers():
                out.append(_WATCH.pack(26, 5, instance, action.on))
            case api.ListWorkers():
                out.append(_LIST.pack(27, 4, instance))
            case api.TellPeers():
                node = 0xFFFF if action.node is None else action.node  # 0xFFFF: all nodes
                header = _TELL.pack(23, 8 + len(action.payload), instance, node, len(action.payload))
                out.append(header + action.payload)


def encode_bail_out(instance: int, reason: str) -> bytes:
    """A bail_out record: the instance cannot continue, with the reason as text."""
    text = reason.encode()[:4000]
    return _BAIL_OUT.pack(25, 6 + len(text), instance, len(text)) + text
