"""The core of the emulated system: real heads over a stand-in for the chain, and changes of the head at any instant.

The chain commits after a delay, or not while it stands still. Where the head changes, what every member holds stays;
of the rest a part that is drawn may survive. The old head may go on for a while without knowing.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Protocol

from millethead.control.agents import AgentSession
from millethead.control.calls import CallerHello, CallerWelcome
from millethead.control.configuration_stream import CallerSession
from millethead.control.head import Head
from millethead.control.state import ControlState
from millethead.execution.messages import AgentHello, AgentTurnedAway
from millethead.lab.core_time import Timeline
from millethead.lab.system_clock import MachineClock
from millethead.lab.system_wire import WireEnd
from millethead.replication.log_position import LogPosition
from millethead.replication.view import NO_VIEW, View
from millethead.rpc.codec import Record
from millethead.storage.log import Entry

SYNC_S = (0.006, 0.013)  # until every member of the chain has an entry
ACK_S = (0.0005, 0.003)  # from there to the head
LEAST_TICK_S = 0.005
STATUS_S = 120.0  # for which ended jobs are shown
MEMBERS = 3
MISSED = 3  # in one of so many epochs a head that is kept begins anew


class CoreEvents(Protocol):
    """What the core tells the world."""

    def committed(self, place: LogPosition, state: ControlState) -> None:
        """The entry at a place is at every member of the chain, and leads to this state."""
        ...

    def new_head(self, head: HeadProcess) -> None:
        """A head serves."""
        ...

    def head_gone(self, head: HeadProcess) -> None:
        """A process is not the head any more, and has closed its sessions."""
        ...


class HeadChange(Enum):
    """How a head ends. KILLED: its process dies, and its connections are reset. SILENT: the same without a word.
    ISOLATED: it goes on for a while, cut off from the other members. FROZEN: it stands still, and goes on when another
    one serves. HANDED_OVER: planned. KEPT: the same member is the head of a new epoch, and goes on with all that it
    knows, or begins anew where it has missed a view."""

    KILLED = "killed"
    SILENT = "silent"
    ISOLATED = "isolated"
    FROZEN = "frozen"
    HANDED_OVER = "handed over"
    KEPT = "kept"


class StandInChain:
    """The chain as its head sees it. Committed is what all have; the head learns of it a little later."""

    def __init__(self, core: Core, process: HeadProcess, epoch: int, log: list[Entry]) -> None:
        self._core, self._process, self._epoch = core, process, epoch
        self.log = log
        self.committed = self.durable = len(log)
        self.broken = False  # another epoch has begun, or this member is cut off
        self.still_until = 0.0
        self.reach = 0  # entries that others may have, once the head is cut off
        self._links = 0  # counts the views: what is under way ends with the links of its view
        self._barrier = 0
        self._durable_at = self._ack_at = 0.0

    def propose(self, payload: bytes) -> tuple[int, object]:
        sequence = len(self.log) + 1
        result = self._process.state.apply(payload, LogPosition(self._epoch, sequence))
        self.log.append(Entry(self._epoch, sequence, payload))
        self._sync(sequence)
        return sequence, result

    def renew(self, epoch: int) -> None:
        """The head leads on in the next view: its chain takes what it lacks and acknowledges anew."""
        self._epoch = epoch
        self._links += 1
        self._barrier = 0
        self._durable_at = self._ack_at = 0.0
        durable = self.durable
        if durable > self.committed:
            self._acknowledge(lambda: self._acknowledged(durable))
        if len(self.log) > durable:
            self._sync(len(self.log))

    def _sync(self, sequence: int) -> None:
        now, links = self._core.timeline.now, self._links
        self._durable_at = max(now + self._core.random.uniform(*SYNC_S), self._durable_at, self.still_until)
        self._core.timeline.after(self._durable_at - now, lambda: self._synced(sequence, links))

    def _synced(self, sequence: int, links: int) -> None:
        if self.broken or links != self._links or sequence <= self.durable:
            return
        if self.still_until > self._core.timeline.now:
            self._core.timeline.after(self.still_until - self._core.timeline.now, lambda: self._synced(sequence, links))
            return
        for entry in self.log[self.durable : sequence]:
            self._core.commit(entry)
        self.durable = sequence
        self._acknowledge(lambda: self._acknowledged(sequence))

    def _acknowledged(self, sequence: int) -> None:
        self.committed = max(self.committed, sequence)
        self._process.head.gate.committed(sequence)

    def _acknowledge(self, call: Callable[[], None]) -> None:
        """Something comes back to the head, in order."""
        now, links = self._core.timeline.now, self._links
        self._ack_at = max(now + self._core.random.uniform(*ACK_S) + self._core.slow_ack_s, self._ack_at)
        self._core.timeline.after(self._ack_at - now, lambda: self._process.post(lambda: self._take(call, links)))

    def _take(self, call: Callable[[], None], links: int) -> None:
        if self._process.chain is self and links == self._links:
            call()

    def send_barrier(self) -> int:
        self._barrier += 1
        number, links = self._barrier, self._links
        self._core.timeline.after(self._core.random.uniform(*ACK_S), lambda: self._at_tail(number, links))
        return number

    def _at_tail(self, number: int, links: int) -> None:
        if self.broken or links != self._links:
            return
        if self.still_until > self._core.timeline.now:
            self._core.timeline.after(self.still_until - self._core.timeline.now, lambda: self._at_tail(number, links))
            return
        self._acknowledge(lambda: self._process.head.gate.barrier_passed(number))


class HeadProcess:
    """The process of a member that is the head, or takes itself for it. Its clock is that of its machine."""

    def __init__(self, core: Core, member: int, epoch: int, state: ControlState, log: list[Entry]) -> None:
        self._core, self.member, self.state = core, member, state
        self.ended = False
        self.frozen = False
        self.retiring = False  # it is about to learn that it is not the head any more
        self._deferred: list[Callable[[], None]] = []
        self._sessions: dict[WireEnd, CallerSession | AgentSession | None] = {}
        self.chain = StandInChain(core, self, epoch, log)
        self.head = self._make_head(epoch)

    def _make_head(self, epoch: int) -> Head:
        head = Head(
            View(epoch, (), ()), self.state, self.chain, self, Random(self._core.random.getrandbits(32)), STATUS_S
        )
        self._core.timeline.after(0.0, lambda: self.post(lambda: self._tick(head)))
        return head

    @property
    def epoch(self) -> int:
        """The epoch that it is the head of."""
        return self.head.view.epoch

    # ---- its clock ---------------------------------------------------------------------------------------

    @property
    def _clock(self) -> MachineClock:
        return self._core.clocks[self.member]

    def now(self) -> float:
        return self._clock.steady(self._core.timeline.now)

    def wall_ms(self) -> int:
        return self._clock.wall_ms(self._core.timeline.now)

    def soon(self, call: Callable[[], None]) -> None:
        self._core.timeline.after(0.0, lambda: self.post(call))

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._core.timeline.after(delay_s, lambda: self.post(call))

    def post(self, call: Callable[[], None]) -> None:
        """Have the process do something, unless it has ended; later if it stands still."""
        if self.frozen:
            self._deferred.append(call)
        elif not self.ended:
            call()

    def _tick(self, head: Head) -> None:
        if head is not self.head:
            return
        at = self._clock.moment(head.tick())
        now = self._core.timeline.now
        self._core.timeline.after(max(LEAST_TICK_S, at - now), lambda: self.post(lambda: self._tick(head)))

    def thaw(self) -> None:
        """Go on with all that has come meanwhile."""
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for call in deferred:
            self.post(call)

    # ---- sessions ----------------------------------------------------------------------------------------

    def accept(self, end: WireEnd) -> None:
        """A program has connected."""
        self._sessions[end] = None
        end.received = lambda record: self.post(lambda: self._received(end, record))
        end.closed = lambda: self.post(lambda: self._gone(end))

    def _received(self, end: WireEnd, record: Record) -> None:
        if end not in self._sessions:
            return
        session = self._sessions[end]
        if isinstance(session, CallerSession):
            self.head.caller_record(session, record)
        elif isinstance(session, AgentSession):
            self.head.agent_record(session, record)
        elif isinstance(record, CallerHello):
            self._sessions[end] = self.head.caller_hello(end, record)
        elif isinstance(record, AgentHello):
            self._sessions[end] = self.head.agent_hello(end, record)

    def _gone(self, end: WireEnd) -> None:
        session = self._sessions.pop(end, None)
        if isinstance(session, CallerSession):
            self.head.caller_disconnected(session)
        elif isinstance(session, AgentSession):
            self.head.agent_disconnected(session)

    # ---- ends --------------------------------------------------------------------------------------------

    def kept(self, epoch: int) -> None:
        """This member is the head of a new epoch: those who are connected stay."""
        self.head.close()
        self.head = self._make_head(epoch)
        for end, session in list(self._sessions.items()):
            if isinstance(session, CallerSession):
                self._sessions[end] = self.head.caller_hello(end, session.to_hello())
            elif isinstance(session, AgentSession):
                self._sessions[end] = self.head.agent_hello(end, session.hello)

    def deposed(self) -> None:
        """It learns that another one is the head, and turns everybody away."""
        self.head.close()
        for end, session in list(self._sessions.items()):
            if isinstance(session, AgentSession):
                end.send(AgentTurnedAway(self._core.epoch, "", ()))
            elif isinstance(session, CallerSession):
                end.send(CallerWelcome(NO_VIEW, False))
            end.close()
        self.end()

    def killed(self, silent: bool) -> None:
        """The process ends; `silent`: with its machine."""
        for end in self._sessions:
            if silent:
                end.vanish()
            else:
                end.close()
        self.end()

    def end(self) -> None:
        self.ended = True
        self._sessions.clear()
        self._deferred.clear()


class Core:
    """All members of the core. `head` serves; None while none does."""

    def __init__(self, timeline: Timeline, random: Random, events: CoreEvents) -> None:
        self.timeline, self.random, self._events = timeline, random, events
        self.clocks = [
            MachineClock(1 + random.uniform(-0.01, 0.01), random.uniform(10, 100_000), random.uniform(-20, 20))
            for _ in range(MEMBERS)
        ]
        self.reference = ControlState()  # what is committed, as a member that only follows holds it
        self.log: list[Entry] = []  # the committed ones
        self.epoch = 0
        self.slow_ack_s = 0.0
        self.head: HeadProcess | None = None
        self.stale: list[HeadProcess] = []  # heads of earlier epochs that go on
        self._outgoing: HeadProcess | None = None  # the last head, while there is no new one

    def commit(self, entry: Entry) -> None:
        """An entry is at every member."""
        place = LogPosition(entry.epoch, entry.sequence)
        self.log.append(entry)
        self.reference.apply(entry.payload, place)
        self._events.committed(place, self.reference)

    def stand_still(self, until: float) -> None:
        """The chain commits nothing for a while."""
        if self.head is not None:
            self.head.chain.still_until = max(self.head.chain.still_until, until)

    # ---- changes of the head -----------------------------------------------------------------------------

    def change(self, how: HeadChange, gap_s: float, stale_s: float) -> None:
        """The head of this epoch ends; the next one serves after `gap_s`, and a stale one ends `stale_s` later."""
        old = self.head
        if old is None:
            return
        if how is HeadChange.KEPT:
            self._keep(old)
            return
        self.head = None
        old.chain.reach = len(old.chain.log)
        if how is HeadChange.FROZEN:
            old.frozen = True
        if how in (HeadChange.ISOLATED, HeadChange.FROZEN):
            old.chain.still_until = float("inf")
            self.stale.append(old)
            self.timeline.after(gap_s + stale_s, lambda: self._find_out(old))
        elif how is HeadChange.HANDED_OVER:
            old.chain.broken = True
            old.deposed()
            self._events.head_gone(old)
        else:
            old.chain.broken = True
            old.killed(how is HeadChange.SILENT)
            self._events.head_gone(old)
        self._outgoing = old
        self.timeline.after(gap_s, lambda: self._succeed(old))

    def heal(self) -> None:
        """All members run and reach one another again: the next head begins."""
        self.slow_ack_s = 0.0
        if self._outgoing is not None:
            self._succeed(self._outgoing)
        for old in list(self.stale):
            self._find_out(old)

    def _find_out(self, old: HeadProcess) -> None:
        """A stale head learns of the newer epoch, after it has done what was left to do when it stood still."""
        if old not in self.stale or old.retiring:
            return
        old.retiring = True
        if old.frozen:
            old.thaw()
        self.timeline.after(self.random.uniform(0, 0.05), lambda: self._retire(old))

    def _retire(self, old: HeadProcess) -> None:
        self.stale.remove(old)
        old.deposed()
        self._events.head_gone(old)

    def _succeed(self, old: HeadProcess) -> None:
        """The next epoch begins, unless it has: entries that not all have survive by chance."""
        if self._outgoing is not old:
            return
        self._outgoing = None
        old.chain.broken = True
        extra = old.chain.log[old.chain.durable : old.chain.reach]
        for entry in extra[: self.random.randint(0, len(extra))]:
            self.commit(entry)
        self.begin(self.random.choice([member for member in range(MEMBERS) if member != old.member]))

    def _keep(self, process: HeadProcess) -> None:
        """The same member is the head of another epoch: its log stays whole. Now and then it has missed a view."""
        if self.epoch % MISSED != 0:
            self.epoch += 1
            process.chain.renew(self.epoch)
            process.head.continue_in_view(View(self.epoch, (), ()))
            return
        chain = process.chain
        chain.broken = True
        for entry in chain.log[chain.durable :]:
            self.commit(entry)
        self.epoch += 1
        process.chain = StandInChain(self, process, self.epoch, chain.log)
        process.kept(self.epoch)

    def begin(self, member: int) -> None:
        """A member is the head of a new epoch, by the committed state."""
        self.epoch += 1
        state = self._state_of_member()
        self.head = HeadProcess(self, member, self.epoch, state, list(self.log))
        self._events.new_head(self.head)

    def _state_of_member(self) -> ControlState:
        """The state as the new head holds it: it has followed all along, or began with a snapshot."""
        copy = ControlState()
        copy.restore(self.reference.snapshot())
        if self.random.random() < 0.5:
            return copy
        followed, self.reference = self.reference, copy
        return followed
