"""A state larger than a record is stored, transferred and rebuilt in parts, and limited by the memory and disk of the
machine."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from random import Random

from test_head import NAME, OTHER, HeadHarness, ended, job, task
from test_replication import HEAD, MIDDLE, TAIL, VIEW, FakeLink, FakePorts, ReconciledChain, RecordingMachine

from millethead.control.admission import MB, MIN_JOB_BYTES, max_job_bytes
from millethead.control.retention import PURGE_INTERVAL_S, TRIM_INTERVAL_S
from millethead.control.state import ControlState
from millethead.execution.messages import RunEnd
from millethead.jobs import snapshot as snapshots
from millethead.jobs.commands import CancelJob, PurgeJobs, QueueTerms, SubmitJob, TrimJobs
from millethead.jobs.snapshot import JOBS_PER_SLICE, MAX_REMAINING_JOBS, TableEncoder, encode_table, restore_table
from millethead.jobs.state import JobPhase, JobTable
from millethead.replication import log as log_module
from millethead.replication.chain import Chain
from millethead.replication.chain_ports import Role
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import (
    ChainAppend,
    ChainHello,
    ChainPosition,
    ChainSnapshotAck,
    ChainSnapshotPart,
    ChainTruncate,
    EpochSpan,
    SnapshotName,
    SnapshotProgress,
)
from millethead.replication.snapshot_transfer import WINDOW_PARTS
from millethead.replication.successor_link import COPY_BYTES
from millethead.rpc.codec import encode_any
from millethead.storage.log import Entry, LogFile, Recovered, Snapshot
from millethead.storage.records import MAX_RECORD_BYTES

TERMS = QueueTerms("slow", "alpha", 1, 2, 500, 2000)
PART_BYTES = 10  # bytes of a snapshot part in these tests


def submitted(number: int, spec_bytes: int = 4000) -> SubmitJob:
    body = json.dumps({"spec": "x" * spec_bytes, "steps": [{"count": 1}]}).encode()
    return SubmitJob(f"{number:016x}", TERMS, body, 1)


def table_of(count: int, spec_bytes: int = 10) -> JobTable:
    table = JobTable()
    for number in range(count):
        table.submit(submitted(number, spec_bytes))
    return table


# ---- on disk ---------------------------------------------------------------------------------------------


def test_ten_thousand_jobs_with_the_longest_spec_are_stored(tmp_path):
    """The snapshot has 41 MB, but a record holds 33 MB at most: the rewrite of the log failed on all members at the
    same entry."""
    log = ReplicatedLog(ControlState(), Recovered(None, ()))
    for sequence in range(1, 10_001):
        log.append(Entry(1, sequence, encode_any(submitted(sequence))))
    snapshot = log.compact()
    assert len(snapshot.payload) > MAX_RECORD_BYTES
    file = LogFile(tmp_path)
    file.recover()
    file.rewrite(snapshot, [])
    file.close()
    found = LogFile(tmp_path).recover()
    again = ReplicatedLog(ControlState(), found)
    assert again.machine.snapshot() == snapshot.payload and again.last == (1, 10_000)


# ---- without blocking the event loop ---------------------------------------------------------------------


def test_table_is_encoded_in_slices_and_changed_jobs_are_encoded_again(monkeypatch):
    encoded = 0
    real = snapshots._job_snapshot

    def counted(kept):
        nonlocal encoded
        encoded += 1
        return real(kept)

    monkeypatch.setattr(snapshots, "_job_snapshot", counted)
    table, random = table_of(1000), Random(3)
    encoder = TableEncoder(table)
    slices = changes = 0
    while True:
        before = encoded
        ready = encoder.prepare()
        assert encoded - before <= JOBS_PER_SLICE
        slices += 1
        if ready:
            break
        name = f"{random.randrange(1100):016x}"
        changes += 1
        random.choice(
            (
                lambda name=name: table.submit(submitted(int(name, 16))),
                lambda name=name: table.cancel(CancelJob(name, 5)),
                lambda name=name: table.purge(PurgeJobs((name,))),
                lambda name=name: table.trim(TrimJobs((name,))),
            )
        )()
    assert slices >= 1000 // JOBS_PER_SLICE - 1
    before = encoded
    whole = encoder.encode()
    assert encoded - before <= MAX_REMAINING_JOBS + changes
    assert whole == encode_table(table)
    table.submit(submitted(5000))
    assert encoder.encode() == encode_table(table), "the prepared encoding is discarded"


def test_each_command_that_changes_a_job_invalidates_its_encoding():
    bench = HeadHarness()
    agent = bench.agent()
    encoder = TableEncoder(bench.state.jobs)
    encoder.prepare()

    def same() -> bool:
        while not encoder.prepare():
            pass
        expected = encode_table(bench.state.jobs)
        found = encoder.encode()
        encoder.prepare()
        return found == expected

    assert bench.ask("POST", body=job({"count": 2, "checkpoints": True}))[0] == 200 and same()
    agent.report(ended(task(0), 1, RunEnd.FAILED, saved="a"))
    bench.settle()
    assert same()
    agent.report(ended(task(1), 1, RunEnd.DONE, 2))
    bench.settle()
    assert same()
    bench.ask("DELETE")
    assert same()


def test_table_is_restored_in_steps():
    table = table_of(4 * JOBS_PER_SLICE)
    copy = JobTable()
    steps = restore_table(copy, encode_table(table))
    held = []
    for _ in steps:
        held.append(len(copy.jobs))
    assert held == [JOBS_PER_SLICE * step for step in (1, 2, 3, 4)]
    assert encode_table(copy) == encode_table(table) and copy.held_bytes == table.held_bytes


class SlowMachine(RecordingMachine):
    """A state machine that needs three steps to restore."""

    def restore_steps(self, payload: bytes) -> Iterator[None]:
        yield from super().restore_steps(payload)
        yield
        yield


def test_entries_appended_during_a_rebuild_are_applied_in_order():
    log = ReplicatedLog(SlowMachine(), Recovered(None, ()))
    log.install(Snapshot(2, 7, b"state"))
    assert log.rebuilding and not log.rebuild()
    assert log.append(Entry(2, 8, b"a")) is None and log.append(Entry(2, 9, b"b")) is None
    assert log.last == (2, 9) and not log.prepare_compaction()
    while not log.rebuild():
        pass
    log.append(Entry(2, 10, b"c"))
    assert log.machine.payloads == [b"state", b"a", b"b", b"c"]


def test_rebuild_continues_in_later_iterations_and_a_new_head_completes_it():
    member = ReconciledChain(TAIL)
    member.chain.log.machine = SlowMachine()
    member.connect_predecessor()
    member.chain.receive_from_predecessor(member.up, ChainTruncate(4, 1))
    assert member.chain.log.rebuilding and len(member.ports.due) == 1
    while member.ports.due:
        member.ports.due.pop(0)()
    assert not member.chain.log.rebuilding and member.chain.log.machine.payloads == [b"1"]
    member.connect_predecessor()
    member.chain.receive_from_predecessor(member.up, ChainTruncate(4, 0))
    assert member.chain.log.rebuilding
    member.chain.role = Role.HEAD
    member.chain.propose(b"x")
    assert not member.chain.log.rebuilding and member.chain.log.machine.payloads == [b"x"]


# ---- snapshot transfer -----------------------------------------------------------------------------------


class TransferPair:
    """A head with a long snapshot and a successor with an empty log. The test delivers the records of the links."""

    def __init__(self, payload: bytes) -> None:
        self.head = ReconciledChain(HEAD, 0)
        self.head.chain._part_bytes = PART_BYTES
        self.head.chain.log.install(Snapshot(3, 50, payload))
        self.head.chain.log.finish_rebuild()
        self.ports = FakePorts()
        self.tail = Chain(MIDDLE, 10, ReplicatedLog(RecordingMachine(), Recovered(None, ())), self.ports)
        self.tail.enter_view(VIEW)
        self.tail._successor = None
        self.open()

    def open(self) -> None:
        """Opens a new link."""
        self.down, self.up = FakeLink(), FakeLink()
        self.head.chain.link_lost(self.head.chain._successor_link.link) if self.head.chain._successor_link else None
        self.head.chain.link_opened(self.down, MIDDLE.address)
        assert self.tail.receive_hello(self.up, ChainHello(VIEW, HEAD))

    def to_head(self) -> None:
        sent, self.up.sent = self.up.sent, []
        for record in sent:
            self.head.chain.receive_from_successor(self.down, record)

    def to_tail(self, count: int = 1000) -> int:
        """Delivers records to the tail. Returns the number of snapshot parts among them."""
        sent = [record for record in self.down.sent if not isinstance(record, ChainHello)][:count]
        self.down.sent = [record for record in self.down.sent if record not in sent]
        for record in sent:
            self.tail.receive_from_predecessor(self.up, record)
        return sum(isinstance(record, ChainSnapshotPart) for record in sent)

    def run(self) -> int:
        parts = 0
        for _ in range(100):
            self.to_head()
            parts += self.to_tail()
            while self.ports.due:
                self.ports.due.pop(0)()
        return parts


PAYLOAD = bytes(range(65, 90)) * 20  # 500 bytes: 50 parts


def test_snapshot_is_sent_in_parts_within_a_window_before_the_entries():
    pair = TransferPair(PAYLOAD)
    pair.to_head()
    assert sum(isinstance(record, ChainSnapshotPart) for record in pair.down.sent) == WINDOW_PARTS
    assert pair.head.chain.copying
    pair.head.chain.propose(b"meanwhile")
    assert pair.run() == 50 and not pair.head.chain.copying
    assert pair.ports.installed == [Snapshot(3, 50, PAYLOAD)]
    assert pair.tail.log.last == pair.head.chain.log.last == (4, 51)
    assert pair.tail.log.machine.payloads == [PAYLOAD, b"meanwhile"]
    pair.head.chain.propose(b"after")
    pair.run()
    assert pair.tail.log.last == (4, 52)


def test_transfer_resumes_after_a_lost_link():
    pair = TransferPair(PAYLOAD)
    for _ in range(3):
        pair.to_head()
        pair.to_tail(5)
    taken = pair.tail._incoming.progress.parts
    assert 0 < taken < 50
    pair.open()
    assert pair.run() == 50 - taken
    assert pair.ports.installed == [Snapshot(3, 50, PAYLOAD)]


def test_transfer_of_another_snapshot_starts_from_the_beginning():
    pair = TransferPair(PAYLOAD)
    pair.to_head()
    pair.to_tail(5)
    pair.head.chain.log.install(Snapshot(3, 60, PAYLOAD[::-1]))
    pair.head.chain.log.finish_rebuild()
    pair.open()
    assert pair.run() == 50
    assert pair.ports.installed == [Snapshot(3, 60, PAYLOAD[::-1])]


def test_snapshot_with_a_wrong_checksum_is_rejected():
    member = ReconciledChain(TAIL)
    member.connect_predecessor()
    name = SnapshotName(3, 50, 4, zlib.crc32(b"good"), 4)
    member.chain.receive_from_predecessor(member.up, ChainSnapshotPart(4, name, 0, b"evil"))
    assert member.up.closed and member.ports.installed == [] and member.chain.log.last == (3, 3)
    member.connect_predecessor()
    assert member.up.sent == [ChainPosition(4, EpochSpan(0, 0), (EpochSpan(3, 3),))], (
        "the damaged parts are not reported as received"
    )


def test_duplicate_and_out_of_order_parts_are_ignored():
    member = ReconciledChain(TAIL)
    member.connect_predecessor()
    name = SnapshotName(3, 50, 12, zlib.crc32(b"0123456789ab"), 4)
    parts = [ChainSnapshotPart(4, name, number, b"0123456789ab"[4 * number :][:4]) for number in range(3)]
    member.up.sent.clear()
    for part in (parts[0], parts[2], parts[0], parts[1]):
        member.chain.receive_from_predecessor(member.up, part)
    assert [record.progress.parts for record in member.up.sent if isinstance(record, ChainSnapshotAck)] == [1, 1, 1, 2]
    member.chain.receive_from_predecessor(member.up, parts[2])
    assert member.ports.installed == [Snapshot(3, 50, b"0123456789ab")]


def test_acknowledgement_of_another_snapshot_is_ignored():
    pair = TransferPair(PAYLOAD)
    pair.to_head()
    sent = len(pair.down.sent)
    pair.head.chain.receive_from_successor(
        pair.down, ChainSnapshotAck(4, SnapshotProgress(SnapshotName(1, 1, 5, 5, 5), 3))
    )
    assert len(pair.down.sent) == sent


def test_member_that_lacks_few_entries_needs_no_snapshot():
    """A rewrite removes all entries from the log. Some are retained for members that were disconnected briefly."""
    member = ReconciledChain(HEAD, entries=30)
    member.chain.log.compact()
    member.chain.propose(b"new")
    member.chain.link_lost(member.down)
    link = FakeLink()
    member.chain.link_opened(link, MIDDLE.address)
    member.chain.receive_from_successor(link, ChainPosition(4, EpochSpan(0, 0), (EpochSpan(3, 29),)))
    assert ChainTruncate(4, 29) in link.sent
    (append,) = [record for record in link.sent if isinstance(record, ChainAppend)]
    assert [entry.sequence for entry in append.entries] == [30, 31]


def test_retained_entries_are_bounded(monkeypatch):
    monkeypatch.setattr(log_module, "MAX_RETAINED_ENTRIES", 10)
    log = ReplicatedLog(RecordingMachine(), Recovered(None, ()))
    for sequence in range(1, 41):
        log.append(Entry(1 + sequence // 20, sequence, b"x"))
        if sequence % 7 == 0:
            log.compact()
    assert [entry.sequence for entry in log.entries_after(25)] == list(range(26, 41))
    assert log.common_point(EpochSpan(1, 5), (EpochSpan(2, 30),)) == 30
    assert log.common_point(EpochSpan(1, 5), (EpochSpan(2, 24),)) is None, "the entry after it is not retained"
    monkeypatch.setattr(log_module, "MAX_RETAINED_BYTES", 3)
    log.compact()
    assert [entry.sequence for entry in log.entries_after(37)] == [38, 39, 40]


def test_entries_are_copied_in_batches_limited_by_bytes():
    member = ReconciledChain(HEAD, entries=0)
    for _ in range(5):
        member.chain.propose(bytes(COPY_BYTES // 2))
    member.chain.link_lost(member.down)
    link = FakeLink()
    member.chain.link_opened(link, MIDDLE.address)
    member.chain.receive_from_successor(link, ChainPosition(4, EpochSpan(0, 0), ()))
    batches = [record for record in link.sent if isinstance(record, ChainAppend)]
    assert [len(batch.entries) for batch in batches] == [2, 2, 1]


# ---- admission -------------------------------------------------------------------------------------------


def test_admission_limit_follows_from_memory_and_disk():
    assert max_job_bytes(300, 128) == int(0.25 * 300 * MB)
    assert max_job_bytes(2000, 128) == int(0.8 * 96 * MB), "the disk is the lower limit"
    assert max_job_bytes(300, 0) == int(0.25 * 300 * MB)
    assert max_job_bytes(1, 1) == MIN_JOB_BYTES


def test_jobs_over_the_limit_are_refused_with_a_retry_time():
    bench = HeadHarness()
    bench.head._call_handler._max_job_bytes = bench.state.jobs.held_bytes + 20_000
    body = job(spec="x" * 4000)
    assert bench.ask("POST", body=body)[0] == 200
    number = bench.call("POST", OTHER, body)
    bench.settle()
    answer = bench.answers()[number]
    assert answer.status == 429 and answer.retry_after_s > 0
    assert bench.ask("POST", body=body)[0] == 200, "a repeated submission returns the accepted job"
    assert bench.ask("DELETE")[0] == 200
    bench.pass_time(TRIM_INTERVAL_S + 1)
    assert bench.ask("POST", OTHER, body)[0] == 200, "an ended job does not use the limit"


def test_only_the_outcome_of_an_ended_job_is_kept():
    bench = HeadHarness()
    agent = bench.agent()
    assert bench.ask("POST", body=job(spec="secret" * 100))[0] == 200
    agent.report(ended(task(), 1, RunEnd.DONE))
    bench.settle()
    bench.pass_time(TRIM_INTERVAL_S + 1)
    kept = bench.state.jobs.jobs[NAME]
    assert kept.trimmed and kept.phase is JobPhase.DONE and not kept.times
    assert b"secret" not in bench.state.snapshot()
    assert bench.ask("GET") == (200, {"state": "done"})
    assert bench.ask("POST", body=job())[0] == 200 and len(bench.state.jobs.jobs) == 1
    copy = ControlState()
    copy.restore(bench.state.snapshot())
    assert copy.jobs.jobs[NAME].phase is JobPhase.DONE and copy.jobs.jobs[NAME].trimmed
    assert TRIM_INTERVAL_S < PURGE_INTERVAL_S


def test_cancelled_job_keeps_what_its_open_runs_need():
    bench = HeadHarness()
    bench.agent()
    assert bench.ask("POST", body=job())[0] == 200
    assert bench.ask("DELETE")[0] == 200
    bench.pass_time(TRIM_INTERVAL_S + 1)
    assert not bench.state.jobs.jobs[NAME].trimmed, "its run is still open"
