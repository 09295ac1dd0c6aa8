"""Troubles of an emulated core, drawn by chance: processes end, power and disks are lost, machines freeze, disks stall,
networks part.

Any number of processes may end at once, or machines lose power. A disk is lost, or a machine replaced, only while all
others hold all that there is, as a deployment that tolerates the loss of one machine allows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from millethead.lab.core_machine import Machine
from millethead.lab.core_network import Direction, Network
from millethead.lab.core_time import Timeline

RESTART_S = (0.2, 1.0)
DARK_S = (0.2, 3.0)  # without power
FROZEN_S = (0.2, 4.0)
AFTER_VIEW_S = (0.0, 0.012)  # after a view is adopted for the first time
EARLY_KILLS = 0.1  # part of the histories in which the first views are struck
CUT_S = (0.3, 6.0)
DEAF_S = (0.6, 3.5)  # so that another head comes, and links hold what they were to bring
DISK_TROUBLE_S = (0.3, 3.0)
USUAL_LOSS, HEAVY_LOSS = 0.005, (0.1, 0.5)
SLOW_SYNC_S = (0.05, 0.4)


class Stage(Protocol):
    """What troubles may do to the world."""

    timeline: Timeline
    network: Network
    random: Random

    def machines(self) -> list[Machine]: ...

    def head(self) -> Machine | None: ...

    def newest_head(self) -> str:
        """The address of the head of the newest view, serving or not."""

    def kill(self, machine: Machine, back_s: float) -> None: ...

    def lose_power(self, machine: Machine, back_s: float) -> None: ...

    def wipe(self, machine: Machine, back_s: float) -> None: ...

    def rot(self, machine: Machine, back_s: float) -> None: ...

    def replace(self, machine: Machine, back_s: float) -> None: ...

    def freeze(self, machine: Machine, seconds: float) -> None: ...

    def terminate(self, machine: Machine, back_s: float) -> None: ...

    def may_lose(self, machine: Machine) -> bool:
        """Whether all that was acknowledged is on the others, which can go on without this one."""


def around(machine: Machine, others: Iterable[Machine]) -> list[Direction]:
    """Both directions between a machine and others."""
    return [
        pair
        for other in others
        if other is not machine
        for pair in ((machine.address, other.address), (other.address, machine.address))
    ]


class Troubles:
    """One trouble after another, `gap_s` apart on average, until `until`."""

    def __init__(self, stage: Stage, gap_s: float, until: float) -> None:
        self._stage, self._gap_s, self._until = stage, gap_s, until
        self._random = stage.random
        self._on_acknowledgement: Callable[[], None] | None = None
        self._on_views: list[Callable[[], None]] = []  # one is done at each view that comes
        self.told: list[tuple[float, str]] = []
        self._kinds: dict[Callable[[], None], float] = {
            self._kill_one: 10,
            self._kill_head: 8,
            self._kill_many: 4,
            self._kill_all: 3,
            self._power_one: 5,
            self._power_all: 4,
            self._wipe_one: 8,
            self._wipe_and_dark: 4,
            self._replace_one: 4,
            self._rot_one: 4,
            self._freeze: 8,
            self._terminate: 8,
            self._disk_slow: 5,
            self._disk_stalls: 5,
            self._disk_refuses: 5,
            self._sync_fails: 4,
            self._isolate: 8,
            self._isolate_head: 5,
            self._deaf_head: 9,
            self._part: 4,
            self._one_way: 5,
            self._pair: 4,
            self._lossy: 3,
            self._reset: 6,
            self._after_acknowledgement: 10,
            self._after_views: 8,
        }

    def start(self) -> None:
        if self._random.random() < EARLY_KILLS:
            self._on_views = [self._kill_all] * self._random.randint(1, 3)
        self._later()

    def _later(self) -> None:
        wait = self._random.expovariate(1 / self._gap_s)
        if self._stage.timeline.now + wait < self._until:
            self._stage.timeline.after(wait, self._strike)

    def _strike(self) -> None:
        if not self._stage.machines():
            return
        self._pick()()
        self._later()

    def _pick(self) -> Callable[[], None]:
        return self._random.choices(list(self._kinds), list(self._kinds.values()))[0]

    def acknowledged(self) -> None:
        """An order or a job was acknowledged this moment."""
        strike, self._on_acknowledgement = self._on_acknowledgement, None
        if strike is not None and self._stage.timeline.now < self._until:
            strike()

    def _after_acknowledgement(self) -> None:
        self._on_acknowledgement = self._random.choice(
            (self._kill_head, self._kill_all, self._power_all, self._wipe_one, self._wipe_and_dark)
        )

    def view_agreed(self) -> None:
        """A member has adopted a view that nobody had before."""
        if self._on_views and self._stage.timeline.now < self._until:
            self._stage.timeline.after(self._random.uniform(*AFTER_VIEW_S), self._on_views.pop(0))

    def _after_views(self) -> None:
        strike = self._random.choice((self._kill_head_of_view, self._kill_all, self._power_all))
        self._on_views = [strike] * self._random.randint(1, 2)

    # ---- drawing -----------------------------------------------------------------------------------------

    def _tell(self, what: str, *machines: Machine) -> None:
        self.told.append((self._stage.timeline.now, " ".join([what, *(machine.address for machine in machines)])))

    def _span(self, bounds: tuple[float, float]) -> float:
        """Seconds; none goes past the end of the troubles."""
        return min(self._random.uniform(*bounds), max(bounds[0], self._until - self._stage.timeline.now))

    def _anyone(self) -> Machine:
        return self._random.choice(self._stage.machines())

    def _with_disk(self) -> list[Machine]:
        return [machine for machine in self._stage.machines() if machine.disk is not None]

    # ---- ends of processes -------------------------------------------------------------------------------

    def _kill(self, machines: list[Machine]) -> None:
        self._tell("kill", *machines)
        for machine in machines:
            self._stage.kill(machine, self._span(RESTART_S))

    def _kill_one(self) -> None:
        self._kill([self._anyone()])

    def _kill_head(self) -> None:
        self._kill([self._stage.head() or self._anyone()])

    def _kill_head_of_view(self) -> None:
        address = self._stage.newest_head()
        self._kill([machine for machine in self._stage.machines() if machine.address == address])

    def _kill_many(self) -> None:
        machines = self._stage.machines()
        self._kill(self._random.sample(machines, self._random.randint(1, len(machines))))

    def _kill_all(self) -> None:
        self._kill(self._stage.machines())

    def _terminate(self) -> None:
        machine = (self._random.random() < 0.5 and self._stage.head()) or self._anyone()
        self._tell("terminate", machine)
        self._stage.terminate(machine, self._span(RESTART_S))

    def _freeze(self) -> None:
        machine = (self._random.random() < 0.5 and self._stage.head()) or self._anyone()
        seconds = self._span(FROZEN_S)
        self._tell(f"freeze {seconds:.2f}", machine)
        self._stage.freeze(machine, seconds)

    # ---- power and disks ---------------------------------------------------------------------------------

    def _power(self, machines: list[Machine]) -> None:
        self._tell("power", *machines)
        for machine in machines:
            self._stage.lose_power(machine, self._span(DARK_S))

    def _power_one(self) -> None:
        self._power([self._anyone()])

    def _power_all(self) -> None:
        self._power(self._stage.machines())

    def _losable(self) -> Machine | None:
        candidates = [machine for machine in self._with_disk() if self._stage.may_lose(machine)]
        return self._random.choice(candidates) if candidates else None

    def _wipe_one(self) -> None:
        machine = self._losable()
        if machine is not None:
            self._tell("wipe", machine)
            self._stage.wipe(machine, self._span(RESTART_S))

    def _wipe_and_dark(self) -> None:
        machine = self._losable()
        if machine is not None:
            self._tell("wipe, all dark", machine)
            self._stage.wipe(machine, self._span(RESTART_S))
            for other in self._stage.machines():
                if other is not machine:
                    self._stage.lose_power(other, self._span(DARK_S))

    def _rot_one(self) -> None:
        machine = self._losable()
        if machine is not None:
            self._tell("rot", machine)
            self._stage.rot(machine, self._span(RESTART_S))

    def _replace_one(self) -> None:
        machine = self._losable()
        if machine is not None:
            self._tell("replace", machine)
            self._stage.replace(machine, self._span(RESTART_S))

    def _disk_slow(self) -> None:
        machine = self._random.choice(self._with_disk())
        condition = machine.condition
        condition.sync_s = self._random.uniform(*SLOW_SYNC_S)
        self._tell("slow disk", machine)

        def well() -> None:
            condition.sync_s = condition.usual_s

        self._stage.timeline.after(self._span(DISK_TROUBLE_S), well)

    def _disk_stalls(self) -> None:
        machine = self._random.choice(self._with_disk())
        self._tell("stalled disk", machine)
        machine.condition.stalled_until = self._stage.timeline.now + self._span(DISK_TROUBLE_S)

    def _sync_fails(self) -> None:
        machine = self._random.choice(self._with_disk())
        assert machine.disk is not None
        self._tell("failing sync", machine)
        machine.disk.failing_syncs = 1

    def _disk_refuses(self) -> None:
        machine = self._random.choice(self._with_disk())
        disk = machine.disk
        assert disk is not None
        disk.refusing = True
        self._tell("refusing disk", machine)

        def well() -> None:
            disk.refusing = False

        self._stage.timeline.after(self._span(DISK_TROUBLE_S), well)

    # ---- the network -------------------------------------------------------------------------------------

    def _cut(self, what: str, directions: list[Direction], span_s: tuple[float, float] = CUT_S) -> None:
        self._tell(f"{what}: {', '.join(f'{one}>{other}' for one, other in directions)}")
        cut = self._stage.network.cut(directions)
        self._stage.timeline.after(self._span(span_s), lambda: self._stage.network.heal(cut))

    def _isolate(self) -> None:
        self._cut("isolated", around(self._anyone(), self._stage.machines()))

    def _isolate_head(self) -> None:
        self._cut("head isolated", around(self._stage.head() or self._anyone(), self._stage.machines()))

    def _deaf_head(self) -> None:
        head = self._stage.head() or self._anyone()
        directions = around(head, self._stage.machines())
        self._cut("deaf head", [pair for pair in directions if pair[1] == head.address], DEAF_S)

    def _part(self) -> None:
        machines = self._stage.machines()
        one = self._random.sample(machines, self._random.randint(1, len(machines)))
        rest = [machine for machine in machines if machine not in one]
        self._cut("parted", [pair for machine in one for pair in around(machine, rest)])

    def _one_way(self) -> None:
        machine, others = self._anyone(), self._stage.machines()
        directions = around(machine, self._random.sample(others, self._random.randint(1, len(others))))
        outward = self._random.random() < 0.5
        self._cut("one way", [pair for pair in directions if (pair[0] == machine.address) == outward])

    def _pair(self) -> None:
        machine = self._anyone()
        self._cut("pair", around(machine, [self._anyone()]))

    def _lossy(self) -> None:
        network = self._stage.network
        network.loss = self._random.uniform(*HEAVY_LOSS)
        self._tell(f"loss {network.loss:.2f}")

        def well() -> None:
            network.loss = USUAL_LOSS

        self._stage.timeline.after(self._span(DISK_TROUBLE_S), well)

    def _reset(self) -> None:
        machine = self._anyone()
        self._tell("reset", machine)
        self._stage.network.reset(machine.address)
