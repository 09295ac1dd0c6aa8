"""Model check of the register that holds the view: all interleavings up to a given depth, with three voters, two
proposers, and a disk that is lost and returns as another voter, which replaces the first one in one step.

The members run the real `ViewRegister`. A state consists of the members' states and the messages in transit. Each
message may arrive at any time or never, each sync may complete at any time, and a process may end at any time, with its
pending syncs completed or not.
"""

from __future__ import annotations

import os
import random
from collections import deque
from dataclasses import dataclass, field, replace

import pytest

from millethead.lab.core_mutants import promise_before_sync, view_without_majority
from millethead.replication import view_register
from millethead.replication.joint_round import JointRound
from millethead.replication.messages import PaxosMessage
from millethead.replication.view import ChainMember, Member, View, next_view
from millethead.replication.view_register import KnownView, ViewRegister
from millethead.rollout.register import Acceptor, AcceptorState
from millethead.rpc.codec import encode

DEPTH = int(os.environ.get("REPLICATION_DEPTH", "7"))  # number of steps explored exhaustively
WALKS = int(os.environ.get("REPLICATION_WALKS", "400"))  # number of longer random histories
WALK_STEPS = 150
MAX_EPOCH = 5
A, B, C, FRESH = Member("a:1", 1), Member("b:1", 2), Member("c:1", 3), Member("c:1", 4)
FIRST = View(1, (A, B, C), (ChainMember(A, 1, 1), ChainMember(B, 1, 1)))


class ConflictingViews(AssertionError):
    """Two different views were agreed for one epoch."""


class NoBackoff(random.Random):
    """Disables the random backoff after a lost round, because time does not advance in this model."""

    def uniform(self, a: float, b: float) -> float:
        return 0.0


@dataclass(frozen=True)
class Datagram:
    """A message in transit, with the address of its sender."""

    sender: str
    receiver: str
    message: PaxosMessage


class RecordingPorts:
    """Collects the messages and saves of a register."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, PaxosMessage]] = []
        self.saves: list[tuple[AcceptorState, tuple[tuple[str, PaxosMessage], ...]]] = []
        self.register: ViewRegister | None = None

    def send(self, address: str, message: PaxosMessage) -> None:
        self.sent.append((address, message))

    def save(self, kept: AcceptorState, done) -> None:
        """Holds back the messages that `done` sends until the save is complete."""
        before, self.sent = self.sent, []
        done()
        answers, self.sent = tuple(self.sent), before
        self.register._pending_saves += 1
        self.saves.append((kept, answers))


@dataclass(frozen=True)
class ModelMember:
    """The state of one member. `saves`: pending saves, in order."""

    identity: Member
    incarnation: int
    durable: AcceptorState
    kept: AcceptorState
    saves: tuple = ()
    view: View = FIRST
    highest: int = 1
    attempt: tuple | None = None

    def key(self) -> tuple:
        return (
            self.identity,
            self.incarnation,
            self.durable,
            self.kept,
            self.saves,
            self.view.epoch,
            self.highest,
            self.attempt and self.attempt[:-1],
        )


@dataclass(frozen=True)
class ModelState:
    """The state of the model. `remaining_ends`: how many more times a process may end. `wiped`: whether the disk of
    the third voter was lost."""

    members: tuple[ModelMember, ...]
    datagrams: tuple = ()
    agreed: tuple = (FIRST,)
    remaining_ends: int = 1
    wiped: bool = False
    steps: tuple = field(default=(), compare=False)

    def key(self) -> tuple:
        return (
            tuple(member.key() for member in self.members),
            frozenset(self.datagrams),
            self.remaining_ends,
            self.wiped,
        )


def freeze_round(attempt) -> tuple | None:
    if attempt is None:
        return None
    joint = attempt.round
    calls = (joint._change, joint._quorums)
    return (
        joint.ballot,
        joint._previous_quorums,
        joint.value,
        joint.previous_value,
        joint._promised,
        joint._accepted,
        joint._highest_accepted,
        calls,
    )


def thaw_round(frozen: tuple | None):
    if frozen is None:
        return None
    ballot, quorums_before, value, previous_value, promised, accepted, highest_accepted, (change, quorums) = frozen
    joint = JointRound(ballot, quorums_before, change, quorums, view_register.voter_names)
    joint.value, joint.previous_value, joint._highest_accepted = value, previous_value, highest_accepted
    joint._promised, joint._accepted = promised, accepted
    return view_register._Attempt(joint, 0.0, 0.0)


class RestoredMember:
    """A member's register, restored for one step."""

    def __init__(self, state: ModelState, at: int) -> None:
        self.state, self.at, self.member = state, at, state.members[at]
        self.ports, self.adopted = RecordingPorts(), []
        member = self.member
        self.register = ViewRegister(
            member.identity, member.incarnation, self.ports, member.kept, NoBackoff(), self.adopted.append
        )
        self.ports.register = self.register
        self.register._pending_saves, self.register._highest_ballot_number = len(member.saves), member.highest
        self.register._attempt = thaw_round(member.attempt)

    def receive(self, sender: str, message: PaxosMessage) -> None:
        self.register.receive(0.0, sender, message)
        self.settle()

    def settle(self) -> None:
        """Delivers the messages that this member sends to itself, as `Replica` does."""
        while own := [message for address, message in self.ports.sent if address == self.member.identity.address]:
            self.ports.sent = [pair for pair in self.ports.sent if pair[0] != self.member.identity.address]
            for message in own:
                self.register.receive(0.0, self.member.identity.address, message)

    def after(self, step: tuple, datagrams=None, **changes) -> ModelState:
        """Returns the state after the step. Raises ConflictingViews."""
        state, member = self.state, self.member
        sent = [Datagram(member.identity.address, address, message) for address, message in self.ports.sent]
        views = dict((view.epoch, view) for view in state.agreed)
        view = member.view
        for found in self.adopted:
            if views.setdefault(found.epoch, found) != found:
                raise ConflictingViews(f"{views[found.epoch]} and {found}")
            view = max(view, found, key=lambda one: one.epoch)
        member = replace(
            member,
            kept=self.register._acceptor.state,
            saves=member.saves + tuple(self.ports.saves),
            view=view,
            highest=self.register._highest_ballot_number,
            attempt=freeze_round(self.register._attempt),
        )
        member = replace(member, **changes)
        members = (*state.members[: self.at], member, *state.members[self.at + 1 :])
        left = state.datagrams if datagrams is None else datagrams
        return replace(
            state,
            members=members,
            datagrams=tuple(dict.fromkeys([*left, *sent])),
            agreed=tuple(views.values()),
            steps=(*state.steps, step),
        )


def wanted(member: ModelMember, state: ModelState) -> View | None:
    """Returns the next view that a proposer wants: the head shortens the chain or replaces the voter of a lost disk;
    its successor takes over the chain."""
    view, epoch = member.view, member.view.epoch + 1
    if epoch > MAX_EPOCH:
        return None
    if member.identity == B:
        return View(epoch, view.voters, (ChainMember(B, member.incarnation, 1), ChainMember(A, 1, 1)))
    if not state.wiped:
        return View(epoch, view.voters, (ChainMember(A, member.incarnation, 1),))
    if C in view.voters:
        return next_view(view, view.chain, tuple(FRESH if voter == C else voter for voter in view.voters))
    return None


def steps_of(state: ModelState):
    """Yields every possible next step as a function that executes it."""
    for at, member in enumerate(state.members):
        if member.identity in (A, B) and member.attempt is None and wanted(member, state) is not None:
            yield lambda at=at: propose(state, at)
        if member.saves:
            yield lambda at=at: saved(state, at)
        if state.remaining_ends and member.identity != FRESH:
            for done in range(len(member.saves) + 1):
                yield lambda at=at, done=done: ended(state, at, done)
    for datagram in state.datagrams:
        yield lambda datagram=datagram: delivered(state, datagram)
    if not state.wiped:
        yield lambda: wiped(state)


def propose(state: ModelState, at: int) -> ModelState:
    run = RestoredMember(state, at)
    view = wanted(run.member, state)
    run.register.propose(0.0, run.member.view.epoch, view, KnownView(run.member.view, run.member.view.epoch))
    run.settle()
    return run.after(("propose", at, view.epoch))


def saved(state: ModelState, at: int) -> ModelState:
    run = RestoredMember(state, at)
    (kept, answers), left = run.member.saves[0], run.member.saves[1:]
    run.register._pending_saves -= 1
    run.ports.sent.extend(answers)
    run.settle()
    return run.after(("saved", at), durable=kept, saves=left + tuple(run.ports.saves))


def ended(state: ModelState, at: int, done: int) -> ModelState:
    """The process ends and restarts with the state on its disk."""
    run = RestoredMember(state, at)
    durable = run.member.saves[done - 1][0] if done else run.member.durable
    run.register._acceptor, run.register._attempt = Acceptor(durable), None
    return replace(
        run.after(("ended", at, done), durable=durable, saves=(), incarnation=run.member.incarnation + 1),
        remaining_ends=state.remaining_ends - 1,
    )


def delivered(state: ModelState, datagram: Datagram) -> ModelState:
    rest = tuple(other for other in state.datagrams if other != datagram)
    for at, member in enumerate(state.members):
        if member.identity.address == datagram.receiver:
            run = RestoredMember(state, at)
            run.receive(datagram.sender, datagram.message)
            return run.after(("delivered", at, datagram.message.kind.name, datagram.message.voter), rest)
    return replace(state, datagrams=rest)


def wiped(state: ModelState) -> ModelState:
    """The disk of the third member is lost, and another voter takes its address."""
    fresh = ModelMember(FRESH, 9, AcceptorState(), AcceptorState())
    return replace(state, members=(*state.members[:2], fresh), wiped=True, steps=(*state.steps, ("wiped",)))


def initial_state(remaining_ends: int = 1) -> ModelState:
    kept = AcceptorState((1, "a"), (1, "a"), encode(FIRST))
    return ModelState(tuple(ModelMember(member, 1, kept, kept) for member in (A, B, C)), remaining_ends=remaining_ends)


def explore(depth: int) -> tuple[int, int]:
    """Explores all orders of `depth` steps. Returns the numbers of states and steps. Raises ConflictingViews."""
    seen, count = {initial_state().key()}, 0
    layer = deque([initial_state()])
    for _ in range(depth):
        following: deque[ModelState] = deque()
        for state in layer:
            for step in steps_of(state):
                count += 1
                after = step()
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    following.append(after)
        layer = following
    return len(seen), count


def walk(seed: int) -> ModelState:
    """Runs one long random history. Raises ConflictingViews."""
    chance = random.Random(seed)
    state = initial_state(remaining_ends=3)
    for _ in range(WALK_STEPS):
        possible = list(steps_of(state))
        if not possible:
            break
        state = chance.choice(possible)()
    return state


def test_every_interleaving_agrees_on_one_view_per_epoch():
    states, steps = explore(DEPTH)
    assert states > 1000 and steps > states


def test_random_histories_agree_on_one_view_per_epoch():
    epochs = [max(view.epoch for view in walk(seed).agreed) for seed in range(WALKS)]
    assert sum(epoch > 1 for epoch in epochs) > WALKS / 4, "too few random histories agree on a new view"
    assert max(epochs) >= 3


@pytest.mark.parametrize(
    "mutant, seeds",
    [(promise_before_sync, [5362]), (view_without_majority, [4, 31])],
    ids=["promise_before_sync", "view_without_majority"],
)
def test_the_model_detects(mutant, seeds):
    for seed in seeds:
        with mutant(), pytest.raises(ConflictingViews):
            walk(seed)


def test_the_model_detects_a_voter_that_returns_without_its_state(monkeypatch):
    monkeypatch.setitem(globals(), "FRESH", C)
    with pytest.raises(ConflictingViews):
        walk(798)
