"""Console endpoints of rollout. Each answers with the agreed state or with the reason for a refusal. A refused call
changes nothing."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Annotated, Any

from msgspec import Meta

from millethead.config import ConfigError
from millethead.console.calls import Part, json_reply
from millethead.members.setup import Name
from millethead.net.accept import Reply
from millethead.net.parse import Request
from millethead.rollout import state as agreed
from millethead.rollout.agreement import TRY, NoMajority
from millethead.rollout.register import Refused
from millethead.rollout.report import fleet_page
from millethead.rollout.shell import Rollout
from millethead.rollout.state import DISPATCHERS, MOST_NAMED, Health, Release, State
from millethead.tables import Table, read_table

Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Part1 = Annotated[float, Meta(ge=0, le=1)]


class Unknown(Exception):
    """Raised if no dispatcher or booking worker has the given name."""


class Named(Table, frozen=True, kw_only=True):
    """Body that names one dispatcher or one booking worker."""

    member: Annotated[str, Meta(min_length=1, max_length=256)] = ""
    worker: Annotated[str, Meta(min_length=1, max_length=256)] = ""

    @property
    def name(self) -> str:
        return self.member or self.worker


class Voter(Table, frozen=True, kw_only=True):
    """Body that adds or removes one voter."""

    add: Annotated[str, Meta(max_length=64)] = ""
    remove: Annotated[str, Meta(max_length=64)] = ""


class Heir(Table, frozen=True, kw_only=True):
    """Body that gives a steward's part of the fleet-wide limits to another dispatcher."""

    replace: Annotated[str, Meta(min_length=1, max_length=64)]
    by: Annotated[str, Meta(min_length=1, max_length=64)]


class Limits(Table, frozen=True, kw_only=True):
    """Health limits of a release: excess of the failed and of the refused fraction of answers over members that are not
    updated yet, factor of their response time, and the number of answers of a class before it is judged."""

    errors: Part1 = 0.02
    refusals: Part1 = 0.10
    slower: Annotated[float, Meta(ge=1, le=1000)] = 2.0
    least: Annotated[int, Meta(ge=1, le=1_000_000)] = 20


class Plan(Table, frozen=True, kw_only=True):
    """Body that starts a release: of dispatchers to `version`, or of the booking workers of a `pool`, which are
    restarted by whatever supervises them."""

    steps: Annotated[list[Annotated[list[Name], Meta(min_length=1)]], Meta(min_length=1, max_length=MOST_NAMED)]
    version: Annotated[str, Meta(max_length=64)] = ""
    pool: Annotated[str, Meta(max_length=64)] = ""
    max_out: Annotated[int, Meta(ge=1, le=1000)] = 1
    soak_s: Seconds = 60.0
    back_s: Seconds | None = None
    health: Limits = Limits()


class Nothing(Table, frozen=True):
    """Empty body, or {}."""


def fleet_calls(rollout: Rollout) -> dict[str, tuple[str, Part]]:
    """Returns the endpoints: path -> (method, handler)."""
    desk = FleetDesk(rollout)
    posts: dict[str, Callable[[Any], Awaitable[State]]] = {
        "/fleet/drain": desk.drain,
        "/fleet/release": desk.release,
        "/fleet/halt": desk.halt,
        "/fleet/resume": desk.resume,
        "/fleet/undo": desk.undo,
        "/fleet/voters": desk.voters,
        "/fleet/stewards": desk.stewards,
    }
    return {"/fleet": ("GET", desk.page), **{path: ("POST", partial(desk.post, do)) for path, do in posts.items()}}


class FleetDesk:
    def __init__(self, rollout: Rollout) -> None:
        self.rollout = rollout

    async def page(self, request: Request) -> Reply:
        return json_reply(200, fleet_page(self.rollout))

    async def post(self, do: Callable[[Any], Awaitable[State]], request: Request) -> Reply:
        """Runs a call and maps its errors to a status. 409: the change was refused; 503: no majority answered; 400 and
        404: invalid call."""
        try:
            raw = json.loads(request.body or b"{}")
        except (ValueError, RecursionError):
            return _no(400, "a JSON object is wanted")
        try:
            state = await do(raw)
        except ConfigError as why:
            return _no(400, str(why))
        except Unknown as why:
            return _no(404, str(why))
        except Refused as why:
            return _no(409, str(why))
        except NoMajority as why:
            return _no(503, str(why))
        return json_reply(200, {"agreed": True, "rev": state.rev, **fleet_page(self.rollout)})

    # ---- the calls ---------------------------------------------------------------------------------------

    async def drain(self, raw: Any) -> State:
        named, rollout = read_table(raw, Named, "drain"), self.rollout
        if bool(named.member) == bool(named.worker):
            raise ConfigError('drain: {"member":"NAME"} (a dispatcher) or {"worker":"ID"} (a booking worker) is wanted')
        if named.worker:
            found = rollout.host.workers().get(named.worker)
            if found is None:
                raise Unknown(f"no booking worker {named.worker!r} is in the list")
            group, start = rollout.group_of(named.worker), found[1].start
        else:
            view = self._dispatchers().get(named.member)
            if view is None:
                raise Unknown(f"no dispatcher {named.member!r} is there: see GET /members")
            group, start = DISPATCHERS, view
        most = rollout.most(group)
        return await rollout.change(lambda s: agreed.take(s, group, named.name, most, rollout.me, start))

    async def release(self, raw: Any) -> State:
        plan, rollout = read_table(raw, Plan, "release"), self.rollout
        names = agreed.named(plan.steps)
        if bool(plan.version) == bool(plan.pool):
            raise ConfigError("release: version (of dispatchers) or pool (of booking workers) is wanted, one of them")
        if len(set(names)) < len(names) or len(names) > MOST_NAMED:
            raise ConfigError(f"release.steps: each member once, and at most {MOST_NAMED} in all, is wanted")
        workers = rollout.host.workers()
        known = (
            set(self._dispatchers())
            if plan.version
            else {name for name, (kind, _) in workers.items() if kind == plan.pool}
        )
        if strangers := [name for name in names if name not in known]:
            what = "dispatcher is there" if plan.version else f"booking worker of the type {plan.pool!r} is listed"
            raise Unknown(f"release.steps: no {what} with the name {', '.join(strangers)}")
        group = DISPATCHERS if plan.version else rollout.group_of(names[0])
        if rollout.most(group) < 1:
            raise Refused(f"no slot: max_out of {group} is 0")
        limits = Health(plan.health.errors, plan.health.refusals, plan.health.slower, plan.health.least)
        back = rollout.setup.back / 1000 if plan.back_s is None else plan.back_s
        release = Release(
            0, group, plan.version, tuple(tuple(s) for s in plan.steps), plan.max_out, plan.soak_s, back, limits
        )
        return await rollout.change(lambda s: agreed.start(s, release))

    async def halt(self, raw: Any) -> State:
        read_table(raw, Nothing, "halt")
        return await self.rollout.change(lambda s: agreed.halt(s, "halted by hand"))

    async def resume(self, raw: Any) -> State:
        read_table(raw, Nothing, "resume")
        return await self.rollout.change(agreed.resume)

    async def undo(self, raw: Any) -> State:
        """Undoes the release, or cancels the drain of the named member."""
        named = read_table(raw, Named, "undo")
        if named.name:
            return await self.rollout.change(lambda s: agreed.call_back(s, named.name))
        return await self.rollout.change(agreed.undo)

    async def voters(self, raw: Any) -> State:
        named, rollout = read_table(raw, Voter, "voters"), self.rollout
        if bool(named.add) == bool(named.remove):
            raise ConfigError('voters: {"add":"NAME"} or {"remove":"NAME"} is wanted, one of them')
        if named.remove:
            return await rollout.change(lambda s: agreed.drop_voter(s, named.remove, self._dispatchers()))
        if named.add not in self._dispatchers():
            raise Unknown(f"no dispatcher {named.add!r} is there: see GET /members")
        if named.add not in rollout.voters and not await rollout.votes(named.add, TRY / 2):
            raise Refused(f"{named.add} does not answer as a voter: its file needs [rollout]")
        return await rollout.change(lambda s: agreed.add_voter(s, named.add), TRY / 2)

    async def stewards(self, raw: Any) -> State:
        named = read_table(raw, Heir, "stewards")
        if named.by not in self._dispatchers():
            raise Unknown(f"no dispatcher {named.by!r} is there: see GET /members")
        return await self.rollout.change(lambda s: agreed.replace_steward(s, named.replace, named.by))

    def _dispatchers(self) -> dict[str, float]:
        """Returns the live dispatchers with the start time of each process."""
        views = self.rollout.views()
        return {name: views[name].start for name in self.rollout.members.swim.member_names()}


def _no(status: int, why: str) -> Reply:
    return json_reply(status, {"agreed": False, "why": why})
