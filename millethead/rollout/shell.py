"""Input and output of rollout: messages over membership's socket, and a timer.

The decisions are in other modules: register.py and agreement.py (consensus), state.py (the agreed state), driver.py
(the next changes), release_health.py (health of a release).
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Coroutine, Mapping
from pathlib import Path
from typing import Any, Protocol

import msgspec
import structlog

from millethead.config import ConfigError
from millethead.members.offices import StewardAssignment
from millethead.members.shell import Members
from millethead.members.wire import DatagramCodec
from millethead.rollout import state as agreed
from millethead.rollout.agreement import TRY, Agreement, NoMajority
from millethead.rollout.driver import Change, Driver, View
from millethead.rollout.health import Counts
from millethead.rollout.judging import Judging
from millethead.rollout.notes import MARK, MOST, Note
from millethead.rollout.register import Refused
from millethead.rollout.setup import RolloutSetup, most_out
from millethead.rollout.state import DISPATCHERS, Release, State
from millethead.rollout.store import Store, write_lasting

log = structlog.get_logger("rollout")
TICK, PUSH, ASK_HEALTH = 0.1, 1.0, 0.3  # s
WORKERS = "workers:"


class Host(Protocol):
    """What rollout needs from the program."""

    def leave(self) -> None:
        """Shuts the process down in an orderly way. The process supervisor starts the next one."""

    def fleet_out(self, names: frozenset[str]) -> None:
        """Excludes exactly these booking workers from use."""

    def workers(self) -> Mapping[str, tuple[str, View]]:
        """Returns the listed booking workers: name -> (type, view of this dispatcher)."""

    def counts(self) -> list[Counts]:
        """Returns this dispatcher's answers by class."""

    def worker_counts(self) -> Mapping[str, list[Counts]]:
        """Returns the outcomes of this dispatcher's attempts by booking worker and class."""

    def probe(self, worker: str) -> None:
        """Probes an excluded booking worker, to find out whether it serves again."""


class Rollout:
    def __init__(self, setup: RolloutSetup, members: Members, host: Host, kinds: list[str], classes: list[str]) -> None:
        for kind in setup.pools:
            if kind not in kinds:
                raise ConfigError(f"rollout.pools: one of {', '.join(kinds)} is wanted, not {kind!r}")
        self.setup, self.members, self.host, self.classes = setup, members, host, classes
        self.me = members.me.name
        self.state, self.learned = State(), False
        store = Store(Path(setup.folder), self.me)
        process = f"{self.me}@{members.me.start}"  # a restarted process never reuses a ballot of the previous one
        self._agreement = Agreement(self.me, process, tuple(setup.voters), store, self)
        self._heard_of = self._agreement.accepted_voters
        self.driver = Driver(self.me, setup.lease / 1000)
        self._codec = DatagramCodec(members.setup.key(), members.setup.fleet, Note, MARK, MOST)
        self._random = random.Random(f"{self.me}{members.me.start}")
        self._tasks: set[asyncio.Task[Any]] = set()
        self._judging = Judging(self.me, self._tables, classes)
        self._going = False
        self._not_stored = 0  # token of the slot whose version file could not be written
        self._pushed = self._asked = self._confirms = 0.0
        members.prefix_handler = (MARK, self._datagram)

    def start(self) -> None:
        self.spawn(self._beat())

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs `work` in the background until the program ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- agreeing ------------------------------------------------------------------------------------------

    async def change(self, change: Change, seconds: float = TRY) -> State:
        """Proposes a change until it is agreed on, and returns the resulting state. Raises ChangeRefused with the
        reason if the change does not apply, and NoMajority."""
        return await self._agreement.change(change, seconds)

    async def votes(self, name: str, seconds: float = TRY) -> bool:
        """Returns whether a dispatcher answers requests to voters. Checked before it becomes a voter."""
        return await self._agreement.votes(name, seconds)

    def agreed(self, state: State) -> State:
        """Applies a state agreed on by this dispatcher's proposal and sends it to the others. Returns the newest known
        state."""
        self._learn(state)
        self._push()
        return self.state

    def begun(self, state: State) -> State:
        """Returns the state with the configured voters and stewards filled in where none were agreed on yet."""
        return msgspec.structs.replace(
            state,
            voters=state.voters or tuple(self.setup.voters),
            offices=state.offices or tuple(StewardAssignment(name) for name in self.members.setup.stewards),
        )

    @property
    def voters(self) -> tuple[str, ...]:
        """The current voters as far as this dispatcher knows: those agreed on, or else the configured ones."""
        return self.state.voters or self._heard_of or tuple(self.setup.voters)

    # ---- messages ----------------------------------------------------------------------------------------

    def tell(self, name: str, note: Note) -> None:
        """Sends a message to a dispatcher, if membership knows its address."""
        peer = self.members.swim.peers.get(name)
        if peer is not None:
            self.members.send_raw(peer.record.address, self._codec.encode(note))

    def _datagram(self, data: bytes) -> None:
        """Handles a received datagram. Raises DatagramDropped, which membership counts."""
        note = self._codec.decode(data)
        if note.kind == "ask" and note.word is not None:
            self.spawn(self._agreement.vote(note.sender, note.seq, note.word))
        elif note.kind == "answer" and note.word is not None:
            self._agreement.answered(note.sender, note.seq, note.word)
        elif note.kind == "state":
            try:
                self._learn(agreed.read(note.value))
            except ValueError as why:
                log.warning("rollout_state_unusable", why=str(why))
        elif note.kind == "health":
            self.tell(note.sender, Note("counts", note.seq, self.me, tables=self._tables()))
        elif note.kind == "counts":
            self._judging.told(note.sender, note.tables)

    def _tables(self) -> dict[str, list[Counts]]:
        """Returns this dispatcher's counts for judging a release: its own answers, or the outcomes by booking
        worker."""
        release = self.state.release
        if release is None or release.group == DISPATCHERS:
            return {self.me: self.host.counts()}
        named, counts = set(agreed.named(release.steps)), self.host.worker_counts()
        return {name: table for name, table in counts.items() if name in named}

    def _push(self) -> None:
        self._pushed = time.monotonic()
        note = Note("state", 0, self.me, value=agreed.write(self.state))
        for name in self.members.swim.peer_names():
            self.tell(name, note)

    def _learn(self, state: State) -> None:
        """Applies an agreed state, unless a state of the same or a later revision is known."""
        state = self.begun(state)  # a refused first change confirms an empty value
        if self.learned and state.rev <= self.state.rev:
            return
        old, self.state, self.learned = self.state, state, True
        self.members.apply_assignments(state.offices)
        release = state.release
        log.info(
            "rollout_agreed",
            rev=state.rev,
            voters=",".join(state.voters),
            stewards=",".join(f"{o.name}:{o.token}" for o in state.offices),
            out=",".join(f"{s.subject}:{s.token}:{s.group}" for s in state.slots),
            release=f"{release.id}:{release.status}:{release.at}" if release is not None else "",
            moved=",".join(m.subject for m in release.moved) if release is not None else "",
            why=release.why if release is not None else "",
            mono=time.monotonic(),
        )
        out = frozenset(s.subject for s in state.slots if s.group != DISPATCHERS)
        if out != frozenset(s.subject for s in old.slots if s.group != DISPATCHERS):
            self.host.fleet_out(out)

    # ---- timer -------------------------------------------------------------------------------------------

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            try:
                await self._turn()
            except (NoMajority, Refused):
                await asyncio.sleep(self._random.uniform(0.1, 0.4))
            except Exception:
                log.exception("rollout_broke")
                await asyncio.sleep(1.0)

    async def _turn(self) -> None:
        now = time.monotonic()
        await self._go()
        if now >= self._confirms and self.me in self.members.swim.share.stewards:
            await self.change(lambda state: state)
            self.members.swim.steward_role.confirm(now, self.state.offices)
            self._confirms = now + self.setup.office / 4000
        if not self._drives():
            return
        if not self.learned:
            await self.change(lambda state: state)  # read what was agreed on before this process started
        if now - self._pushed > PUSH:
            self._push()
        release = self.state.under_way
        if release is not None and release.status == agreed.RUNNING and now - self._asked > ASK_HEALTH:
            self._asked = now
            for name in self.members.swim.peer_names():
                self.tell(name, Note("health", 0, self.me))
        changes = self.driver.offices(now, self.state, self.members.swim.member_names())
        if self.state.slots or release is not None:
            self._probe_out()
            changes += self.driver.tick(now, self.state, self.views(), self.most, self._unhealthy)
        else:
            self.driver.rest()
        for what, change in changes:
            try:
                await self.change(change)
                log.info("rollout_step", what=what, mono=time.monotonic())
            except Refused as why:
                log.info("rollout_step_refused", what=what, why=str(why))

    def _drives(self) -> bool:
        """Returns whether this dispatcher drives: it is the first of the live voters. Two concurrent drivers do no
        harm."""
        return self.me == min(self.voters_there(), default="")

    def voters_there(self) -> list[str]:
        """Returns the voters that are live as far as this dispatcher sees."""
        there = self.members.swim.member_names()
        return [v for v in self.voters if v in there]

    async def _go(self) -> None:
        """Shuts this dispatcher down, once, if it holds a slot."""
        slot, me = self.state.of(self.me), self.members.swim.me
        if slot is None or slot.group != DISPATCHERS or self._going or slot.token == self._not_stored:
            return
        if slot.begun:
            if slot.start != me.start:
                return  # the previous process of this dispatcher began the restart
            # This process began the restart but received no majority in time. The change was agreed on nevertheless.
        elif slot.start != me.start if not slot.version else slot.version == me.version:
            return  # meant for the previous process, or the version is already running
        else:
            await self.change(lambda state: agreed.begin(state, slot.token, me.start))
        if slot.version:
            body = json.dumps({"version": slot.version, "token": slot.token}).encode()
            try:
                write_lasting(Path(self.setup.folder) / f"{self.me}.wanted", body)
            except OSError as error:  # Keep running. The release halts, and a resume makes this dispatcher try again.
                self._not_stored = slot.token
                log.error("rollout_not_stored", why=str(error))
                return
        self._going = True
        log.info("rollout_goes", version=slot.version, token=slot.token, mono=time.monotonic())
        self.host.leave()

    def _probe_out(self) -> None:
        workers = self.host.workers()
        for slot in self.state.slots:
            found = workers.get(slot.subject)
            if slot.group != DISPATCHERS and found is not None and found[1].there and found[1].start > slot.start:
                self.host.probe(slot.subject)

    # ---- views -------------------------------------------------------------------------------------------

    def views(self) -> dict[str, View]:
        """Returns this dispatcher's views of all dispatchers and booking workers, by name."""
        me = self.members.swim.me
        views = {name: view for name, (_, view) in self.host.workers().items()}
        views[self.me] = View(True, me.ready and not me.draining, me.start, me.version)
        for name, peer in self.members.swim.peers.items():
            r, there = peer.record, peer.is_member
            views[name] = View(there, there and r.ready and not r.draining, r.start, r.version)
        return views

    def most(self, group: str) -> int:
        """Returns how many members of a group may be out."""
        if group == DISPATCHERS:
            return most_out(self.setup.dispatchers, self.members.swim.member_count())
        kind = group.removeprefix(WORKERS)
        size = sum(k == kind for k, _ in self.host.workers().values())
        return most_out(self.setup.pools.get(kind, 0), size)

    def group_of(self, worker: str) -> str:
        """Returns the group of a booking worker. Raises ChangeRefused if its type has no budget."""
        kind = self.host.workers()[worker][0]
        if kind not in self.setup.pools:
            raise Refused(f"booking workers of the type {kind!r} have no budget in rollout.pools")
        return WORKERS + kind

    def _unhealthy(self, release: Release) -> str:
        return self._judging.unhealthy(release, self.state)
