"""A core of any size in virtual time whose head has to welcome all agents: what one loss costs, by phase.

The processes have processors: a new head hears from all agents within a fraction of a second, each record costs time,
and heartbeats, timers and what the disk has done wait for their turn. The program's own `IterationBudget` decides how
much of it is done at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from millethead.lab.core_cluster import Cluster
from millethead.lab.core_machine import AgentLoad, Machine, Surroundings
from millethead.lab.core_network import Network
from millethead.lab.core_oracle import Oracle
from millethead.lab.core_time import Timeline
from millethead.lab.core_troubles import around
from millethead.lab.core_watch import CoreWatch
from millethead.replication.proposal import ViewCause
from millethead.replication.replica import ReplicaSettings

CALM_S = 3.0  # until the core is whole and its head has welcomed all agents
BACK_S = 1.2  # from the kill of a process until the next one begins
BACK_TOGETHER_S = (1.0, 1.3)  # the same where all are gone, each by itself
AWAY_S = 2.0  # for which a machine is frozen or cut off
AFTER_S = 5.0  # for which the core is watched after the loss


class LossKind(Enum):
    """What is lost: the head, but for POWER_OF_ALL."""

    KILLED = "killed"
    WIPED = "wiped"
    FROZEN = "frozen"
    CUT_OFF = "cut off"
    POWER_OF_ALL = "power of all"


@dataclass(frozen=True, slots=True)
class LoadedCore:
    """`tolerated` losses at once; what a new head has to do is in `load`."""

    members: int
    tolerated: int
    load: AgentLoad


@dataclass(frozen=True, slots=True)
class LossOutcome:
    """What a loss led to, or the start where no head stood when it should have come to rest. `heads`: how often a
    member began to serve anew; `causes`: of the views that were proposed. Seconds from the loss until a view was
    proposed, until a member adopted it, and until its head served; infinite where none did."""

    views: int
    heads: int
    causes: tuple[ViewCause, ...]
    proposed_s: float = inf
    adopted_s: float = inf
    serving_s: float = inf


class Loss:
    """One history: a calm start, one loss, and what follows without any other fault."""

    def __init__(self, seed: int, core: LoadedCore, kind: LossKind = LossKind.KILLED) -> None:
        self._load, self._kind = core.load, kind
        self._timeline = Timeline()
        self._random = Random(seed)
        self._oracle = Oracle(core.tolerated + 1)
        self._watch = CoreWatch(
            self._oracle, self._random, lambda: self._cluster.machines(), lambda: None, lambda: self._timeline.now
        )
        self._network = Network(self._timeline, self._random)
        settings = ReplicaSettings(min_chain_length=core.tolerated + 1)
        surroundings = Surroundings(self._timeline, self._network, self._random, self._watch, settings, core.load)
        self._cluster = Cluster(surroundings, self._oracle)
        self._cluster.begin(core.members, relays=0)

    def play(self) -> LossOutcome:
        """Run it."""
        self._timeline.run(CALM_S + self._settle_s())
        head = self._cluster.head()
        if head is None:
            return LossOutcome(self._oracle.newest_epoch, len(self._watch.heads), self._causes(0))
        epoch, proposals, heads = self._oracle.newest_epoch, len(self._watch.proposals), len(self._watch.heads)
        lost_at = self._timeline.now
        self._lose(head)
        self._timeline.run(lost_at + AFTER_S + self._settle_s())
        made, began = self._watch.proposals[proposals:], self._watch.heads[heads:]
        return LossOutcome(
            self._oracle.newest_epoch - epoch,
            len(began),
            self._causes(proposals),
            made[0].at - lost_at if made else inf,
            self._watch.adopted_at.get(epoch + 1, inf) - lost_at,
            began[0] - lost_at if began else inf,
        )

    def _lose(self, head: Machine) -> None:
        match self._kind:
            case LossKind.KILLED:
                self._cluster.kill(head, BACK_S)
            case LossKind.WIPED:
                self._cluster.wipe(head, BACK_S)
            case LossKind.FROZEN:
                self._cluster.freeze(head, AWAY_S)
            case LossKind.CUT_OFF:
                cut = self._network.cut(around(head, self._cluster.machines()))
                self._timeline.after(AWAY_S, lambda: self._network.heal(cut))
            case LossKind.POWER_OF_ALL:
                for machine in self._cluster.machines():
                    self._cluster.lose_power(machine, self._random.uniform(*BACK_TOGETHER_S))

    def _causes(self, since: int) -> tuple[ViewCause, ...]:
        return tuple(made.proposal.cause for made in self._watch.proposals[since:])

    def _settle_s(self) -> float:
        """How long the processor of a head needs for all agents."""
        return self._load.agents * self._load.records * self._load.record_s
