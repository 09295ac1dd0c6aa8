"""A core of any size in virtual time whose head has to welcome all agents: how many views and heads a loss costs.

The processes have processors: a new head hears from all agents within a fraction of a second, each record costs time,
and heartbeats, timers and what the disk has done wait for their turn. The program's own `TurnSlices` decide how much of
it is done at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from millethead.lab.core_cluster import Cluster
from millethead.lab.core_machine import AgentLoad, Surroundings
from millethead.lab.core_network import Network
from millethead.lab.core_oracle import Oracle
from millethead.lab.core_time import Timeline
from millethead.lab.core_watch import CoreWatch
from millethead.replication.proposal import ViewCause
from millethead.replication.replica import ReplicaSettings

CALM_S = 3.0  # until the core is whole and its head has welcomed all agents
BACK_S = 1.2  # from the kill of a process until the next one begins
AFTER_S = 5.0  # for which the core is watched after the kill
LOOK_S = 0.01


@dataclass(frozen=True, slots=True)
class LoadedCore:
    """`tolerated` losses at once; what a new head has to do is in `load`."""

    members: int
    tolerated: int
    load: AgentLoad


@dataclass(slots=True)
class LossOutcome:
    """What the kill of the head's process led to, or the start where no head stood when it should have come to rest.
    `heads`: how often a member began to serve anew; `away_s`: without a head that serves; `causes`: of the views that
    were proposed."""

    views: int = 0
    heads: int = 0
    away_s: float = 0.0
    causes: tuple[ViewCause, ...] = ()


class LossOfHead:
    """One history: a calm start, the kill of the head, and what follows without any other fault."""

    def __init__(self, seed: int, core: LoadedCore) -> None:
        self._load = core.load
        self._timeline = Timeline()
        self._random = Random(seed)
        self._oracle = Oracle(core.tolerated + 1)
        self._watch = CoreWatch(self._oracle, self._random, lambda: self._cluster.machines(), lambda: None)
        around = Surroundings(
            self._timeline,
            Network(self._timeline, self._random),
            self._random,
            self._watch,
            ReplicaSettings(least_chain=core.tolerated + 1),
            core.load,
        )
        self._cluster = Cluster(around, self._oracle)
        self._cluster.begin(core.members, relays=0)
        self._outcome = LossOutcome()

    def play(self) -> LossOutcome:
        """Run it."""
        self._timeline.run(CALM_S + self._settle_s())
        head = self._cluster.head()
        if head is None:
            return self._count(0, 0, 0)
        epoch, proposals, heads = self._oracle.newest_epoch, len(self._watch.proposals), self._watch.heads
        self._cluster.kill(head, BACK_S)
        self._look()
        self._timeline.run(self._timeline.now + AFTER_S + self._settle_s())
        return self._count(epoch, proposals, heads)

    def _count(self, epoch: int, proposals: int, heads: int) -> LossOutcome:
        """What came after so many views, proposals and heads."""
        self._outcome.views = self._oracle.newest_epoch - epoch
        self._outcome.heads = self._watch.heads - heads
        self._outcome.causes = tuple(made.proposal.cause for made in self._watch.proposals[proposals:])
        return self._outcome

    def _settle_s(self) -> float:
        """How long the processor of a head needs for all agents."""
        return self._load.agents * self._load.records * self._load.record_s

    def _look(self) -> None:
        if self._cluster.head() is None:
            self._outcome.away_s += LOOK_S
        self._timeline.after(LOOK_S, self._look)
