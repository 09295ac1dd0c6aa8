"""All interleavings of the register that holds the view, to a stated depth: three voters, two proposers, a disk that is
lost and comes back as another voter, which takes its place in one step.

The members are the program's own `ViewRegister`. A state is what all members hold, and the messages under way; each
message may arrive at any time or never, each sync may end at any time, and a process may end at any time, its syncs
under way done or not.
"""

from __future__ import annotations

import os
import random
from collections import deque
from dataclasses import dataclass, field, replace

import pytest

from millethead.lab.core_mutants import promise_before_sync, view_without_majority
from millethead.replication import agreement
from millethead.replication.agreement import KnownView, ViewRegister
from millethead.replication.joint import JointRound
from millethead.replication.messages import PaxosMessage
from millethead.replication.view import ChainMember, Member, View, next_view
from millethead.rollout.register import Acceptor, AcceptorState
from millethead.rpc.codec import encode

DEPTH = int(os.environ.get("REPLICATION_DEPTH", "7"))  # steps of which every order is explored
WALKS = int(os.environ.get("REPLICATION_WALKS", "400"))  # longer histories, drawn by chance
WALK_STEPS = 150
MOST_EPOCH = 5
A, B, C, FRESH = Member("a:1", 1), Member("b:1", 2), Member("c:1", 3), Member("c:1", 4)
FIRST = View(1, (A, B, C), (ChainMember(A, 1, 1), ChainMember(B, 1, 1)))


class TwoViews(AssertionError):
    """Two views were agreed under one epoch."""


class Fixed(random.Random):
    """Pauses after a lost round make no difference here: time stands still, and there are none."""

    def uniform(self, a: float, b: float) -> float:
        return 0.0


@dataclass(frozen=True)
class Letter:
    """A message under way, with the address it came from."""

    sender: str
    receiver: str
    message: PaxosMessage


class Ports:
    """Collects what a register sends and saves."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, PaxosMessage]] = []
        self.saves: list[tuple[AcceptorState, tuple[tuple[str, PaxosMessage], ...]]] = []
        self.register: ViewRegister | None = None

    def send(self, address: str, message: PaxosMessage) -> None:
        self.sent.append((address, message))

    def save(self, kept: AcceptorState, done) -> None:
        """What `done` sends is kept back until the save is over."""
        before, self.sent = self.sent, []
        done()
        answers, self.sent = tuple(self.sent), before
        self.register._saving += 1
        self.saves.append((kept, answers))


@dataclass(frozen=True)
class Machine:
    """What one member holds. `saves`: under way, in their order."""

    me: Member
    incarnation: int
    durable: AcceptorState
    kept: AcceptorState
    saves: tuple = ()
    view: View = FIRST
    highest: int = 1
    attempt: tuple | None = None

    def key(self) -> tuple:
        return (
            self.me,
            self.incarnation,
            self.durable,
            self.kept,
            self.saves,
            self.view.epoch,
            self.highest,
            self.attempt and self.attempt[:-1],
        )


@dataclass(frozen=True)
class World:
    """`ends`: how often processes may yet end; `wiped`: whether the third voter's disk was lost."""

    machines: tuple[Machine, ...]
    letters: tuple = ()
    agreed: tuple = (FIRST,)
    ends: int = 1
    wiped: bool = False
    steps: tuple = field(default=(), compare=False)

    def key(self) -> tuple:
        return (tuple(machine.key() for machine in self.machines), frozenset(self.letters), self.ends, self.wiped)


def freeze_round(attempt) -> tuple | None:
    if attempt is None:
        return None
    made = attempt.round
    calls = (made._change, made._quorums)
    return (made.ballot, made._old_quorums, made.value, made.old, made._promised, made._accepted, made._found, calls)


def thaw_round(kept: tuple | None):
    if kept is None:
        return None
    ballot, known, value, old, promised, accepted, found, (change, quorums) = kept
    made = JointRound(ballot, known, change, quorums, agreement.voter_names)
    made.value, made.old, made._promised, made._accepted, made._found = value, old, promised, accepted, found
    return agreement._Attempt(made, 0.0, 0.0)


class Running:
    """A member's register, set up for one step."""

    def __init__(self, world: World, at: int) -> None:
        self.world, self.at, self.machine = world, at, world.machines[at]
        self.ports, self.adopted = Ports(), []
        machine = self.machine
        self.register = ViewRegister(
            machine.me, machine.incarnation, self.ports, machine.kept, Fixed(), self.adopted.append
        )
        self.ports.register = self.register
        self.register._saving, self.register._highest = len(machine.saves), machine.highest
        self.register._attempt = thaw_round(machine.attempt)

    def receive(self, sender: str, message: PaxosMessage) -> None:
        self.register.receive(0.0, sender, message)
        self.settle()

    def settle(self) -> None:
        """Take what this member sends to itself, as `Replica` does."""
        while own := [message for address, message in self.ports.sent if address == self.machine.me.address]:
            self.ports.sent = [pair for pair in self.ports.sent if pair[0] != self.machine.me.address]
            for message in own:
                self.register.receive(0.0, self.machine.me.address, message)

    def after(self, step: tuple, letters=None, **changes) -> World:
        """The world after the step; raises TwoViews."""
        world, machine = self.world, self.machine
        sent = [Letter(machine.me.address, address, message) for address, message in self.ports.sent]
        views = dict((view.epoch, view) for view in world.agreed)
        view = machine.view
        for found in self.adopted:
            if views.setdefault(found.epoch, found) != found:
                raise TwoViews(f"{views[found.epoch]} and {found}")
            view = max(view, found, key=lambda one: one.epoch)
        machine = replace(
            machine,
            kept=self.register._acceptor.state,
            saves=machine.saves + tuple(self.ports.saves),
            view=view,
            highest=self.register._highest,
            attempt=freeze_round(self.register._attempt),
        )
        machine = replace(machine, **changes)
        machines = (*world.machines[: self.at], machine, *world.machines[self.at + 1 :])
        left = world.letters if letters is None else letters
        return replace(
            world,
            machines=machines,
            letters=tuple(dict.fromkeys([*left, *sent])),
            agreed=tuple(views.values()),
            steps=(*world.steps, step),
        )


def wanted(machine: Machine, world: World) -> View | None:
    """What a proposer would have next: the head shortens the chain, or replaces a lost disk's voter; its successor
    takes the chain over."""
    view, epoch = machine.view, machine.view.epoch + 1
    if epoch > MOST_EPOCH:
        return None
    if machine.me == B:
        return View(epoch, view.voters, (ChainMember(B, machine.incarnation, 1), ChainMember(A, 1, 1)))
    if not world.wiped:
        return View(epoch, view.voters, (ChainMember(A, machine.incarnation, 1),))
    if C in view.voters:
        return next_view(view, view.chain, tuple(FRESH if voter == C else voter for voter in view.voters))
    return None


def steps_of(world: World):
    """Every step that may come next, as a call that makes it."""
    for at, machine in enumerate(world.machines):
        if machine.me in (A, B) and machine.attempt is None and wanted(machine, world) is not None:
            yield lambda at=at: propose(world, at)
        if machine.saves:
            yield lambda at=at: saved(world, at)
        if world.ends and machine.me != FRESH:
            for done in range(len(machine.saves) + 1):
                yield lambda at=at, done=done: ended(world, at, done)
    for letter in world.letters:
        yield lambda letter=letter: delivered(world, letter)
    if not world.wiped:
        yield lambda: wiped(world)


def propose(world: World, at: int) -> World:
    run = Running(world, at)
    view = wanted(run.machine, world)
    run.register.propose(0.0, run.machine.view.epoch, view, KnownView(run.machine.view, run.machine.view.epoch))
    run.settle()
    return run.after(("propose", at, view.epoch))


def saved(world: World, at: int) -> World:
    run = Running(world, at)
    (kept, answers), left = run.machine.saves[0], run.machine.saves[1:]
    run.register._saving -= 1
    run.ports.sent.extend(answers)
    run.settle()
    return run.after(("saved", at), durable=kept, saves=left + tuple(run.ports.saves))


def ended(world: World, at: int, done: int) -> World:
    """The process ends and another begins, with what is on the disk."""
    run = Running(world, at)
    durable = run.machine.saves[done - 1][0] if done else run.machine.durable
    run.register._acceptor, run.register._attempt = Acceptor(durable), None
    return replace(
        run.after(("ended", at, done), durable=durable, saves=(), incarnation=run.machine.incarnation + 1),
        ends=world.ends - 1,
    )


def delivered(world: World, letter: Letter) -> World:
    rest = tuple(other for other in world.letters if other != letter)
    for at, machine in enumerate(world.machines):
        if machine.me.address == letter.receiver:
            run = Running(world, at)
            run.receive(letter.sender, letter.message)
            return run.after(("delivered", at, letter.message.kind.name, letter.message.voter), rest)
    return replace(world, letters=rest)


def wiped(world: World) -> World:
    """The third member's disk is lost: another voter is at its address."""
    fresh = Machine(FRESH, 9, AcceptorState(), AcceptorState())
    return replace(world, machines=(*world.machines[:2], fresh), wiped=True, steps=(*world.steps, ("wiped",)))


def first_world(ends: int = 1) -> World:
    kept = AcceptorState((1, "a"), (1, "a"), encode(FIRST))
    return World(tuple(Machine(member, 1, kept, kept) for member in (A, B, C)), ends=ends)


def explore(depth: int) -> tuple[int, int]:
    """Every order of `depth` steps; the numbers of states and steps. Raises TwoViews."""
    seen, count = {first_world().key()}, 0
    layer = deque([first_world()])
    for _ in range(depth):
        following: deque[World] = deque()
        for world in layer:
            for step in steps_of(world):
                count += 1
                after = step()
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    following.append(after)
        layer = following
    return len(seen), count


def walk(seed: int) -> World:
    """One long history by chance, which favours what makes rounds end; raises TwoViews."""
    chance = random.Random(seed)
    world = first_world(ends=3)
    for _ in range(WALK_STEPS):
        possible = list(steps_of(world))
        if not possible:
            break
        world = chance.choice(possible)()
    return world


def test_every_order_of_steps_agrees_on_one_view_an_epoch():
    states, steps = explore(DEPTH)
    assert states > 1000 and steps > states


def test_long_histories_agree_on_one_view_an_epoch():
    epochs = [max(view.epoch for view in walk(seed).agreed) for seed in range(WALKS)]
    assert sum(epoch > 1 for epoch in epochs) > WALKS / 4, "the walks reach no views"
    assert max(epochs) >= 3


@pytest.mark.parametrize(
    "mutant, seeds",
    [(promise_before_sync, [5362]), (view_without_majority, [4, 31])],
    ids=["promise_before_sync", "view_without_majority"],
)
def test_the_model_notices(mutant, seeds):
    for seed in seeds:
        with mutant(), pytest.raises(TwoViews):
            walk(seed)


def test_the_model_notices_a_voter_that_comes_back_without_its_memory(monkeypatch):
    monkeypatch.setitem(globals(), "FRESH", C)
    with pytest.raises(TwoViews):
        walk(798)
