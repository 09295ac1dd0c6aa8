"""The state that the fleet agrees on, and its changes: pure functions of the old state that raise ChangeRefused.

A member or booking worker that takes part is called a subject. A slot is the permission for one subject to be out of
service.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from millethead.members.steward_role import StewardAssignment
from millethead.rollout.register import ChangeRefused

SCHEMA_VERSION = 2  # version 1 had no voters and no stewards
MAX_STATE_BYTES = 12_000  # the state must fit one datagram
MAX_SUBJECTS = 64  # members in one release plan
MAX_VOTERS = 15
DISPATCHERS = "dispatchers"
RUNNING, HALTED, UNDOING, DONE, UNDONE = "running", "halted", "undoing", "done", "undone"


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """A subject is out of service, or about to be.

    `token` is never used twice. `restart_begun` is set once, when the subject begins its restart. `process_start` is
    the start time of the process that leaves; a process with a later start is the returned subject. `version` is the
    version it has to return with, if any. `release` is the id of the release that this slot belongs to, negative while
    the release is undone, and 0 for a drain.
    """

    group: str
    subject: str
    token: int
    requested_by: str = ""
    restart_begun: bool = False
    process_start: float = 0.0
    version: str = ""
    release: int = 0


class HealthLimits(msgspec.Struct, frozen=True, array_like=True):
    """Health limits of a release: `error_margin` and `refusal_margin` are the excess of the failed and refused fraction
    of answers over members that are not updated yet; `latency_factor` is the factor of their response time.
    `min_answers`: answers of a class before it is judged."""

    error_margin: float = 0.02
    refusal_margin: float = 0.10
    latency_factor: float = 2.0
    min_answers: int = 20


class UpdatedSubject(msgspec.Struct, frozen=True, array_like=True):
    """A subject that a release has updated or is updating, and the version it had before."""

    subject: str
    previous_version: str


class Release(msgspec.Struct, frozen=True, array_like=True):
    """A release plan and its progress. Times are seconds."""

    id: int
    group: str
    version: str
    steps: tuple[tuple[str, ...], ...]
    max_out: int
    soak_s: float
    return_timeout_s: float
    health: HealthLimits = HealthLimits()
    step_index: int = 0
    updated: tuple[UpdatedSubject, ...] = ()
    status: str = RUNNING
    reason: str = ""
    resume_status: str = RUNNING  # status that `resume_release` restores


class State(msgspec.Struct, frozen=True, array_like=True):
    """`rev` increases with every change, `last_token` with every slot, release and steward replacement. `voters` decide
    on the next change. `stewards` assigns the parts of the fleet-wide limits."""

    schema: int = SCHEMA_VERSION
    rev: int = 0
    last_token: int = 0
    slots: tuple[Slot, ...] = ()
    release: Release | None = None
    voters: tuple[str, ...] = ()
    stewards: tuple[StewardAssignment, ...] = ()

    @property
    def active_release(self) -> Release | None:
        """The release if it is running or being undone, else None."""
        release = self.release
        return release if release is not None and release.status in (RUNNING, UNDOING) else None

    def out_count(self, group: str) -> int:
        """Returns the number of slots of a group in use."""
        return sum(slot.group == group for slot in self.slots)

    def slot_by_token(self, token: int) -> Slot | None:
        """Returns the slot with the given token, if there is one."""
        return next((s for s in self.slots if s.token == token), None)

    def slot_of(self, subject: str) -> Slot | None:
        """Returns the slot of a subject, if it has one."""
        return next((s for s in self.slots if s.subject == subject), None)


_decoder = msgspec.msgpack.Decoder(State)
_encode = msgspec.msgpack.Encoder().encode
_replace = msgspec.structs.replace


def decode_state(value: bytes) -> State:
    """Decodes a state. Raises ValueError if it is not a state of a known version."""
    if not value:
        return State()
    try:
        state = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not a state: {error}") from None
    if state.schema not in (1, SCHEMA_VERSION):
        raise ValueError(f"a state of version {state.schema}, not {SCHEMA_VERSION}")
    return _replace(state, schema=SCHEMA_VERSION)


def encode_state(state: State) -> bytes:
    """Encodes a state. Raises ChangeRefused if it is too large."""
    value = _encode(state)
    if len(value) > MAX_STATE_BYTES:
        raise ChangeRefused(f"the state would take {len(value)} bytes, more than {MAX_STATE_BYTES}")
    return value


def _with_changes(state: State, **changes: object) -> State:
    return _replace(state, rev=state.rev + 1, **changes)


# ---- slots ---------------------------------------------------------------------------------------------


def take_slot(
    state: State,
    group: str,
    subject: str,
    max_out: int,
    by: str,
    process_start: float = 0.0,
    version: str = "",
    release: int = 0,
) -> State:
    """Takes a slot for `subject`. At most `max_out` subjects of `group` may be out."""
    if state.slot_of(subject) is not None:
        raise ChangeRefused(f"{subject} is out already")
    if state.out_count(group) >= max_out:
        raise ChangeRefused(f"no slot: {state.out_count(group)} of {group} are out, and max_out is {max_out}")
    # a booking worker is not informed: it is out as soon as it has the slot
    slot = Slot(group, subject, state.last_token + 1, by, group != DISPATCHERS, process_start, version, release)
    return _with_changes(state, last_token=state.last_token + 1, slots=(*state.slots, slot))


def begin_restart(state: State, token: int, process_start: float) -> State:
    """Marks the restart as begun. No other process may begin it again."""
    slot = state.slot_by_token(token)
    if slot is None or slot.restart_begun:
        raise ChangeRefused("this step was taken back, or is done already")
    return _with_changes(
        state,
        slots=tuple(
            _replace(s, restart_begun=True, process_start=process_start) if s is slot else s for s in state.slots
        ),
    )


def free_slot(state: State, token: int) -> State:
    """Frees a slot whose subject is back or whose lease has expired. In an undo, the subject then counts as
    restored."""
    slot = state.slot_by_token(token)
    if slot is None:
        raise ChangeRefused("no such slot")
    state = _with_changes(state, slots=tuple(s for s in state.slots if s is not slot))
    release = state.release
    if release is not None and slot.release == -release.id:
        remaining = tuple(update for update in release.updated if update.subject != slot.subject)
        release = _replace(release, updated=remaining)
        state = _replace(state, release=release if remaining else _replace(release, status=UNDONE, reason="undone"))
    return state


def cancel_drain(state: State, subject: str) -> State:
    """Cancels a drain on an operator's request.

    This is possible for a dispatcher that has not begun its restart, and for a booking worker if no release took its
    slot or that release is halted.
    """
    slot, release = state.slot_of(subject), state.release
    if slot is None or (slot.release and (slot.group == DISPATCHERS or release is None or release.status != HALTED)):
        raise ChangeRefused(f"{subject} is not out by a drain")
    if slot.group == DISPATCHERS and slot.restart_begun:
        raise ChangeRefused(f"{subject} is going already")
    state = free_slot(state, slot.token)
    if release is not None and slot.release == release.id:  # the subject was not updated after all
        state = _replace(
            state,
            release=_replace(release, updated=tuple(update for update in release.updated if update.subject != subject)),
        )
    return state


# ---- voters ---------------------------------------------------------------------------------------------


def add_voter(state: State, name: str) -> State:
    """Adds one voter. Voters change one at a time, so that any majority before the change and any majority after it
    intersect."""
    if name in state.voters:
        raise ChangeRefused(f"{name} is a voter already")
    if len(state.voters) >= MAX_VOTERS:
        raise ChangeRefused(f"there are {len(state.voters)} voters, and no more than {MAX_VOTERS} may be")
    return _with_changes(state, voters=(*state.voters, name))


def remove_voter(state: State, name: str, present: Collection[str]) -> State:
    """Removes one voter. A majority of the remaining voters must be in `present`, the live dispatchers, since without
    one no further change could be agreed on."""
    if name not in state.voters:
        raise ChangeRefused(f"{name} is no voter")
    remaining = tuple(v for v in state.voters if v != name)
    if 2 * sum(v in present for v in remaining) <= len(remaining):
        raise ChangeRefused(f"of the voters left ({', '.join(remaining) or 'none'}) no majority would be there")
    return _with_changes(state, voters=remaining)


def replace_steward(state: State, old: str, new: str) -> State:
    """Gives the part of the steward `old` to `new`. It grants shares once all grants that `old` may have made have
    expired."""
    names = [steward.name for steward in state.stewards]
    if old not in names:
        raise ChangeRefused(f"{old} is no steward")
    if new in names:
        raise ChangeRefused(f"{new} is a steward already")
    token = state.last_token + 1
    return _with_changes(
        state,
        last_token=token,
        stewards=tuple(StewardAssignment(new, token) if steward.name == old else steward for steward in state.stewards),
    )


# ---- releases ------------------------------------------------------------------------------------------


def start_release(state: State, plan: Release) -> State:
    """Starts a release, unless an earlier one is unfinished."""
    old = state.release
    if old is not None and old.status not in (DONE, UNDONE):
        raise ChangeRefused(f"a release to {old.version!r} is {old.status}: undo it or let it end")
    return _with_changes(state, last_token=state.last_token + 1, release=_replace(plan, id=state.last_token + 1))


def halt_release(state: State, reason: str, release_id: int = 0) -> State:
    """Halts the active release: no further update begins, and subjects that are out return. `release_id`: halt only
    this release."""
    release = state.active_release
    if release is None or release_id not in (0, release.id):
        raise ChangeRefused("no release is under way")
    slots, updated = _without_unbegun(state, release)
    return _with_changes(
        state,
        slots=slots,
        release=_replace(release, status=HALTED, resume_status=release.status, reason=reason, updated=updated),
    )


def _without_unbegun(state: State, release: Release) -> tuple[tuple[Slot, ...], tuple[UpdatedSubject, ...]]:
    """Returns the slots and updated subjects without the updates that were agreed on but have not begun."""
    unbegun_tokens = {s.token for s in state.slots if abs(s.release) == release.id and not s.restart_begun}
    unbegun_subjects = {s.subject for s in state.slots if s.release == release.id and s.token in unbegun_tokens}
    return (
        tuple(s for s in state.slots if s.token not in unbegun_tokens),
        tuple(update for update in release.updated if update.subject not in unbegun_subjects),
    )


def resume_release(state: State) -> State:
    """Resumes a halted release.

    A dispatcher that had begun its restart and is not back restarts again under a new token. It may have been killed
    before it stored the version it wants, and come back with the old one.
    """
    release = state.release
    if release is None or release.status != HALTED:
        raise ChangeRefused("no release is halted")
    slots, last_token = list[Slot](), state.last_token
    for slot in state.slots:
        if abs(slot.release) == release.id and slot.group == DISPATCHERS:
            last_token += 1
            slot = _replace(slot, restart_begun=False, token=last_token)
        slots.append(slot)
    return _with_changes(
        state,
        last_token=last_token,
        slots=tuple(slots),
        release=_replace(release, status=release.resume_status, reason=""),
    )


def undo_release(state: State) -> State:
    """Undoes the release within the same budget, starting with the subject updated last."""
    release = state.release
    if release is None or release.status not in (RUNNING, HALTED, DONE) or _direction(release) == UNDOING:
        raise ChangeRefused("there is no release to undo")
    slots, updated = _without_unbegun(state, release)
    # A subject that is being updated returns with the new version first. `next_subjects` then sends it back.
    status = UNDOING if updated else UNDONE
    release = _replace(release, status=status, resume_status=UNDOING, updated=updated, reason="undone by hand")
    return _with_changes(state, slots=slots, release=release)


def _direction(release: Release) -> str:
    """Returns the direction of a release, even if it is halted."""
    return release.resume_status if release.status == HALTED else release.status


def next_subjects(state: State) -> list[str]:
    """Returns the subjects that may be updated next, in order. An undo handles one at a time, the last updated
    first."""
    release = state.active_release
    if release is None:
        return []
    if release.status == UNDOING:
        return (
            [release.updated[-1].subject]
            if release.updated and state.slot_of(release.updated[-1].subject) is None
            else []
        )
    done = {update.subject for update in release.updated}
    step = release.steps[release.step_index] if release.step_index < len(release.steps) else ()
    return [name for name in step if name not in done and state.slot_of(name) is None]


def take_update_slot(
    state: State, subject: str, max_out: int, by: str, process_start: float, previous_version: str
) -> State:
    """Takes a slot for the next update of the release. `previous_version` is the version that `subject` runs now."""
    release = state.release
    if release is None or subject not in next_subjects(state):
        raise ChangeRefused(f"{subject} is not to be moved now")
    version = (
        release.version
        if release.status == RUNNING
        else next(update.previous_version for update in release.updated if update.subject == subject)
    )
    if release.group != DISPATCHERS:  # booking workers report no version: a restarted one counts as updated
        version = ""
    state = take_slot(
        state,
        release.group,
        subject,
        min(max_out, release.max_out),
        by,
        process_start,
        version,
        release.id if release.status == RUNNING else -release.id,
    )
    if release.status == RUNNING:
        state = _replace(
            state, release=_replace(release, updated=(*release.updated, UpdatedSubject(subject, previous_version)))
        )
    return state


def is_step_finished(state: State) -> bool:
    """Returns whether all subjects of the current step are updated and back."""
    release = state.release
    return (
        release is not None
        and release.status == RUNNING
        and not next_subjects(state)
        and not any(abs(s.release) == release.id for s in state.slots)
    )


def finish_step(state: State, step_index: int) -> State:
    """Ends the current step, number `step_index`, after it was healthy for its soak time."""
    release = state.release
    if release is None or release.step_index != step_index or not is_step_finished(state):
        raise ChangeRefused("this step is not over, or is done already")
    status = DONE if step_index + 1 >= len(release.steps) else RUNNING
    return _with_changes(state, release=_replace(release, step_index=step_index + 1, status=status))


def all_subjects(steps: Iterable[Iterable[str]]) -> list[str]:
    """Returns the subjects of all steps, in order."""
    return [name for step in steps for name in step]
