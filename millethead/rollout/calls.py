"""Console endpoints of rollout. Each answers with the agreed state or with the reason for a refusal. A refused call
changes nothing."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Annotated, Any

from msgspec import Meta

from millethead.config import ConfigError
from millethead.console.calls import CallHandler, json_reply
from millethead.members.setup import Name
from millethead.net.accept import Reply
from millethead.net.parse import Request
from millethead.rollout import state as fleet_state
from millethead.rollout.agreement import CHANGE_TIMEOUT_S, NoMajority
from millethead.rollout.register import ChangeRefused
from millethead.rollout.report import fleet_page
from millethead.rollout.shell import Rollout
from millethead.rollout.state import DISPATCHERS, MAX_SUBJECTS, HealthLimits, Release, State
from millethead.tables import Table, read_table

Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class UnknownName(Exception):
    """Raised if no dispatcher or booking worker has the given name."""


class SubjectName(Table, frozen=True, kw_only=True):
    """Body that names one dispatcher or one booking worker."""

    member: Annotated[str, Meta(min_length=1, max_length=256)] = ""
    worker: Annotated[str, Meta(min_length=1, max_length=256)] = ""

    @property
    def name(self) -> str:
        return self.member or self.worker


class VoterChange(Table, frozen=True, kw_only=True):
    """Body that adds or removes one voter."""

    add: Annotated[str, Meta(max_length=64)] = ""
    remove: Annotated[str, Meta(max_length=64)] = ""


class StewardChange(Table, frozen=True, kw_only=True):
    """Body that gives a steward's part of the fleet-wide limits to another dispatcher."""

    replace: Annotated[str, Meta(min_length=1, max_length=64)]
    by: Annotated[str, Meta(min_length=1, max_length=64)]


class HealthSettings(Table, frozen=True, kw_only=True):
    """Health limits of a release: excess of the failed and of the refused fraction of answers over members that are not
    updated yet, factor of their response time, and the number of answers of a class before it is judged."""

    errors: Fraction = 0.02
    refusals: Fraction = 0.10
    slower: Annotated[float, Meta(ge=1, le=1000)] = 2.0
    least: Annotated[int, Meta(ge=1, le=1_000_000)] = 20


class Plan(Table, frozen=True, kw_only=True):
    """Body that starts a release: of dispatchers to `version`, or of the booking workers of a `pool`, which are
    restarted by whatever supervises them."""

    steps: Annotated[list[Annotated[list[Name], Meta(min_length=1)]], Meta(min_length=1, max_length=MAX_SUBJECTS)]
    version: Annotated[str, Meta(max_length=64)] = ""
    pool: Annotated[str, Meta(max_length=64)] = ""
    max_out: Annotated[int, Meta(ge=1, le=1000)] = 1
    soak_s: Seconds = 60.0
    back_s: Seconds | None = None
    health: HealthSettings = HealthSettings()


class EmptyBody(Table, frozen=True):
    """Empty body, or {}."""


def fleet_calls(rollout: Rollout) -> dict[str, tuple[str, CallHandler]]:
    """Returns the endpoints: path -> (method, handler)."""
    endpoints = FleetEndpoints(rollout)
    posts: dict[str, Callable[[Any], Awaitable[State]]] = {
        "/fleet/drain": endpoints.drain,
        "/fleet/release": endpoints.release,
        "/fleet/halt": endpoints.halt,
        "/fleet/resume": endpoints.resume,
        "/fleet/undo": endpoints.undo,
        "/fleet/voters": endpoints.voters,
        "/fleet/stewards": endpoints.stewards,
    }
    return {
        "/fleet": ("GET", endpoints.page),
        **{path: ("POST", partial(endpoints.post, handler)) for path, handler in posts.items()},
    }


class FleetEndpoints:
    """Handlers of the console calls under /fleet."""

    def __init__(self, rollout: Rollout) -> None:
        self.rollout = rollout

    async def page(self, request: Request) -> Reply:
        return json_reply(200, fleet_page(self.rollout))

    async def post(self, handler: Callable[[Any], Awaitable[State]], request: Request) -> Reply:
        """Runs a call and maps its errors to a status. 409: the change was refused; 503: no majority answered; 400 and
        404: invalid call."""
        try:
            raw = json.loads(request.body or b"{}")
        except (ValueError, RecursionError):
            return _refusal(400, "a JSON object is wanted")
        try:
            state = await handler(raw)
        except ConfigError as error:
            return _refusal(400, str(error))
        except UnknownName as error:
            return _refusal(404, str(error))
        except ChangeRefused as error:
            return _refusal(409, str(error))
        except NoMajority as error:
            return _refusal(503, str(error))
        return json_reply(200, {"agreed": True, "rev": state.rev, **fleet_page(self.rollout)})

    # ---- handlers ---------------------------------------------------------------------------------------

    async def drain(self, raw: Any) -> State:
        named, rollout = read_table(raw, SubjectName, "drain"), self.rollout
        if bool(named.member) == bool(named.worker):
            raise ConfigError('drain: {"member":"NAME"} (a dispatcher) or {"worker":"ID"} (a booking worker) is wanted')
        if named.worker:
            found = rollout.host.workers().get(named.worker)
            if found is None:
                raise UnknownName(f"no booking worker {named.worker!r} is in the list")
            group, process_start = rollout.group_of(named.worker), found[1].process_start
        else:
            present_start = self._dispatchers().get(named.member)
            if present_start is None:
                raise UnknownName(f"no dispatcher {named.member!r} is there: see GET /members")
            group, process_start = DISPATCHERS, present_start
        max_out = rollout.max_out(group)
        return await rollout.change(
            lambda state: fleet_state.take_slot(state, group, named.name, max_out, rollout.me, process_start)
        )

    async def release(self, raw: Any) -> State:
        plan, rollout = read_table(raw, Plan, "release"), self.rollout
        names = fleet_state.all_subjects(plan.steps)
        if bool(plan.version) == bool(plan.pool):
            raise ConfigError("release: version (of dispatchers) or pool (of booking workers) is wanted, one of them")
        if len(set(names)) < len(names) or len(names) > MAX_SUBJECTS:
            raise ConfigError(f"release.steps: each member once, and at most {MAX_SUBJECTS} in all, is wanted")
        workers = rollout.host.workers()
        known = (
            set(self._dispatchers())
            if plan.version
            else {name for name, (kind, _) in workers.items() if kind == plan.pool}
        )
        if unknown := [name for name in names if name not in known]:
            what = "dispatcher is there" if plan.version else f"booking worker of the type {plan.pool!r} is listed"
            raise UnknownName(f"release.steps: no {what} with the name {', '.join(unknown)}")
        group = DISPATCHERS if plan.version else rollout.group_of(names[0])
        if rollout.max_out(group) < 1:
            raise ChangeRefused(f"no slot: max_out of {group} is 0")
        limits = HealthLimits(plan.health.errors, plan.health.refusals, plan.health.slower, plan.health.least)
        return_timeout_s = rollout.setup.back / 1000 if plan.back_s is None else plan.back_s
        release = Release(
            0,
            group,
            plan.version,
            tuple(tuple(step) for step in plan.steps),
            plan.max_out,
            plan.soak_s,
            return_timeout_s,
            limits,
        )
        return await rollout.change(lambda state: fleet_state.start_release(state, release))

    async def halt(self, raw: Any) -> State:
        read_table(raw, EmptyBody, "halt")
        return await self.rollout.change(lambda state: fleet_state.halt_release(state, "halted by hand"))

    async def resume(self, raw: Any) -> State:
        read_table(raw, EmptyBody, "resume")
        return await self.rollout.change(fleet_state.resume_release)

    async def undo(self, raw: Any) -> State:
        """Undoes the release, or cancels the drain of the named member."""
        named = read_table(raw, SubjectName, "undo")
        if named.name:
            return await self.rollout.change(lambda state: fleet_state.cancel_drain(state, named.name))
        return await self.rollout.change(fleet_state.undo_release)

    async def voters(self, raw: Any) -> State:
        named, rollout = read_table(raw, VoterChange, "voters"), self.rollout
        if bool(named.add) == bool(named.remove):
            raise ConfigError('voters: {"add":"NAME"} or {"remove":"NAME"} is wanted, one of them')
        if named.remove:
            return await rollout.change(
                lambda state: fleet_state.remove_voter(state, named.remove, self._dispatchers())
            )
        if named.add not in self._dispatchers():
            raise UnknownName(f"no dispatcher {named.add!r} is there: see GET /members")
        if named.add not in rollout.voters and not await rollout.answers_as_voter(named.add, CHANGE_TIMEOUT_S / 2):
            raise ChangeRefused(f"{named.add} does not answer as a voter: its file needs [rollout]")
        return await rollout.change(lambda state: fleet_state.add_voter(state, named.add), CHANGE_TIMEOUT_S / 2)

    async def stewards(self, raw: Any) -> State:
        named = read_table(raw, StewardChange, "stewards")
        if named.by not in self._dispatchers():
            raise UnknownName(f"no dispatcher {named.by!r} is there: see GET /members")
        return await self.rollout.change(lambda state: fleet_state.replace_steward(state, named.replace, named.by))

    def _dispatchers(self) -> dict[str, float]:
        """Returns the live dispatchers with the start time of each process."""
        views = self.rollout.views()
        return {name: views[name].process_start for name in self.rollout.members.swim.member_names()}


def _refusal(status: int, reason: str) -> Reply:
    return json_reply(status, {"agreed": False, "why": reason})
