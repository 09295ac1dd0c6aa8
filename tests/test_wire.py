"""The simulator adapter: frames, settings, and its errors for malformed input."""

import json
import struct
import subprocess
import sys

import pytest

from millethead.adapter import wire
from millethead.decide import interface as api
from millethead.decide.settings import settings_from

SETTINGS = {
    "classes": [
        {"deadline": 5000.0, "goal_time": 200.0, "effect": "retryable", "late_worth": 0.3},
        {"deadline": 9000.0, "effect": "dedup", "dedup_scope": "zone", "window": 700.0},
    ],
    "family_info": {"class_kind": [-1, 1], "class_stretch": [1.5, 2.0], "report_x0": "free slots"},
    "tenants": [{"name": "a", "quota_rps": 4.0, "fraction": 0.5}, {"name": "b", "quota_rps": 4.0}],
    "report": {"columns": ["x0", "q", "new-column"], "how": "answers"},
    "balancers": 3,
    "a_new_key": {"x": 1},
}


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def frame(*records: bytes, now: float = 10.0, index: int = 1) -> bytes:
    body = b"".join(records)
    return wire.HEADER.pack(now, wire.HEADER.size + len(body), len(records), index) + body


def open_instance(text: str, instance: int = 0) -> bytes:
    data = text.encode()
    return record(16, struct.pack("<IQI", instance, 7, len(data)) + data)


def directory(number: int, *workers: int) -> bytes:
    entries = b"".join(struct.pack("<IBHHBfd", w, 0, 1, 0, 0, 1.0, 0.0) for w in workers)
    return record(26, struct.pack("<HI", number, len(workers)) + entries)


def worker_list(instance: int, number: int, form: int) -> bytes:
    return record(17, struct.pack("<IHIB", instance, number, 1, form))


def query(job: int, cls: int = 0) -> bytes:
    return record(18, struct.pack("<IQfHdBdfIQ", 0, job, 1.0, cls, 0.0, 0, 900.0, 0.0, 0, 0))


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "millethead.adapter"]
    return subprocess.run(command, input=data, capture_output=True, timeout=60)


def replies(data: bytes) -> list[tuple[int, list[tuple[int, bytes]]]]:
    """(batch index, [(code, fields)]) of each reply."""
    out, at = [], 0
    while at < len(data):
        length, index = wire.REPLY.unpack_from(data, at)
        body, records, offset = data[at + 8 : at + length], [], 0
        while offset < len(body):
            code, size = struct.unpack_from("<BI", body, offset)
            records.append((code, body[offset + 5 : offset + 5 + size]))
            offset += 5 + size
        out.append((index, records))
        at += length
    return out


def test_a_job_is_sent_and_the_end_of_input_ends_the_process_without_error():
    first = frame(open_instance(json.dumps(SETTINGS)), directory(0, 5), worker_list(0, 0, 2), query(9), index=4)
    done = run(frame(index=3) + first)
    assert done.returncode == 0 and not done.stderr
    first, second = replies(done.stdout)
    assert first == (3, [])
    assert (16, struct.pack("<IQId", 0, 9, 5, 0.0)) in second[1]


def test_several_instances_and_a_reused_directory_number():
    text = json.dumps(SETTINGS)
    data = frame(
        open_instance(text),
        directory(0, 5),
        worker_list(0, 0, 2),
        open_instance(text, 1),
        directory(0, 6),
        worker_list(1, 0, 2),
        query(9),
    )
    sent = [fields for code, fields in replies(run(data).stdout)[0][1] if code == 16]
    assert sent == [struct.pack("<IQId", 0, 9, 5, 0.0)]


@pytest.mark.parametrize(
    "data",
    [
        b"\x00" * 7,
        frame(query(1))[:-4],
        wire.HEADER.pack(1.0, 4, 0, 1),
        wire.HEADER.pack(1.0, 1 << 31, 0, 1),
        frame(query(1))[:8] + struct.pack("<I", wire.HEADER.size + 2) + frame(query(1))[12:22],
        frame(record(20, b"\x00" * 5)),
        frame(record(18, b"\x00" * 5)),
        frame(record(26, struct.pack("<HI", 0, 9))),
        wire.HEADER.pack(1.0, wire.HEADER.size + 3, 0, 1) + b"abc",
    ],
    ids=["header", "frame", "short length", "long length", "record", "outcome", "query", "directory", "rest"],
)
def test_a_malformed_frame_ends_the_process_with_one_error_line(data):
    done = run(frame(open_instance(json.dumps(SETTINGS))) + data)
    assert done.returncode != 0
    assert done.stderr.startswith(b"millethead: malformed frame:") and done.stderr.count(b"\n") == 1
    assert len(replies(done.stdout)) == 1


def test_unknown_codes_and_events_of_unknown_jobs_and_instances_are_ignored():
    stale = record(20, struct.pack("<IQHIHdBBB", 0, 77, 0, 5, 1, 1.0, 1, 0, 0))
    data = frame(
        open_instance(json.dumps(SETTINGS)),
        record(99, b"abc"),
        stale,
        record(22, struct.pack("<IQ", 0, 4)),
        record(23, struct.pack("<IdIHB", 0, 1.0, 5, 1, 0)),
        record(24, struct.pack("<IIH", 0, 2, 1) + b"x"),
        record(21, struct.pack("<IQ", 0, 8)),
        record(22, struct.pack("<IQ", 44, 4)),
    )
    done = run(data)
    assert done.returncode == 0 and replies(done.stdout) == [(1, [])]


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("{}", "classes"),
        ("[]", "object"),
        ("not json", "cannot be read"),
        ('{"classes": [{}]}', "deadline"),
        ('{"classes": [{"deadline": -1}]}', "JobClass.deadline"),
        ('{"classes": [{"deadline": 9}], "tenants": [{"quota_rps": -4}]}', "reservation"),
    ],
)
def test_unusable_settings_are_reported_by_a_bail_out_record(text, error):
    done = run(frame(open_instance(text)))
    ((code, fields),) = replies(done.stdout)[0][1]
    assert code == 25 and error in fields.decode(errors="replace") and done.returncode == 0


def test_settings_are_read_and_missing_ones_have_defaults():
    _, settings = settings_from(json.dumps(SETTINGS).encode())
    assert settings.nodes == 3 and settings.reports_in_answers and not settings.may_probe and settings.max_attempts == 3
    assert settings.classes[0].stretch == 1.5 and settings.classes[0].effect is api.Effect.SAFE
    assert settings.classes[1].kind == 1 and settings.classes[1].group is api.Group.ZONE
    assert settings.classes[1].aim == 9000.0
    assert settings.tenants[0].reservation == 4.0 and settings.tenants[0].weight == settings.tenants[1].weight


@pytest.mark.parametrize(
    ("make", "field"),
    [
        (lambda: api.Tenant(reservation=-1.0), "reservation"),
        (lambda: api.Tenant(weight=-1.0), "weight"),
        (lambda: api.Tenant(weight=0.0), "weight"),
        (lambda: api.JobClass(deadline=1.0, aim=-1.0), "aim"),
        (lambda: api.JobClass(deadline=float("nan"), aim=1.0), "deadline"),
        (lambda: api.Settings(classes=()), "classes"),
        (lambda: api.Settings(classes=(api.JobClass(1.0, 1.0),), nodes=0), "nodes"),
        (lambda: api.Settings(classes=(api.JobClass(1.0, 1.0),), cold_time=-5.0), "cold_time"),
    ],
)
def test_the_error_for_an_invalid_value_names_its_field(make, field):
    with pytest.raises(ValueError, match=field):
        make()
