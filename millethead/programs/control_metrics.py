"""Metrics of a control program at `GET /-/metrics`, read from its existing state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping

from millethead.control.head import Head
from millethead.control.inspect import status_report
from millethead.programs.core_disk import CoreDisk
from millethead.replication.replica import Replica
from millethead.scheduling.health import Health, HealthState
from millethead.scheduling.model import WorkerState
from millethead.storage.scrubber import Scrubber
from millethead.web.metrics import MetricFamily, Sample, counter, gauge

MS = 1000


def member_metrics(replica: Replica, disk: CoreDisk | None, scrubber: Scrubber | None) -> Iterator[MetricFamily]:
    """Yield the metrics of any member of the core."""
    chain, view = replica.chain, replica.view
    yield gauge("view_epoch", "Epoch of the view that this member has adopted.", view.epoch)
    yield gauge("chain_members", "Members of the chain in that view.", len(view.chain))
    yield gauge("voters", "Members that vote on views.", len(view.voters))
    yield gauge("log_last_entry", "Sequence of the last entry that this member holds.", chain.log.last[1])
    yield gauge("log_committed_entry", "Sequence of the last entry that it knows to be committed.", chain.committed)
    if disk is not None and scrubber is not None:
        yield gauge("log_bytes", "Bytes of the log's file.", disk.size)
        yield gauge("disk_sync_seconds", "Longest write to the disk lately.", disk.latency_ms() / MS)
        yield gauge("disk_broken", "1 while the disk takes no writes.", disk.broken)
        yield counter("disk_scrubs", "Passes of the background scrub over the whole log.", scrubber.completed_passes)


def head_metrics(head: Head | None) -> Iterator[MetricFamily]:
    """Yield the metrics of the head; `head` is None on other members, which only report that they are not the head."""
    yield gauge("is_head", "1 on the member that answers calls and schedules.", head is not None)
    if head is None:
        return
    status = status_report(head)
    configuration = head.configuration_stream.current  # the status may contain an uncommitted one
    followers = [caller for caller in head.configuration_stream.callers if caller.wants_configuration]
    behind = sum(caller.place < configuration.place for caller in followers)
    yield gauge("uncommitted_entries", "Entries that the chain has not all synced yet.", status.uncommitted)
    yield gauge("configuration_version", "Version of the committed configuration.", configuration.version)
    yield gauge("dispatchers", "Dispatchers connected to the head.", len(status.dispatchers))
    yield gauge("dispatchers_behind", "Of these, with an older configuration in force.", behind)
    tombstones = len(head.state.jobs.tombstones)
    yield gauge("tombstones", "Jobs that were cancelled before they were known.", tombstones)
    yield gauge("open_runs", "Runs that are assigned and have not ended.", status.open_runs)
    yield MetricFamily(
        "jobs",
        "Jobs by queue and state.",
        [Sample((queue.queue, state), count) for queue in status.queues for state, count in queue.jobs.items()],
        ("queue", "state"),
    )
    yield _workers(head.agents.workers, frozenset(head.agents.sessions), head.scheduler.health)


def _workers(workers: Mapping[str, WorkerState], connected: frozenset[str], health: Health) -> MetricFamily:
    counts = Counter((worker.service, _worker_state(worker, connected, health)) for worker in workers.values())
    return MetricFamily(
        "workers",
        "Workers by service and state.",
        [Sample(labels, count) for labels, count in sorted(counts.items())],
        ("service", "state"),
    )


def _worker_state(worker: WorkerState, connected: frozenset[str], health: Health) -> str:
    if worker.draining:
        return "draining"
    if worker.node not in connected:
        return "agent_away"
    if not worker.reachable:
        return "silent"
    standing = health.state(worker.instance)
    return "ready" if standing is HealthState.SOUND else standing.value
