"""Membership in virtual time: many members, each with a clock of its own, over a network with faults."""

from __future__ import annotations

import random
from collections.abc import Callable

from millethead.lab.faults import Faults, Link
from millethead.members.messages import Message, Record, State
from millethead.members.peers import SwimSettings
from millethead.members.share import UNITS
from millethead.members.swim import Outgoing, Swim

STEP = 0.05  # s: what a datagram takes at least
RATE = 0.009  # by how much a member's clock runs fast or slow
TUNE = SwimSettings(window_s=6.0, lease_s=2.0, stewards=("d0", "d1", "d2"))


class World:
    """Members whose clocks differ in rate, over a network of `Faults`. A paused member gets what was sent to it when it
    goes on; a killed one gets nothing, but what it had counts until it runs out, as it would for a slow reader."""

    def __init__(self, n: int, seed: int = 0, tune: SwimSettings = TUNE, link: Link | None = None) -> None:
        self.now, self.seed, self.tune, self.rng = 0.0, seed, tune, random.Random(seed)
        self.faults, self.most = Faults(seed, link), 0
        self.members, self.rates = dict[str, Swim](), dict[str, float]()
        self.ghosts: list[tuple[str, Swim]] = []  # processes of before a restart: what they had counts on
        self.killed, self.paused = set[str](), set[str]()
        self.queued: list[tuple[float, str, str, Message]] = []  # (arrives, from, to, it)
        self.sent: Callable[[str, Message], None] | None = None
        records = [Record(f"d{i}", f"d{i}") for i in range(n)]
        for i, record in enumerate(records):
            self.rates[record.name] = 1 + self.rng.uniform(-RATE, RATE)
            self.members[record.name] = Swim(record, tune, 0.0, seed + i, tuple(records))

    def clock(self, name: str) -> float:
        return self.now * self.rates[name]

    def join(self, name: str, through: str) -> None:
        """A new member, or one that was killed, started anew under its name."""
        if name in self.members:
            self.ghosts.append((name, self.members[name]))
        self.killed.discard(name)
        self.rates.setdefault(name, 1 + self.rng.uniform(-RATE, RATE))
        record = Record(name, name, start=self.now + 1)
        self.members[name] = Swim(record, self.tune, self.clock(name), len(self.members), (self.members[through].me,))

    def leave(self, name: str) -> None:
        self.post(name, self.members[name].leave())

    def post(self, sender: str, out: list[Outgoing]) -> None:
        for address, message in out:
            if self.sent is not None:
                self.sent(sender, message)
            self.queued += [(self.now + wait, sender, address, message) for wait in self.faults.fate(sender, address)]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            due = [x for x in self.queued if x[0] < self.now and x[2] not in self.paused]
            self.queued = [x for x in self.queued if not (x[0] < self.now and x[2] not in self.paused)]
            for _, _, address, message in sorted(due, key=lambda x: x[0]):
                if address not in self.killed:
                    self.post(address, self.members[address].receive(self.clock(address), message))
            for name, member in self.members.items():
                if name not in self.killed | self.paused:
                    self.post(name, member.tick(self.clock(name)))
            self.turn()
            everybody = [*self.members.items(), *self.ghosts]
            total = sum(member.usable_units(self.clock(name)) for name, member in everybody)
            self.most = max(self.most, total)
            assert total <= UNITS, (self.seed, self.now, total / UNITS)

    def turn(self) -> None:
        """What else happens in a step."""

    def view(self, of: str, about: str) -> State:
        return self.members[of].peers[about].state

    def agree(self) -> bool:
        here = [n for n in self.members if n not in self.killed]
        return all(self.view(a, b) == State.ALIVE for a in here for b in here if a != b)

    def part(self, name: str) -> float:
        return self.members[name].usable_units(self.clock(name)) / UNITS
