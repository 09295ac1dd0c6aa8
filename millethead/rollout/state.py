"""The state that the fleet agrees on, and its changes: pure functions of the old state that raise ChangeRefused.

A member or booking worker that takes part is called a subject. A slot is the permission for one subject to be out of
service.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from millethead.members.offices import StewardAssignment
from millethead.rollout.register import Refused

SCHEMA = 2  # version 1 had no voters and no stewards
MOST_BYTES = 12_000  # the state must fit one datagram
MOST_NAMED = 64  # members in one release plan
MOST_VOTERS = 15
DISPATCHERS = "dispatchers"
RUNNING, HALTED, UNDOING, DONE, UNDONE = "running", "halted", "undoing", "done", "undone"


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """A subject is out of service, or about to be.

    `token` is never used twice. `begun` is set once, when the subject begins its restart. `process_start` is the start
    time of the process that leaves; a process with a later start is the returned subject. `version` is the version it
    has to return with, if any. `release` is the id of the release that this slot belongs to, negative while the release
    is undone, and 0 for a drain.
    """

    group: str
    subject: str
    token: int
    by: str = ""
    begun: bool = False
    start: float = 0.0
    version: str = ""
    release: int = 0


class Health(msgspec.Struct, frozen=True, array_like=True):
    """Health limits of a release: `error_margin` and `refusal_margin` are the excess of the failed and refused fraction
    of answers over members that are not updated yet; `latency_factor` is the factor of their response time.
    `min_answers`: answers of a class before it is judged."""

    errors: float = 0.02
    refusals: float = 0.10
    slower: float = 2.0
    least: int = 20


class Moved(msgspec.Struct, frozen=True, array_like=True):
    """A subject that a release has updated or is updating, and the version it had before."""

    subject: str
    before: str


class Release(msgspec.Struct, frozen=True, array_like=True):
    """A release plan and its progress. Times are seconds."""

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
    resumes: str = RUNNING  # status that `resume_release` restores


class State(msgspec.Struct, frozen=True, array_like=True):
    """`rev` increases with every change, `tokens` with every slot, release and steward replacement. `voters` decide on
    the next change. `stewards` assigns the parts of the fleet-wide limits."""

    schema: int = SCHEMA
    rev: int = 0
    tokens: int = 0
    slots: tuple[Slot, ...] = ()
    release: Release | None = None
    voters: tuple[str, ...] = ()
    offices: tuple[StewardAssignment, ...] = ()

    @property
    def under_way(self) -> Release | None:
        """The release if it is running or being undone, else None."""
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
    """Decodes a state. Raises ValueError if it is not a state of a known version."""
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
    """Encodes a state. Raises ChangeRefused if it is too large."""
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
    """Takes a slot for `subject`. At most `max_out` subjects of `group` may be out."""
    if state.of(subject) is not None:
        raise Refused(f"{subject} is out already")
    if state.out(group) >= most:
        raise Refused(f"no slot: {state.out(group)} of {group} are out, and max_out is {most}")
    # a booking worker is not informed: it is out as soon as it has the slot
    slot = Slot(group, subject, state.tokens + 1, by, group != DISPATCHERS, start, version, release)
    return _next(state, tokens=state.tokens + 1, slots=(*state.slots, slot))


def begin(state: State, token: int, start: float) -> State:
    """Marks the restart as begun. No other process may begin it again."""
    slot = state.slot(token)
    if slot is None or slot.begun:
        raise Refused("this step was taken back, or is done already")
    return _next(state, slots=tuple(_replace(s, begun=True, start=start) if s is slot else s for s in state.slots))


def free(state: State, token: int) -> State:
    """Frees a slot whose subject is back or whose lease has expired. In an undo, the subject then counts as
    restored."""
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
    """Cancels a drain on an operator's request.

    This is possible for a dispatcher that has not begun its restart, and for a booking worker if no release took its
    slot or that release is halted.
    """
    slot, r = state.of(subject), state.release
    if slot is None or (slot.release and (slot.group == DISPATCHERS or r is None or r.status != HALTED)):
        raise Refused(f"{subject} is not out by a drain")
    if slot.group == DISPATCHERS and slot.begun:
        raise Refused(f"{subject} is going already")
    state = free(state, slot.token)
    if r is not None and slot.release == r.id:  # the subject was not updated after all
        state = _replace(state, release=_replace(r, moved=tuple(m for m in r.moved if m.subject != subject)))
    return state


# ---- voters ---------------------------------------------------------------------------------------------


def add_voter(state: State, name: str) -> State:
    """Adds one voter. Voters change one at a time, so that any majority before the change and any majority after it
    intersect."""
    if name in state.voters:
        raise Refused(f"{name} is a voter already")
    if len(state.voters) >= MOST_VOTERS:
        raise Refused(f"there are {len(state.voters)} voters, and no more than {MOST_VOTERS} may be")
    return _next(state, voters=(*state.voters, name))


def drop_voter(state: State, name: str, there: Collection[str]) -> State:
    """Removes one voter. A majority of the remaining voters must be in `present`, the live dispatchers, since without
    one no further change could be agreed on."""
    if name not in state.voters:
        raise Refused(f"{name} is no voter")
    left = tuple(v for v in state.voters if v != name)
    if 2 * sum(v in there for v in left) <= len(left):
        raise Refused(f"of the voters left ({', '.join(left) or 'none'}) no majority would be there")
    return _next(state, voters=left)


def replace_steward(state: State, old: str, new: str) -> State:
    """Gives the part of the steward `old` to `new`. It grants shares once all grants that `old` may have made have
    expired."""
    names = [office.name for office in state.offices]
    if old not in names:
        raise Refused(f"{old} is no steward")
    if new in names:
        raise Refused(f"{new} is a steward already")
    token = state.tokens + 1
    return _next(
        state,
        tokens=token,
        offices=tuple(StewardAssignment(new, token) if office.name == old else office for office in state.offices),
    )


# ---- releases ------------------------------------------------------------------------------------------


def start(state: State, plan: Release) -> State:
    old = state.release
    if old is not None and old.status not in (DONE, UNDONE):
        raise Refused(f"a release to {old.version!r} is {old.status}: undo it or let it end")
    return _next(state, tokens=state.tokens + 1, release=_replace(plan, id=state.tokens + 1))


def halt(state: State, why: str, release: int = 0) -> State:
    """Halts the active release: no further update begins, and subjects that are out return. `release_id`: halt only
    this release."""
    r = state.under_way
    if r is None or release not in (0, r.id):
        raise Refused("no release is under way")
    slots, moved = _without_idle(state, r)
    return _next(state, slots=slots, release=_replace(r, status=HALTED, resumes=r.status, why=why, moved=moved))


def _without_idle(state: State, r: Release) -> tuple[tuple[Slot, ...], tuple[Moved, ...]]:
    """Returns the slots and updated subjects without the updates that were agreed on but have not begun."""
    idle = {s.token for s in state.slots if abs(s.release) == r.id and not s.begun}
    forward = {s.subject for s in state.slots if s.release == r.id and s.token in idle}
    return (tuple(s for s in state.slots if s.token not in idle), tuple(m for m in r.moved if m.subject not in forward))


def resume(state: State) -> State:
    """Resumes a halted release.

    A dispatcher that had begun its restart and is not back restarts again under a new token. It may have been killed
    before it stored the version it wants, and come back with the old one.
    """
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
    """Undoes the release within the same budget, starting with the subject updated last."""
    r = state.release
    if r is None or r.status not in (RUNNING, HALTED, DONE) or _way(r) == UNDOING:
        raise Refused("there is no release to undo")
    slots, moved = _without_idle(state, r)
    # A subject that is being updated returns with the new version first. `next_subjects` then sends it back.
    status = UNDOING if moved else UNDONE
    release = _replace(r, status=status, resumes=UNDOING, moved=moved, why="undone by hand")
    return _next(state, slots=slots, release=release)


def _way(release: Release) -> str:
    """Returns the direction of a release, even if it is halted."""
    return release.resumes if release.status == HALTED else release.status


def moves(state: State) -> list[str]:
    """Returns the subjects that may be updated next, in order. An undo handles one at a time, the last updated
    first."""
    r = state.under_way
    if r is None:
        return []
    if r.status == UNDOING:
        return [r.moved[-1].subject] if r.moved and state.of(r.moved[-1].subject) is None else []
    done, step = {m.subject for m in r.moved}, r.steps[r.at] if r.at < len(r.steps) else ()
    return [name for name in step if name not in done and state.of(name) is None]


def move(state: State, subject: str, most: int, by: str, begun: float, before: str) -> State:
    """Takes a slot for the next update of the release. `previous_version` is the version that `subject` runs now."""
    r = state.release
    if r is None or subject not in moves(state):
        raise Refused(f"{subject} is not to be moved now")
    version = r.version if r.status == RUNNING else next(m.before for m in r.moved if m.subject == subject)
    if r.group != DISPATCHERS:  # booking workers report no version: a restarted one counts as updated
        version = ""
    state = take(
        state, r.group, subject, min(most, r.max_out), by, begun, version, r.id if r.status == RUNNING else -r.id
    )
    if r.status == RUNNING:
        state = _replace(state, release=_replace(r, moved=(*r.moved, Moved(subject, before))))
    return state


def step_over(state: State) -> bool:
    """Returns whether all subjects of the current step are updated and back."""
    r = state.release
    return (
        r is not None
        and r.status == RUNNING
        and not moves(state)
        and not any(abs(s.release) == r.id for s in state.slots)
    )


def advance(state: State, at: int) -> State:
    """Ends the current step, number `step_index`, after it was healthy for its soak time."""
    r = state.release
    if r is None or r.at != at or not step_over(state):
        raise Refused("this step is not over, or is done already")
    status = DONE if at + 1 >= len(r.steps) else RUNNING
    return _next(state, release=_replace(r, at=at + 1, status=status))


def named(steps: Iterable[Iterable[str]]) -> list[str]:
    return [name for step in steps for name in step]
