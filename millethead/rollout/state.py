"""What the fleet agrees on, and each change of it: pure functions of the old state, which raise Refused."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from millethead.members.offices import Office
from millethead.rollout.register import Refused

SCHEMA = 2  # 1 had no voters and no offices
MOST_BYTES = 12_000  # of the state: it travels in one datagram
MOST_NAMED = 64  # members in one plan
MOST_VOTERS = 15
DISPATCHERS = "dispatchers"
RUNNING, HALTED, UNDOING, DONE, UNDONE = "running", "halted", "undoing", "done", "undone"


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """Somebody is out, or about to be. `token`: never used twice; `begun`: it has been told to go, once; `start`: when
    the process that goes had started (one that started later is back); `version`: the one it shall come back with, if
    any; `release`: the number of the release that this is a step of, negative for its undoing, 0 for none."""

    group: str
    subject: str
    token: int
    by: str = ""
    begun: bool = False
    start: float = 0.0
    version: str = ""
    release: int = 0


class Health(msgspec.Struct, frozen=True, array_like=True):
    """What is unhealthy: the part of answers failed, or refused, above that of those not yet moved; time to answer as a
    multiple of theirs. `least`: answers of a class before it is judged."""

    errors: float = 0.02
    refusals: float = 0.10
    slower: float = 2.0
    least: int = 20


class Moved(msgspec.Struct, frozen=True, array_like=True):
    """A member that a release has moved or is moving, and the version it had."""

    subject: str
    before: str


class Release(msgspec.Struct, frozen=True, array_like=True):
    """A plan and how far it is. Times are seconds."""

    id: int
    group: str
    version: str
    steps: tuple[tuple[str, ...], ...]
    max_out: int
    soak: float
    back: float
    health: Health = Health()
    at: int = 0
    moved: tuple[Moved, ...] = ()
    status: str = RUNNING
    why: str = ""
    resumes: str = RUNNING  # what `resume` goes on with


class State(msgspec.Struct, frozen=True, array_like=True):
    """`rev` rises with every change, `tokens` with every slot and release; `voters` decide on the next change;
    `offices`: the stewards of the fleet's limits, a part each."""

    schema: int = SCHEMA
    rev: int = 0
    tokens: int = 0
    slots: tuple[Slot, ...] = ()
    release: Release | None = None
    voters: tuple[str, ...] = ()
    offices: tuple[Office, ...] = ()

    @property
    def under_way(self) -> Release | None:
        """The release, while it goes forth or back."""
        r = self.release
        return r if r is not None and r.status in (RUNNING, UNDOING) else None

    def out(self, group: str) -> int:
        return sum(slot.group == group for slot in self.slots)

    def slot(self, token: int) -> Slot | None:
        return next((s for s in self.slots if s.token == token), None)

    def of(self, subject: str) -> Slot | None:
        return next((s for s in self.slots if s.subject == subject), None)


_decoder = msgspec.msgpack.Decoder(State)
_encode = msgspec.msgpack.Encoder().encode
_replace = msgspec.structs.replace


def read(value: bytes) -> State:
    """Raises ValueError where it is not a state of this version."""
    if not value:
        return State()
    try:
        state = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not a state: {error}") from None
    if state.schema not in (1, SCHEMA):
        raise ValueError(f"a state of version {state.schema}, not {SCHEMA}")
    return _replace(state, schema=SCHEMA)


def write(state: State) -> bytes:
    """Raises Refused where it has grown too large."""
    value = _encode(state)
    if len(value) > MOST_BYTES:
        raise Refused(f"the state would take {len(value)} bytes, more than {MOST_BYTES}")
    return value


def _next(state: State, **changes: object) -> State:
    return _replace(state, rev=state.rev + 1, **changes)


# ---- slots ---------------------------------------------------------------------------------------------


def take(
    state: State, group: str, subject: str, most: int, by: str, start: float = 0.0, version: str = "", release: int = 0
) -> State:
    """A slot of `group`, of which `most` may be out."""
    if state.of(subject) is not None:
        raise Refused(f"{subject} is out already")
    if state.out(group) >= most:
        raise Refused(f"no slot: {state.out(group)} of {group} are out, and max_out is {most}")
    # a booking worker is told nothing: with its slot it is out
    slot = Slot(group, subject, state.tokens + 1, by, group != DISPATCHERS, start, version, release)
    return _next(state, tokens=state.tokens + 1, slots=(*state.slots, slot))


def begin(state: State, token: int, start: float) -> State:
    """The subject goes now; nobody else may do this step again."""
    slot = state.slot(token)
    if slot is None or slot.begun:
        raise Refused("this step was taken back, or is done already")
    return _next(state, slots=tuple(_replace(s, begun=True, start=start) if s is slot else s for s in state.slots))


def free(state: State, token: int) -> State:
    """It is back, or its lease is over. What a release undoes counts as returned with its slot."""
    slot = state.slot(token)
    if slot is None:
        raise Refused("no such slot")
    state = _next(state, slots=tuple(s for s in state.slots if s is not slot))
    release = state.release
    if release is not None and slot.release == -release.id:
        left = tuple(m for m in release.moved if m.subject != slot.subject)
        release = _replace(release, moved=left)
        state = _replace(state, release=release if left else _replace(release, status=UNDONE, why="undone"))
    return state


def call_back(state: State, subject: str) -> State:
    """An operator takes a drain back: that of a dispatcher which has not gone yet, or of a booking worker, where no
    release asked for it, or one that is halted."""
    slot, r = state.of(subject), state.release
    if slot is None or (slot.release and (slot.group == DISPATCHERS or r is None or r.status != HALTED)):
        raise Refused(f"{subject} is not out by a drain")
    if slot.group == DISPATCHERS and slot.begun:
        raise Refused(f"{subject} is going already")
    state = free(state, slot.token)
    if r is not None and slot.release == r.id:  # it was not moved after all
        state = _replace(state, release=_replace(r, moved=tuple(m for m in r.moved if m.subject != subject)))
    return state


# ---- voters ---------------------------------------------------------------------------------------------


def add_voter(state: State, name: str) -> State:
    """One at a time, so that a majority before the change and one after it always meet."""
    if name in state.voters:
        raise Refused(f"{name} is a voter already")
    if len(state.voters) >= MOST_VOTERS:
        raise Refused(f"there are {len(state.voters)} voters, and no more than {MOST_VOTERS} may be")
    return _next(state, voters=(*state.voters, name))


def drop_voter(state: State, name: str, there: Collection[str]) -> State:
    """`there`: the dispatchers that are there, of whom a majority must be left: without one nothing is agreed again."""
    if name not in state.voters:
        raise Refused(f"{name} is no voter")
    left = tuple(v for v in state.voters if v != name)
    if 2 * sum(v in there for v in left) <= len(left):
        raise Refused(f"of the voters left ({', '.join(left) or 'none'}) no majority would be there")
    return _next(state, voters=left)


def replace_steward(state: State, old: str, new: str) -> State:
    """`new` has the part of `old` from now on, and lends when all that `old` may have lent has run out."""
    names = [office.name for office in state.offices]
    if old not in names:
        raise Refused(f"{old} is no steward")
    if new in names:
        raise Refused(f"{new} is a steward already")
    token = state.tokens + 1
    return _next(
        state,
        tokens=token,
        offices=tuple(Office(new, token) if office.name == old else office for office in state.offices),
    )


# ---- releases ------------------------------------------------------------------------------------------


def start(state: State, plan: Release) -> State:
    old = state.release
    if old is not None and old.status not in (DONE, UNDONE):
        raise Refused(f"a release to {old.version!r} is {old.status}: undo it or let it end")
    return _next(state, tokens=state.tokens + 1, release=_replace(plan, id=state.tokens + 1))


def halt(state: State, why: str, release: int = 0) -> State:
    """Nothing new is begun; what is out comes back. `release`: only this one."""
    r = state.under_way
    if r is None or release not in (0, r.id):
        raise Refused("no release is under way")
    slots, moved = _without_idle(state, r)
    return _next(state, slots=slots, release=_replace(r, status=HALTED, resumes=r.status, why=why, moved=moved))


def _without_idle(state: State, r: Release) -> tuple[tuple[Slot, ...], tuple[Moved, ...]]:
    """Without the steps that were agreed on and have not begun: they need not happen."""
    idle = {s.token for s in state.slots if abs(s.release) == r.id and not s.begun}
    forward = {s.subject for s in state.slots if s.release == r.id and s.token in idle}
    return (tuple(s for s in state.slots if s.token not in idle), tuple(m for m in r.moved if m.subject not in forward))


def resume(state: State) -> State:
    """Go on. A dispatcher that had begun its step and is not back goes once more, under a new token: it may have been
    killed before it said which version it wants, and come back as the one it was."""
    r = state.release
    if r is None or r.status != HALTED:
        raise Refused("no release is halted")
    slots, tokens = list[Slot](), state.tokens
    for slot in state.slots:
        if abs(slot.release) == r.id and slot.group == DISPATCHERS:
            tokens += 1
            slot = _replace(slot, begun=False, token=tokens)
        slots.append(slot)
    return _next(state, tokens=tokens, slots=tuple(slots), release=_replace(r, status=r.resumes, why=""))


def undo(state: State) -> State:
    """Go back: the last moved first, within the same budget."""
    r = state.release
    if r is None or r.status not in (RUNNING, HALTED, DONE) or _way(r) == UNDOING:
        raise Refused("there is no release to undo")
    slots, moved = _without_idle(state, r)
    # one that is just on its way to the new version comes back as that first; `moves` then sends it back
    status = UNDOING if moved else UNDONE
    release = _replace(r, status=status, resumes=UNDOING, moved=moved, why="undone by hand")
    return _next(state, slots=slots, release=release)


def _way(release: Release) -> str:
    """Which way it goes, though it may be halted."""
    return release.resumes if release.status == HALTED else release.status


def moves(state: State) -> list[str]:
    """Who may be moved next, in order: in undoing one at a time, the last moved first."""
    r = state.under_way
    if r is None:
        return []
    if r.status == UNDOING:
        return [r.moved[-1].subject] if r.moved and state.of(r.moved[-1].subject) is None else []
    done, step = {m.subject for m in r.moved}, r.steps[r.at] if r.at < len(r.steps) else ()
    return [name for name in step if name not in done and state.of(name) is None]


def move(state: State, subject: str, most: int, by: str, begun: float, before: str) -> State:
    """Take a slot for the next move of the release; `before`: the version that `subject` has now."""
    r = state.release
    if r is None or subject not in moves(state):
        raise Refused(f"{subject} is not to be moved now")
    version = r.version if r.status == RUNNING else next(m.before for m in r.moved if m.subject == subject)
    if r.group != DISPATCHERS:  # booking workers tell no version: one that has started anew is back
        version = ""
    state = take(
        state, r.group, subject, min(most, r.max_out), by, begun, version, r.id if r.status == RUNNING else -r.id
    )
    if r.status == RUNNING:
        state = _replace(state, release=_replace(r, moved=(*r.moved, Moved(subject, before))))
    return state


def step_over(state: State) -> bool:
    """Whether all of the present step are moved and back."""
    r = state.release
    return (
        r is not None
        and r.status == RUNNING
        and not moves(state)
        and not any(abs(s.release) == r.id for s in state.slots)
    )


def advance(state: State, at: int) -> State:
    """The present step, number `at`, has been healthy for its soak."""
    r = state.release
    if r is None or r.at != at or not step_over(state):
        raise Refused("this step is not over, or is done already")
    status = DONE if at + 1 >= len(r.steps) else RUNNING
    return _next(state, release=_replace(r, at=at + 1, status=status))


def named(steps: Iterable[Iterable[str]]) -> list[str]:
    return [name for step in steps for name in step]
