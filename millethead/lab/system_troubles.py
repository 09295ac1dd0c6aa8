"""Random disruptions of the simulated system, by seed: the kinds that the pages of the deployments list."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from millethead.lab.core_time import Timeline
from millethead.lab.system_clients import Clients, Dispatcher
from millethead.lab.system_core import Core, HeadChange
from millethead.lab.system_facts import TroubleLog
from millethead.lab.system_side import HELD_BACK_S, CallTrouble, SideMachine
from millethead.lab.system_worker import Condition

MOST_STILL_S = 2.0  # for which the chain commits nothing before a change of the head
LEAVE_DELAY_S = (0.0, 4.0)  # beyond the remaining time that a draining worker announced


@dataclass(frozen=True, slots=True)
class TroubleSettings:
    """`trouble_s` of troubles, `gap_s` apart on average, each lasting about one of `lengths_s`."""

    trouble_s: float = 22.0
    gap_s: float = 1.6
    lengths_s: tuple[float, ...] = (0.2, 0.6, 1.5, 3.0, 6.0, 10.0, 20.0)


class TroubledWorld(Protocol):
    """The parts of the world that disruptions act on."""

    timeline: Timeline
    core: Core
    sides: list[SideMachine]
    clients: Clients
    dispatchers: list[Dispatcher]

    def new_life(self, side: SideMachine) -> None:
        """A worker is started on a machine that has none."""
        ...

    def add_side(self) -> None:
        """A machine with a worker is added."""
        ...

    def may_lose_for_good(self, side: SideMachine) -> bool:
        """Whether the rest can still do every kind of task."""
        ...

    def burst(self) -> None:
        """Many jobs come at once, and large ones."""
        ...

    def change_configuration(self) -> None: ...

    def cancel_many(self) -> None: ...


class Troubles:
    """Applies random disruptions for a while. `applied` lists them with their times."""

    def __init__(
        self, world: TroubledWorld, random: Random, log: TroubleLog, kinds: list[str], settings: TroubleSettings
    ) -> None:
        self._world, self._random, self._log = world, random, log
        self._kinds, self._settings = kinds, settings
        self.applied: list[tuple[float, str]] = []
        if kinds:
            self._next()

    def _next(self) -> None:
        self._world.timeline.after(self._random.expovariate(1 / self._settings.gap_s), self._strike)

    def _strike(self) -> None:
        if self._world.timeline.now >= self._settings.trouble_s:
            return
        kind = self._random.choice(self._kinds)
        TROUBLES[kind](self)
        self._next()

    def _note(self, kind: str, node: str, lasts_s: float, text: str) -> None:
        now = self._world.timeline.now
        self._log.add(kind, node, now, now + lasts_s)
        self.applied.append((now, f"{text} {node} {lasts_s:.2f} s".replace("  ", " ")))

    def _side(self) -> SideMachine | None:
        sides = [side for side in self._world.sides if not side.removed]
        return self._random.choice(sides) if sides else None

    def _length(self) -> float:
        """Seconds that a trouble lasts: mostly short, now and then longer than any lease."""
        return self._random.choice(self._settings.lengths_s) * self._random.uniform(0.7, 1.3)

    # ---- the core ----------------------------------------------------------------------------------------

    def change_head(self) -> None:
        """The head changes, perhaps after the chain has stood still."""
        how = self._random.choice(list(HeadChange))
        still_s = self._random.uniform(0, MOST_STILL_S) if self._random.random() < 0.5 else 0.0
        gap_s = self._random.uniform(0.3, 1.5) if self._random.random() < 0.8 else self._random.uniform(1.5, 14)
        stale_s = self._random.uniform(0, 20)
        if how is HeadChange.HANDED_OVER:
            gap_s = self._random.uniform(0.02, 0.3)
        lasts = 0.1 if how is HeadChange.KEPT else gap_s + stale_s
        self._note("core", "", still_s + lasts, f"head {how.value} after {still_s:.2f} s, gap {gap_s:.2f} s")
        timeline = self._world.timeline
        if still_s and self._random.random() < 0.7:
            self._world.core.stand_still(timeline.now + still_s + gap_s)
        timeline.after(still_s, lambda: self._world.core.change(how, gap_s, stale_s))

    def still_chain(self) -> None:
        """A disk is slow: nothing commits for a while."""
        still_s = self._random.uniform(0.1, 3)
        self._note("core", "", still_s, "chain stands still")
        self._world.core.stand_still(self._world.timeline.now + still_s)

    def slow_answers(self) -> None:
        """What members acknowledge reaches the head late."""
        lasts = self._length()
        self._note("core", "", lasts, "slow acknowledgements")
        self._world.core.slow_ack_s = self._random.uniform(0.01, 0.8)
        self._world.timeline.after(lasts, self._end_slow_answers)

    def _end_slow_answers(self) -> None:
        self._world.core.slow_ack_s = 0.0

    def jump_clock(self) -> None:
        """The time of day of a member jumps, and later back."""
        clock = self._random.choice(self._world.core.clocks)
        error, lasts = self._random.uniform(-4500, 4500), self._length()
        self._note("clock", "", lasts, f"clock jumps {error:.0f} ms")
        clock.wall_error_ms = error

        def back() -> None:
            clock.wall_error_ms = 0.0

        self._world.timeline.after(lasts, back)

    # ---- machines with workers ---------------------------------------------------------------------------

    def kill_agent(self) -> None:
        side = self._side()
        if side is None or side.process is None:
            return
        lasts = self._random.uniform(0.1, 3)
        self._note("agent", side.node, lasts, "agent killed")
        side.kill_agent()
        self._world.timeline.after(lasts, side.start_agent)

    def freeze_agent(self) -> None:
        side = self._side()
        if side is None or side.frozen or side.process is None:
            return
        lasts, process = self._length(), side.process
        self._note("agent", side.node, lasts, "agent frozen")
        side.freeze()

        def thaw() -> None:
            if side.process is process:
                side.thaw()

        self._world.timeline.after(lasts, thaw)

    def lose_session(self) -> None:
        side = self._side()
        if side is not None:
            self._note("agent", side.node, 0.0, "session lost")
            side.lose_session()

    def cut_side(self) -> None:
        """A machine is cut off, and runs on."""
        side = self._side()
        if side is None or side.cut:
            return
        lasts = self._length()
        self._note("agent", side.node, lasts, "machine cut off")
        side.set_cut(True)
        self._world.timeline.after(lasts, lambda: side.set_cut(False))

    def silence_worker(self) -> None:
        """Worker and agent do not reach one another."""
        side = self._side()
        if side is None or side.silent:
            return
        lasts = self._length()
        self._note("worker", side.node, lasts, "worker silent")
        side.silent = True

        def end() -> None:
            side.silent = False

        self._world.timeline.after(lasts, end)

    def crash_worker(self) -> None:
        side = self._side()
        if side is None or not side.worker.up:
            return
        if self._random.random() < 0.2 and self._world.may_lose_for_good(side):
            self._note("worker", side.node, 0.0, "worker lost for good")
            side.crash_worker()
            return
        lasts = self._length()
        self._note("worker", side.node, lasts, "worker crashed")
        side.crash_worker()
        self._world.timeline.after(lasts, lambda: self._world.new_life(side))

    def lose_machine(self) -> None:
        """Worker and agent are gone together, without a word."""
        side = self._side()
        if side is None or not self._world.may_lose_for_good(side):
            return
        self._note("worker", side.node, 0.0, "machine lost for good")
        side.crash_worker()
        side.set_cut(True)
        side.kill_agent()
        side.removed = True

    def drain_worker(self) -> None:
        """A worker is emptied and taken away; another one may come in its place."""
        self._drain(says_leave_first=False)

    def leave_first(self) -> None:
        """A worker says that it ends, never that it drains, and serves on for a while."""
        self._drain(says_leave_first=True)

    def _drain(self, says_leave_first: bool) -> None:
        side = self._side()
        if side is None or not side.worker.up or side.worker.draining_until is not None:
            return
        stays = self._world.may_lose_for_good(side) and self._random.random() < 0.5
        left_s = self._random.choice((2.5, 4.0, 8.0, 15.0))
        lasts = left_s + self._random.uniform(*LEAVE_DELAY_S)
        self._note("drain", side.node, lasts, "worker drains")
        side.worker.drain(self._world.timeline.now + left_s)
        instance = side.worker.instance
        if says_leave_first:
            side.say_leave()

        def leave() -> None:
            if side.worker.up and side.worker.instance == instance:
                if says_leave_first:
                    side.crash_worker()
                else:
                    side.worker_leaves()
                if not stays:
                    self._world.timeline.after(self._random.uniform(0.5, 5), lambda: self._world.new_life(side))

        self._world.timeline.after(lasts, leave)

    def add_worker(self) -> None:
        self._note("new worker", "", 0.0, "machine added")
        self._world.add_side()

    def trouble_calls(self) -> None:
        """Calls to a worker go unanswered, and may be carried out late."""
        side = self._side()
        if side is None:
            return
        lasts, random = self._length(), self._random
        self._note("late", side.node, lasts + 13, "calls unanswered")
        side.trouble = CallTrouble(
            random.choice((0, 0.1, 0.5)), random.choice((0, 0.1, 0.5)), random.choice((0.1, 0.5))
        )

        def end() -> None:
            side.trouble = CallTrouble()

        self._world.timeline.after(lasts, end)

    def hold_back_heartbeats(self) -> None:
        """Heartbeats and deregistrations of a worker arrive late, some after it or its agent was restarted."""
        side = self._side()
        if side is None:
            return
        lasts = self._length() + HELD_BACK_S
        self._note("held back", side.node, lasts, "heartbeats held back")
        side.held_back = self._random.choice((0.3, 0.6))

        def end() -> None:
            side.held_back = 0.0

        self._world.timeline.after(lasts, end)

    def grey_worker(self) -> None:
        """A worker beats well and fails, hangs or slows down what it starts, or turns orders down."""
        side = self._side()
        if side is None:
            return
        lasts = self._length()
        condition = self._random.choice((*list(Condition)[1:], None))
        self._note("grey", side.node, lasts, f"worker {condition.value if condition else 'turns orders down'}")
        if condition is None:
            side.worker.healthy = False
        else:
            side.worker.set_condition(condition, self._world.timeline.now)

        def end() -> None:
            side.worker.healthy = True
            side.worker.set_condition(Condition.SOUND, self._world.timeline.now)

        self._world.timeline.after(lasts, end)

    # ---- clients -----------------------------------------------------------------------------------------

    def lose_answers(self) -> None:
        lasts, clients = self._length(), self._world.clients
        self._note("clients", "", 0.0, "answers to clients are lost")
        clients.answer_loss, clients.without_retry = self._random.choice((0.1, 0.5)), self._random.choice((0.0, 0.3))

        def end() -> None:
            clients.answer_loss = clients.without_retry = 0.0

        self._world.timeline.after(lasts, end)

    def freeze_dispatcher(self) -> None:
        """A dispatcher's machine freezes and wakes again; clients leave early and cancel what they handed in."""
        dispatcher = self._random.choice(self._world.dispatchers)
        if dispatcher.frozen:
            return
        lasts, clients = self._length(), self._world.clients
        self._note("dispatcher", dispatcher.name, lasts, "dispatcher frozen")
        dispatcher.freeze()
        clients.cancelling_early = self._random.choice((0.0, 0.3, 0.6))

        def end() -> None:
            clients.cancelling_early = 0.0
            dispatcher.thaw()

        self._world.timeline.after(lasts, end)

    def stall_caller(self) -> None:
        """A dispatcher's connection to the head carries nothing for a while."""
        dispatcher, lasts = self._random.choice(self._world.dispatchers), self._length()
        self._note("dispatcher", dispatcher.name, lasts, "connection of a dispatcher stalled")
        dispatcher.stall_connection(lasts)

    def burst(self) -> None:
        self._note("burst", "", 3.0, "burst")
        self._world.burst()

    def change_configuration(self) -> None:
        self._note("configuration", "", 0.0, "configuration changes")
        self._world.change_configuration()

    def cancel_many(self) -> None:
        self._note("hopeless", "", 0.0, "many are cancelled")
        self._world.cancel_many()


TROUBLES: dict[str, Callable[[Troubles], None]] = {
    "head": Troubles.change_head,
    "chain": Troubles.still_chain,
    "acks": Troubles.slow_answers,
    "clock": Troubles.jump_clock,
    "agent": Troubles.kill_agent,
    "freeze": Troubles.freeze_agent,
    "session": Troubles.lose_session,
    "cut": Troubles.cut_side,
    "silent": Troubles.silence_worker,
    "crash": Troubles.crash_worker,
    "machine": Troubles.lose_machine,
    "drain": Troubles.drain_worker,
    "leave": Troubles.leave_first,
    "add": Troubles.add_worker,
    "calls": Troubles.trouble_calls,
    "heartbeats": Troubles.hold_back_heartbeats,
    "grey": Troubles.grey_worker,
    "clients": Troubles.lose_answers,
    "dispatcher": Troubles.freeze_dispatcher,
    "caller": Troubles.stall_caller,
    "burst": Troubles.burst,
    "configuration": Troubles.change_configuration,
    "cancel": Troubles.cancel_many,
}
