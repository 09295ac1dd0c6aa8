"""The thin shell of rollout: notes over membership's socket, the voter's file, and a timer. Decisions are elsewhere:
register.py (agreeing), state.py (what is agreed on), driver.py (what comes next), health.py (whether it goes well)."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

import msgspec
import structlog

from millethead.config import ConfigError
from millethead.members.offices import Office
from millethead.members.shell import Members
from millethead.members.wire import Seal
from millethead.rollout import health
from millethead.rollout import state as agreed
from millethead.rollout.driver import Change, Driver, View
from millethead.rollout.health import Counts
from millethead.rollout.register import ZERO, Acceptor, Refused, Round, Word
from millethead.rollout.setup import RolloutSetup, most_out
from millethead.rollout.state import DISPATCHERS, Release, State
from millethead.rollout.store import Store, write_lasting

log = structlog.get_logger("rollout")
MARK, MOST = b"MR1", 16_384  # a state of 12,000 bytes and what is around it
TICK, PUSH, ASK_HEALTH = 0.1, 1.0, 0.3  # s
AGAIN, TRY = 0.08, 0.7  # s: until a question is put again, and in which a change must be agreed (the staff wait 1 s)
WORKERS = "workers:"


class NoMajority(Exception):
    """No majority of the voters answered in time; the text says what became of the change."""


class Note(msgspec.Struct, frozen=True, array_like=True):
    """A datagram between dispatchers. kind: ask (to a voter), answer, state (what is agreed), health, counts."""

    kind: str
    seq: int
    sender: str
    word: Word | None = None
    value: bytes = b""
    tables: dict[str, list[Counts]] = {}


def _voters(value: bytes) -> tuple[str, ...]:
    """Who decides on the change of a value: none named where it is of another version, which nobody here changes."""
    try:
        return agreed.read(value).voters
    except ValueError:
        return ()


class Host(Protocol):
    """What the program does for it."""

    def leave(self) -> None:
        """End in an orderly way: whoever looks after processes starts the next one."""

    def fleet_out(self, names: frozenset[str]) -> None:
        """Booking workers to leave out, all of them."""

    def workers(self) -> Mapping[str, tuple[str, View]]:
        """The listed booking workers: (type, as this dispatcher sees it)."""

    def counts(self) -> list[Counts]:
        """This dispatcher's answers by class."""

    def worker_counts(self) -> Mapping[str, list[Counts]]:
        """What each booking worker made of this dispatcher's attempts, by class."""

    def probe(self, worker: str) -> None:
        """Ask a booking worker whether it serves, though it is left out."""


class Rollout:
    def __init__(self, setup: RolloutSetup, members: Members, host: Host, kinds: list[str], classes: list[str]) -> None:
        for kind in setup.pools:
            if kind not in kinds:
                raise ConfigError(f"rollout.pools: one of {', '.join(kinds)} is wanted, not {kind!r}")
        self.setup, self.members, self.host, self.classes = setup, members, host, classes
        self.me = members.me.name
        self.state, self.learned = State(), False
        self.store = Store(Path(setup.folder), self.me)  # whoever is no voter may become one
        self.acceptor = Acceptor(self.store.load())
        self._heard_of = _voters(self.acceptor.kept.value)
        self.driver = Driver(self.me, setup.lease / 1000)
        self._seal = Seal(members.setup.key(), members.setup.fleet, Note, MARK, MOST)
        self._random = random.Random(f"{self.me}{members.me.start}")
        self._rounds: dict[int, tuple[Round, asyncio.Event]] = {}
        self._calls: dict[int, asyncio.Event] = {}  # questions whose answer says only that somebody votes
        self._seq, self._top = 0, 0
        self._lock, self._disk = asyncio.Lock(), asyncio.Lock()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._counts: dict[str, dict[str, list[Counts]]] = {}  # dispatcher -> subject -> by class, as last told
        self._base: dict[str, dict[str, list[Counts]]] = {}  # subject -> dispatcher -> the same when its judging began
        self._judged, self._going = 0, False
        self._not_stored = 0  # token of the step whose wanted version could not be written
        self._pushed = self._asked = self._confirms = 0.0
        members.others = (MARK, self._datagram)

    def start(self) -> None:
        self._spawn(self._beat())

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _spawn(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- agreeing ------------------------------------------------------------------------------------------

    async def change(self, change: Change, seconds: float = TRY) -> State:
        """Have the fleet agree on a change. Raises Refused with why it is not made, and NoMajority."""
        until = time.monotonic() + seconds
        try:
            async with asyncio.timeout(seconds):
                await self._lock.acquire()
        except TimeoutError:
            raise NoMajority("no majority of the voters answered; nothing was changed") from None
        try:
            return await self._agree(change, until)
        finally:
            self._lock.release()

    async def _agree(self, change: Change, until: float) -> State:
        def renew(old: bytes) -> bytes:
            try:
                return agreed.write(change(self._begun(agreed.read(old))))
            except ValueError as why:  # of another version: not ours to change
                raise Refused(str(why)) from None

        asked = False
        while time.monotonic() < until:
            self._top += 1
            self._seq += 1
            who = f"{self.me}@{self.members.me.start}"  # a process started anew never uses a ballot of the one before
            one, news = Round((self._top, who), tuple(self.setup.voters), renew, _voters), asyncio.Event()
            self._rounds[self._seq] = one, news
            try:
                while not one.agreed and one.lost is None and (left := until - time.monotonic()) > 0:
                    self._ask(self._seq, one)
                    asked = asked or (one.value is not None and one.refused is None)
                    news.clear()
                    try:
                        async with asyncio.timeout(min(AGAIN, left)):
                            await news.wait()
                    except TimeoutError:
                        continue
            finally:
                del self._rounds[self._seq]
            if one.agreed:
                self._learn(agreed.read(one.value or b""))
                self._push()
                if one.refused is not None:
                    raise one.refused
                return self.state
            if one.lost is not None:
                self._top = max(self._top, one.lost[0])
                await asyncio.sleep(self._random.uniform(0.005, 0.06))
        raise NoMajority(
            "no majority of the voters answered in time; "
            + ("the change may still come to be: see GET /fleet" if asked else "nothing was changed")
        )

    def _begun(self, state: State) -> State:
        """A state with who decides and who lends: at first those that the file names."""
        return msgspec.structs.replace(
            state,
            voters=state.voters or tuple(self.setup.voters),
            offices=state.offices or tuple(Office(name) for name in self.members.setup.stewards),
        )

    def _ask(self, seq: int, one: Round) -> None:
        word = one.ask()
        # the first voters may all be gone: those heard of since know who decides now
        for voter in one.voters if one.value is not None else dict.fromkeys((*one.voters, *self.voters)):
            self._ask_one(voter, seq, word)

    def _ask_one(self, voter: str, seq: int, word: Word) -> None:
        if voter == self.me:
            self._spawn(self._vote(voter, seq, word))
        else:
            self._tell(voter, Note("ask", seq, self.me, word))

    async def votes(self, name: str, seconds: float = TRY) -> bool:
        """Whether a dispatcher answers as a voter would: it is to become one."""
        self._seq += 1
        seq, news = self._seq, asyncio.Event()
        self._calls[seq] = news
        try:
            async with asyncio.timeout(seconds):
                while not news.is_set():
                    self._ask_one(name, seq, Word("prepare", ZERO))  # promises nothing that it had not promised
                    with suppress(TimeoutError):
                        async with asyncio.timeout(AGAIN):
                            await news.wait()
        except TimeoutError:
            return False
        finally:
            del self._calls[seq]
        return True

    @property
    def voters(self) -> tuple[str, ...]:
        """Who decides, as far as this dispatcher has heard: agreed on, or else those that the file begins with."""
        return self.state.voters or self._heard_of or tuple(self.setup.voters)

    async def _vote(self, asker: str, seq: int, word: Word) -> None:
        """A voter's answer, once what it promises is on disk."""
        async with self._disk:
            before = self.acceptor.kept
            answer, changed = self.acceptor.take(word)
            if changed:
                try:
                    await asyncio.get_running_loop().run_in_executor(None, self.store.save, self.acceptor.kept)
                except OSError as error:
                    self.acceptor.kept = before
                    log.error("rollout_not_stored", why=str(error))
                    return
        if asker == self.me:
            self._answered(self.me, seq, answer)
        else:
            self._tell(asker, Note("answer", seq, self.me, answer))

    def _answered(self, voter: str, seq: int, word: Word) -> None:
        if seq in self._calls:
            self._calls[seq].set()
        one, news = self._rounds.get(seq, (None, None))
        if one is not None and news is not None:
            if one.take(voter, word):
                self._ask(seq, one)
            if one.agreed or one.lost is not None:
                news.set()

    # ---- notes -------------------------------------------------------------------------------------------

    def _tell(self, name: str, note: Note) -> None:
        peer = self.members.swim.peers.get(name)
        if peer is not None:
            self.members.send_raw(peer.record.address, self._seal.seal(note))

    def _datagram(self, data: bytes) -> None:
        """Raises Dropped, which membership counts."""
        note = self._seal.open(data)
        if note.kind == "ask" and note.word is not None:
            self._spawn(self._vote(note.sender, note.seq, note.word))
        elif note.kind == "answer" and note.word is not None:
            self._answered(note.sender, note.seq, note.word)
        elif note.kind == "state":
            try:
                self._learn(agreed.read(note.value))
            except ValueError as why:
                log.warning("rollout_state_unusable", why=str(why))
        elif note.kind == "health":
            self._tell(note.sender, Note("counts", note.seq, self.me, tables=self._tables()))
        elif note.kind == "counts":
            self._counts[note.sender] = note.tables

    def _tables(self) -> dict[str, list[Counts]]:
        """What a release is judged by: answers of dispatchers, or what each booking worker made of attempts."""
        release = self.state.release
        if release is None or release.group == DISPATCHERS:
            return {self.me: self.host.counts()}
        named, counts = set(agreed.named(release.steps)), self.host.worker_counts()
        return {name: table for name, table in counts.items() if name in named}

    def _push(self) -> None:
        self._pushed = time.monotonic()
        note = Note("state", 0, self.me, value=agreed.write(self.state))
        for name in self.members.swim.alive():
            self._tell(name, note)

    def _learn(self, state: State) -> None:
        """What is agreed now; older news changes nothing."""
        state = self._begun(state)  # a refusal may be all that was agreed: it confirms an empty value
        if self.learned and state.rev <= self.state.rev:
            return
        old, self.state, self.learned = self.state, state, True
        self.members.offices(state.offices)
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

    # ---- time --------------------------------------------------------------------------------------------

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
            self.members.swim.offices.confirm(now, self.state.offices)
            self._confirms = now + self.setup.office / 4000
        if not self._drives():
            return
        if not self.learned:
            await self.change(lambda state: state)  # a first look: what was agreed before this process
        if now - self._pushed > PUSH:
            self._push()
        release = self.state.under_way
        if release is not None and release.status == agreed.RUNNING and now - self._asked > ASK_HEALTH:
            self._asked = now
            for name in self.members.swim.alive():
                self._tell(name, Note("health", 0, self.me))
        changes = self.driver.offices(now, self.state, self.members.swim.there())
        if self.state.slots or release is not None:
            self._probe_out()
            changes += self.driver.tick(now, self.state, self.views(), self.most, self.unhealthy)
        else:
            self.driver.rest()
        for what, change in changes:
            try:
                await self.change(change)
                log.info("rollout_step", what=what, mono=time.monotonic())
            except Refused as why:
                log.info("rollout_step_refused", what=what, why=str(why))

    def _drives(self) -> bool:
        """The first of the voters that are there drives. Two that both think so do no harm."""
        return self.me == min(self._voters_there(), default="")

    def _voters_there(self) -> list[str]:
        there = self.members.swim.there()
        return [v for v in self.voters if v in there]

    async def _go(self) -> None:
        """This dispatcher's own turn to go, if it has a slot: once."""
        slot, me = self.state.of(self.me), self.members.swim.me
        if slot is None or slot.group != DISPATCHERS or self._going or slot.token == self._not_stored:
            return
        if slot.begun:
            if slot.start != me.start:
                return  # the process before this one began it
            # this process did, and found no majority in time: the change was agreed all the same
        elif slot.start != me.start if not slot.version else slot.version == me.version:
            return  # meant for the process before this one, or there already
        else:
            await self.change(lambda state: agreed.begin(state, slot.token, me.start))
        if slot.version:
            body = json.dumps({"version": slot.version, "token": slot.token}).encode()
            try:
                write_lasting(Path(self.setup.folder) / f"{self.me}.wanted", body)
            except OSError as error:  # it stays; the release halts, and a resume has it try again
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

    # ---- what it sees ------------------------------------------------------------------------------------

    def views(self) -> dict[str, View]:
        """Dispatchers and booking workers by name, as this dispatcher sees them."""
        me = self.members.swim.me
        views = {name: view for name, (_, view) in self.host.workers().items()}
        views[self.me] = View(True, me.ready and not me.drain, me.start, me.version)
        for name, peer in self.members.swim.peers.items():
            r, there = peer.record, peer.there
            views[name] = View(there, there and r.ready and not r.drain, r.start, r.version)
        return views

    def most(self, group: str) -> int:
        """How many of a group may be out."""
        if group == DISPATCHERS:
            return most_out(self.setup.dispatchers, self.members.swim.counted())
        kind = group.removeprefix(WORKERS)
        size = sum(k == kind for k, _ in self.host.workers().values())
        return most_out(self.setup.pools.get(kind, 0), size)

    def group_of(self, worker: str) -> str:
        """The group of a booking worker; raises Refused where it has no budget."""
        kind = self.host.workers()[worker][0]
        if kind not in self.setup.pools:
            raise Refused(f"booking workers of the type {kind!r} have no budget in rollout.pools")
        return WORKERS + kind

    def unhealthy(self, release: Release) -> str:
        """Why it is; empty while it is not."""
        if self._judged != release.id:
            self._judged = release.id
            self._base.clear()
            self._counts.clear()
        self._counts[self.me] = self._tables()
        moved = {m.subject for m in release.moved}
        back = moved - {s.subject for s in self.state.slots}
        tables: dict[str, list[Counts]] = {}
        for subject in {s for told in self._counts.values() for s in told}:
            if subject in moved - back:  # on its way: judged from its return on
                self._base.pop(subject, None)
                if release.group == DISPATCHERS:  # what it said before it went is no news of what is to come
                    self._counts.pop(subject, None)
                continue
            told = {who: t[subject] for who, t in self._counts.items() if subject in t}
            anew = release.group == DISPATCHERS and subject in back  # its process counts from 0
            base = self._base.setdefault(subject, {} if anew else dict(told))
            tables[subject] = health.add(health.since(t, base.get(who)) for who, t in told.items())
        rest = [table for subject, table in tables.items() if subject not in moved]
        return health.judge({s: tables[s] for s in sorted(back) if s in tables}, rest, release.health, self.classes)

    def page(self) -> dict[str, Any]:
        """What `GET /fleet` answers."""
        state, release = self.state, self.state.release
        groups = [DISPATCHERS, *(WORKERS + kind for kind in self.setup.pools)]
        return {
            "dispatcher": self.me,
            "known": self.learned,
            "rev": state.rev,
            "voters": list(self.voters),
            "voters_there": self._voters_there(),
            "stewards": [{"member": o.name, "token": o.token} for o in state.offices],
            "groups": {group: {"out": state.out(group), "max_out": self.most(group)} for group in groups},
            "out": [
                {
                    "member": s.subject,
                    "group": s.group,
                    "token": s.token,
                    "by": s.by,
                    "begun": s.begun,
                    "version": s.version,
                    "release": s.release,
                }
                for s in state.slots
            ],
            "release": None
            if release is None
            else {
                "id": release.id,
                "group": release.group,
                "version": release.version,
                "status": release.status,
                "why": release.why,
                "step": release.at + 1,
                "steps": [list(s) for s in release.steps],
                "moved": [m.subject for m in release.moved],
                "max_out": release.max_out,
            },
        }
