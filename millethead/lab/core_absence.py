"""A member that is away while the configuration changes thousands of times and jobs come by the ten thousand, and what
it takes until it holds all of it again. The rest of the core serves meanwhile, also while the member is copied to.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from unittest import mock

from millethead.control.calls import CallAnswer, ConfigurationCall, JobCall
from millethead.lab import core_machine, core_watch, core_world
from millethead.lab.core_clients import HOST, JOB, PREFIX
from millethead.lab.core_machine import Machine
from millethead.lab.core_oracle import OK, Violation
from millethead.lab.core_world import CoreWorld, WorldSettings
from millethead.replication.chain_ports import Role

AWAY_AT_S = 1.5  # by then a first head serves
LOAD_GAP_S = 0.004  # between looks whether the next change may go
REWRITE_ENTRIES = 1000  # after which logs are rewritten here
LOOK_S = 0.02
RETRY_S = 0.5  # after which a change that was not answered is sent again


@dataclass(slots=True)
class Absence:
    """What came of it. Times in seconds: `back_s` from the return of the process until it holds all that is committed;
    `longest_wait_s`: that a change waited for its answer after the return."""

    changes: int = 0
    jobs: int = 0
    entries: int = 0
    snapshot_bytes: int = 0
    back_s: float = 0.0
    longest_wait_s: float = 0.0
    refused_again: int = 0  # old orders, sent again at the end, that were not acknowledged


class _Load:
    """Changes one after the other, each with some jobs, at whoever serves."""

    def __init__(self, world: CoreWorld, changes: int, jobs: int) -> None:
        self._world, self._changes, self._jobs = world, changes, jobs
        self.orders: list[ConfigurationCall] = []
        self.acknowledged = self.submitted = 0
        self._sent_at: float | None = None
        self.longest_wait_s = 0.0

    @property
    def done(self) -> bool:
        return self.acknowledged >= self._changes and self.submitted >= self._jobs

    def look(self) -> None:
        """Send what is due; called again until all is done."""
        now = self._world.timeline.now
        if self._sent_at is not None:
            self.longest_wait_s = max(self.longest_wait_s, now - self._sent_at)
        if self.done:
            return
        head = self._world.cluster.head()
        if head is not None and head.process is not None and (self._sent_at is None or now - self._sent_at > RETRY_S):
            self._sent_at = now
            head.process.call(self._next_order(), self._answered)
            self._submit_some(head)
        self._world.timeline.after(LOAD_GAP_S, self.look)

    def _next_order(self) -> ConfigurationCall:
        if len(self.orders) == self.acknowledged:
            version = self.acknowledged
            route = {"name": "seats", "host": HOST, "path_prefix": PREFIX, "timeout_ms": 3000, "service": "seats"}
            document = {"version": version + 1, "routes": [route], "services": [{"name": "seats"}]}
            self.orders.append(ConfigurationCall(0, "PUT", version or None, json.dumps(document).encode()))
        return self.orders[-1]

    def _answered(self, answer: CallAnswer) -> None:
        if answer.status != OK:
            raise Violation(f"a proper order is answered {answer.status}")
        if self._sent_at is not None:
            self._sent_at = None
            self.acknowledged += 1

    def _submit_some(self, head: Machine) -> None:
        wanted = self._jobs * (self.acknowledged + 1) // self._changes
        while self.acknowledged and self.submitted < min(wanted, self._jobs):
            self.submitted += 1
            assert head.process is not None
            head.process.call(JobCall(0, "POST", HOST, f"{PREFIX}{self.submitted:016x}", JOB), lambda answer: None)


@contextmanager
def _large() -> Iterator[None]:
    """Logs as long as in service, and no reading of disks at commits, which would take all the time there is."""
    with (
        mock.patch.object(core_machine, "COMPACT_ENTRIES", REWRITE_ENTRIES),
        mock.patch.object(core_watch, "DISKS_READ", 0.0),
        mock.patch.object(core_world, "SNAPSHOT_PART_BYTES", 64 << 10),
    ):
        yield


def play_absence(seed: int, changes: int, jobs: int, more: int = 100) -> Absence:
    """One history: `more` changes come after the member's return. Raises Violation."""
    with _large():
        return _play(seed, changes, jobs, more)


def _play(seed: int, changes: int, jobs: int, more: int) -> Absence:
    world = CoreWorld(seed, WorldSettings(trouble_s=1e9, by_chance=False, members=((3, 1),)))
    timeline = world.timeline
    timeline.run(AWAY_AT_S)
    away = next(
        machine
        for machine in world.cluster.machines()
        if machine.disk is not None and machine is not world.cluster.head()
    )
    world.cluster.kill(away, float("inf"))
    load = _Load(world, changes, jobs)
    load.look()
    while not load.done:
        timeline.run(timeline.now + LOOK_S)
    load.longest_wait_s = 0.0
    load._changes += more
    load.look()
    world.cluster.start(away)
    began = timeline.now
    while not _holds_all(world, away):
        timeline.run(timeline.now + LOOK_S)
        if timeline.now - began > 60.0:
            raise Violation("a member that was away holds less than what is committed a minute after its return")
    back_s = timeline.now - began
    while not load.done:
        timeline.run(timeline.now + LOOK_S)
    found = Absence(load.acknowledged, load.submitted, world.oracle.committed_entries, 0, back_s, load.longest_wait_s)
    _lead_by(world, away, load, found)
    return found


def _holds_all(world: CoreWorld, machine: Machine) -> bool:
    process = machine.process
    if process is None or process.replica is None:
        return False
    chain = process.replica.chain
    return (
        chain.role is Role.FOLLOWER
        and not chain.log.rebuilding
        and chain.durable >= world.oracle.committed_entries
        and chain.log.last[1] >= world.oracle.committed_entries
    )


def _lead_by(world: CoreWorld, machine: Machine, load: _Load, found: Absence) -> None:
    """All others lose their power: the member that was away is needed for everything that was acknowledged, and knows
    each order again."""
    timeline = world.timeline
    for other in world.cluster.machines():
        if other is not machine:
            world.cluster.lose_power(other, 0.5)
    timeline.run(timeline.now + 6.0)
    head = world.cluster.head()
    if head is None or head.process is None or head.process.replica is None:
        raise Violation("no head serves six seconds after the others lost their power")
    state = head.process.state.snapshot()
    if state != world.oracle.reference.snapshot():
        raise Violation(f"{head.address} leads with another state than what is committed")
    found.snapshot_bytes = len(state)
    answers: list[CallAnswer] = []
    for order in load.orders:
        head.process.call(order, answers.append)
    timeline.run(timeline.now + 2.0)
    found.refused_again = len(load.orders) - sum(answer.status == OK for answer in answers)
    if found.refused_again:
        raise Violation(f"{found.refused_again} orders that were acknowledged are not acknowledged again")
    world.oracle.finish()
