"""What it takes to bring a member up by a snapshot: processor time of each stage against the size of the state.

Usage: catch_up.py [--sizes=LIST] [--out=FILE]

For each size: jobs with specs of 4,000 bytes are encoded in slices and whole, written to a disk as a log is rewritten,
copied in parts through the codec, installed, and worked out in steps. Times are of this machine with one process; the
link's and the disk's own times follow from their speeds and are worked out for 200 Mbit/s and 150 MB/s.

Options:
  --sizes=LIST  of the snapshot, in MB [default: 1,5,15,30,60]
  --out=FILE    where the table goes [default: benchmarks/replication/results/catch_up.csv]
"""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from docopt import docopt

from millethead.control.state import ControlState
from millethead.jobs.commands import QueueTerms, SubmitJob
from millethead.lab.table import keep
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import ChainSnapshotPart
from millethead.replication.snapshot_transfer import PART_BYTES, WINDOW_PARTS, IncomingSnapshot, OutgoingSnapshot
from millethead.rpc.codec import decode_any, encode_any
from millethead.storage.log import Entry, LogFile, Recovered, Snapshot

MB = 1 << 20
SPEC_BYTES = 4000
LINK_BYTES_S = 200e6 / 8
DISK_BYTES_S = 150e6
TERMS = QueueTerms("slow", "alpha", 1, 2, 500, 2000)


def timed(work: Callable[[], object]) -> float:
    """Seconds that a piece of work takes."""
    began = time.perf_counter()
    work()
    return time.perf_counter() - began


def longest(step: Callable[[], bool]) -> tuple[float, float]:
    """The longest step and all of them together, until one says that it was the last."""
    most = total = 0.0
    done = False
    while not done:
        began = time.perf_counter()
        done = step()
        took = time.perf_counter() - began
        most, total = max(most, took), total + took
    return most, total


def filled(size: int) -> ReplicatedLog:
    """A log whose state makes a snapshot of about that many bytes."""
    log = ReplicatedLog(ControlState(), Recovered(None, ()))
    body = json.dumps({"spec": "x" * SPEC_BYTES, "steps": [{"count": 1}]}).encode()
    for sequence in range(1, size // (len(body) + 100) + 1):
        log.append(Entry(1, sequence, encode_any(SubmitJob(f"{sequence:016x}", TERMS, body, 1))))
    return log


def copied(snapshot: Snapshot) -> Snapshot | None:
    """The snapshot as the successor has it, with a window as on a link."""
    frames: list[bytes] = []
    outgoing = OutgoingSnapshot(1, snapshot, None, lambda part: frames.append(encode_any(part)))
    incoming = IncomingSnapshot(outgoing.name)
    while frames:
        part = decode_any(frames.pop(0))
        assert isinstance(part, ChainSnapshotPart)
        incoming.take(part)
        outgoing.acknowledged(incoming.progress)
    return incoming.snapshot()


def measure(size_mb: float, folder: Path) -> dict[str, object]:
    """One row of the table."""
    log = filled(int(size_mb * MB))
    prepare_most, prepare_all = longest(log.prepare_compaction)
    whole_s = timed(log.compact)
    snapshot = log.base
    file = LogFile(folder, name=f"log-{size_mb:g}")
    file.recover()
    write_s = timed(lambda: file.rewrite(snapshot, ()))
    file.close()
    copy_s = timed(lambda: copied(snapshot))
    other = ReplicatedLog(ControlState(), Recovered(None, ()))
    other.install(snapshot)
    rebuild_most, rebuild_all = longest(other.rebuild)
    size = len(snapshot.payload)
    return {
        "snapshot_mb": round(size / MB, 1),
        "encode_slice_ms": round(1000 * prepare_most, 1),
        "encode_slices_s": round(prepare_all, 3),
        "encode_rest_ms": round(1000 * whole_s, 1),
        "write_s": round(write_s, 3),
        "copy_s": round(copy_s, 3),
        "restore_step_ms": round(1000 * rebuild_most, 1),
        "restore_s": round(rebuild_all, 3),
        "link_200mbit_s": round(size / LINK_BYTES_S, 2),
        "disk_150mb_s": round(size / DISK_BYTES_S, 2),
        "window_bytes": PART_BYTES * WINDOW_PARTS,
    }


def main() -> None:
    """Measure each size."""
    options = docopt(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        rows = [measure(float(size), Path(folder)) for size in options["--sizes"].split(",")]
    keep(Path(options["--out"]), rows)


if __name__ == "__main__":
    main()
