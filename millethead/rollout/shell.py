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
from millethead.members.shell import Members
from millethead.members.steward_role import StewardAssignment
from millethead.members.wire import DatagramCodec
from millethead.rollout import state as fleet_state
from millethead.rollout.agreement import CHANGE_TIMEOUT_S, Agreement, NoMajority
from millethead.rollout.driver import Change, Driver, SubjectView
from millethead.rollout.health import Counts
from millethead.rollout.messages import MAX_DATAGRAM_BYTES, PREFIX, RolloutMessage
from millethead.rollout.register import ChangeRefused
from millethead.rollout.release_health import ReleaseHealth
from millethead.rollout.setup import RolloutSetup, max_out_of
from millethead.rollout.state import DISPATCHERS, Release, State
from millethead.rollout.store import AcceptorStore, write_durably

log = structlog.get_logger("rollout")
TICK_INTERVAL_S, PUSH_INTERVAL_S, HEALTH_REQUEST_INTERVAL_S = 0.1, 1.0, 0.3
WORKER_GROUP_PREFIX = "workers:"


class Host(Protocol):
    """What rollout needs from the program."""

    def leave(self) -> None:
        """Shuts the process down in an orderly way. The process supervisor starts the next one."""

    def exclude_workers(self, names: frozenset[str]) -> None:
        """Excludes exactly these booking workers from use."""

    def workers(self) -> Mapping[str, tuple[str, SubjectView]]:
        """Returns the listed booking workers: name -> (type, view of this dispatcher)."""

    def counts(self) -> list[Counts]:
        """Returns this dispatcher's answers by class."""

    def worker_counts(self) -> Mapping[str, list[Counts]]:
        """Returns the outcomes of this dispatcher's attempts by booking worker and class."""

    def probe(self, worker: str) -> None:
        """Probes an excluded booking worker, to find out whether it serves again."""


class Rollout:
    """Takes part in the consensus on drains and releases, executes the steps of this dispatcher, and drives releases
    if it is the first live voter."""

    def __init__(self, setup: RolloutSetup, members: Members, host: Host, kinds: list[str], classes: list[str]) -> None:
        for kind in setup.pools:
            if kind not in kinds:
                raise ConfigError(f"rollout.pools: one of {', '.join(kinds)} is wanted, not {kind!r}")
        self.setup, self.members, self.host, self.classes = setup, members, host, classes
        self.me = members.me.name
        self.state, self.has_state = State(), False
        store = AcceptorStore(Path(setup.folder), self.me)
        process = f"{self.me}@{members.me.start}"  # a restarted process never reuses a ballot of the previous one
        self._agreement = Agreement(self.me, process, tuple(setup.voters), store, self)
        self._accepted_voters = self._agreement.accepted_voters
        self.driver = Driver(self.me, setup.lease / 1000)
        self._codec = DatagramCodec(
            members.setup.key(), members.setup.fleet, RolloutMessage, PREFIX, MAX_DATAGRAM_BYTES
        )
        self._random = random.Random(f"{self.me}{members.me.start}")
        self._tasks: set[asyncio.Task[Any]] = set()
        self._release_health = ReleaseHealth(self.me, self._local_counts, classes)
        self._is_leaving = False
        self._failed_token = 0  # token of the slot whose version file could not be written
        self._pushed_at = self._health_requested_at = self._next_confirmation_at = 0.0
        members.prefix_handler = (PREFIX, self._receive)

    def start(self) -> None:
        self.spawn(self._run())

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs `work` in the background until the program ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- consensus -----------------------------------------------------------------------------------------

    async def change(self, change: Change, seconds: float = CHANGE_TIMEOUT_S) -> State:
        """Proposes a change until it is agreed on, and returns the resulting state. Raises ChangeRefused with the
        reason if the change does not apply, and NoMajority."""
        return await self._agreement.change(change, seconds)

    async def answers_as_voter(self, name: str, seconds: float = CHANGE_TIMEOUT_S) -> bool:
        """Returns whether a dispatcher answers requests to voters. Checked before it becomes a voter."""
        return await self._agreement.answers_as_voter(name, seconds)

    def apply_agreed(self, state: State) -> State:
        """Applies a state agreed on by this dispatcher's proposal and sends it to the others. Returns the newest known
        state."""
        self._apply_state(state)
        self._push_state()
        return self.state

    def with_initial_roles(self, state: State) -> State:
        """Returns the state with the configured voters and stewards filled in where none were agreed on yet."""
        return msgspec.structs.replace(
            state,
            voters=state.voters or tuple(self.setup.voters),
            stewards=state.stewards or tuple(StewardAssignment(name) for name in self.members.setup.stewards),
        )

    @property
    def voters(self) -> tuple[str, ...]:
        """The current voters as far as this dispatcher knows: those agreed on, or else the configured ones."""
        return self.state.voters or self._accepted_voters or tuple(self.setup.voters)

    # ---- messages ----------------------------------------------------------------------------------------

    def send(self, name: str, message: RolloutMessage) -> None:
        """Sends a message to a dispatcher, if membership knows its address."""
        peer = self.members.swim.peers.get(name)
        if peer is not None:
            self.members.send_raw(peer.record.address, self._codec.encode(message))

    def _receive(self, data: bytes) -> None:
        """Handles a received datagram. Raises DatagramDropped, which membership counts."""
        message = self._codec.decode(data)
        if message.kind == "ask" and message.register_message is not None:
            self.spawn(self._agreement.handle_request(message.sender, message.seq, message.register_message))
        elif message.kind == "answer" and message.register_message is not None:
            self._agreement.handle_answer(message.sender, message.seq, message.register_message)
        elif message.kind == "state":
            try:
                self._apply_state(fleet_state.decode_state(message.value))
            except ValueError as error:
                log.warning("rollout_state_unusable", why=str(error))
        elif message.kind == "health":
            self.send(message.sender, RolloutMessage("counts", message.seq, self.me, counts=self._local_counts()))
        elif message.kind == "counts":
            self._release_health.record_counts(message.sender, message.counts)

    def _local_counts(self) -> dict[str, list[Counts]]:
        """Returns this dispatcher's counts for judging a release: its own answers, or the outcomes by booking
        worker."""
        release = self.state.release
        if release is None or release.group == DISPATCHERS:
            return {self.me: self.host.counts()}
        subjects, counts = set(fleet_state.all_subjects(release.steps)), self.host.worker_counts()
        return {name: table for name, table in counts.items() if name in subjects}

    def _push_state(self) -> None:
        self._pushed_at = time.monotonic()
        message = RolloutMessage("state", 0, self.me, value=fleet_state.encode_state(self.state))
        for name in self.members.swim.peer_names():
            self.send(name, message)

    def _apply_state(self, state: State) -> None:
        """Applies an agreed state, unless a state of the same or a later revision is known."""
        state = self.with_initial_roles(state)  # a refused first change confirms an empty value
        if self.has_state and state.rev <= self.state.rev:
            return
        old, self.state, self.has_state = self.state, state, True
        self.members.apply_assignments(state.stewards)
        release = state.release
        log.info(
            "rollout_agreed",
            rev=state.rev,
            voters=",".join(state.voters),
            stewards=",".join(f"{steward.name}:{steward.token}" for steward in state.stewards),
            out=",".join(f"{s.subject}:{s.token}:{s.group}" for s in state.slots),
            release=f"{release.id}:{release.status}:{release.step_index}" if release is not None else "",
            moved=",".join(update.subject for update in release.updated) if release is not None else "",
            why=release.reason if release is not None else "",
            mono=time.monotonic(),
        )
        excluded = frozenset(s.subject for s in state.slots if s.group != DISPATCHERS)
        if excluded != frozenset(s.subject for s in old.slots if s.group != DISPATCHERS):
            self.host.exclude_workers(excluded)

    # ---- timer -------------------------------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                await self._tick()
            except (NoMajority, ChangeRefused):
                await asyncio.sleep(self._random.uniform(0.1, 0.4))
            except Exception:
                log.exception("rollout_broke")
                await asyncio.sleep(1.0)

    async def _tick(self) -> None:
        now = time.monotonic()
        await self._restart_if_due()
        if now >= self._next_confirmation_at and self.me in self.members.swim.share.stewards:
            await self.change(lambda state: state)
            self.members.swim.steward_role.confirm(now, self.state.stewards)
            self._next_confirmation_at = now + self.setup.office / 4000
        if not self._is_driver():
            return
        if not self.has_state:
            await self.change(lambda state: state)  # read what was agreed on before this process started
        if now - self._pushed_at > PUSH_INTERVAL_S:
            self._push_state()
        release = self.state.active_release
        if (
            release is not None
            and release.status == fleet_state.RUNNING
            and now - self._health_requested_at > HEALTH_REQUEST_INTERVAL_S
        ):
            self._health_requested_at = now
            for name in self.members.swim.peer_names():
                self.send(name, RolloutMessage("health", 0, self.me))
        changes = self.driver.replace_absent_steward(now, self.state, self.members.swim.member_names())
        if self.state.slots or release is not None:
            self._probe_excluded_workers()
            changes += self.driver.tick(now, self.state, self.views(), self.max_out, self._find_problem)
        else:
            self.driver.clear_measurements()
        for what, change in changes:
            try:
                await self.change(change)
                log.info("rollout_step", what=what, mono=time.monotonic())
            except ChangeRefused as error:
                log.info("rollout_step_refused", what=what, why=str(error))

    def _is_driver(self) -> bool:
        """Returns whether this dispatcher drives: it is the first of the live voters. Two concurrent drivers do no
        harm."""
        return self.me == min(self.live_voters(), default="")

    def live_voters(self) -> list[str]:
        """Returns the voters that are live as far as this dispatcher sees."""
        present = self.members.swim.member_names()
        return [voter for voter in self.voters if voter in present]

    async def _restart_if_due(self) -> None:
        """Shuts this dispatcher down, once, if it holds a slot."""
        slot, me = self.state.slot_of(self.me), self.members.swim.me
        if slot is None or slot.group != DISPATCHERS or self._is_leaving or slot.token == self._failed_token:
            return
        if slot.restart_begun:
            if slot.process_start != me.start:
                return  # the previous process of this dispatcher began the restart
            # This process began the restart but received no majority in time. The change was agreed on nevertheless.
        elif slot.process_start != me.start if not slot.version else slot.version == me.version:
            return  # meant for the previous process, or the version is already running
        else:
            await self.change(lambda state: fleet_state.begin_restart(state, slot.token, me.start))
        if slot.version:
            body = json.dumps({"version": slot.version, "token": slot.token}).encode()
            try:
                write_durably(Path(self.setup.folder) / f"{self.me}.wanted", body)
            except OSError as error:  # Keep running. The release halts, and a resume makes this dispatcher try again.
                self._failed_token = slot.token
                log.error("rollout_not_stored", why=str(error))
                return
        self._is_leaving = True
        log.info("rollout_goes", version=slot.version, token=slot.token, mono=time.monotonic())
        self.host.leave()

    def _probe_excluded_workers(self) -> None:
        workers = self.host.workers()
        for slot in self.state.slots:
            found = workers.get(slot.subject)
            if (
                slot.group != DISPATCHERS
                and found is not None
                and found[1].present
                and found[1].process_start > slot.process_start
            ):
                self.host.probe(slot.subject)

    # ---- views -------------------------------------------------------------------------------------------

    def views(self) -> dict[str, SubjectView]:
        """Returns this dispatcher's views of all dispatchers and booking workers, by name."""
        me = self.members.swim.me
        views = {name: view for name, (_, view) in self.host.workers().items()}
        views[self.me] = SubjectView(True, me.ready and not me.draining, me.start, me.version)
        for name, peer in self.members.swim.peers.items():
            record, present = peer.record, peer.is_member
            views[name] = SubjectView(
                present, present and record.ready and not record.draining, record.start, record.version
            )
        return views

    def max_out(self, group: str) -> int:
        """Returns how many members of a group may be out."""
        if group == DISPATCHERS:
            return max_out_of(self.setup.dispatchers, self.members.swim.member_count())
        kind = group.removeprefix(WORKER_GROUP_PREFIX)
        size = sum(k == kind for k, _ in self.host.workers().values())
        return max_out_of(self.setup.pools.get(kind, 0), size)

    def group_of(self, worker: str) -> str:
        """Returns the group of a booking worker. Raises ChangeRefused if its type has no budget."""
        kind = self.host.workers()[worker][0]
        if kind not in self.setup.pools:
            raise ChangeRefused(f"booking workers of the type {kind!r} have no budget in rollout.pools")
        return WORKER_GROUP_PREFIX + kind

    def _find_problem(self, release: Release) -> str:
        return self._release_health.find_problem(release, self.state)
