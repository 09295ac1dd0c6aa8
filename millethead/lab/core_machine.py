"""One machine of an emulated core, and the process on it: what `programs.control` wires together, in virtual time.

The replica, the chain, the log, the gate and the answers to callers are the program's own.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from millethead.control.call_handler import CallHandler, StateChangeCallbacks
from millethead.control.calls import CallAnswer, CallerHello, ConfigurationCall, JobCall
from millethead.control.commit import CommitGate, CommittedLink, HeadLink
from millethead.control.configuration_stream import CallerSession, ConfigurationStream
from millethead.control.state import ControlState
from millethead.lab.core_network import LinkEnd, Network
from millethead.lab.core_processor import Processor
from millethead.lab.core_storage import CoreStorage, Unusable
from millethead.lab.core_time import Timeline
from millethead.lab.disk import SimulatedDisk
from millethead.programs.disk_maintenance import DiskMaintenance
from millethead.replication.log import ReplicatedLog
from millethead.replication.messages import ChainHello
from millethead.replication.proposal import ViewProposal
from millethead.replication.replica import EPOCH_START_PAYLOAD, Replica, ReplicaSettings
from millethead.replication.view import ChainMember, Member, View
from millethead.rollout.register import AcceptorState
from millethead.rpc.codec import Record
from millethead.rpc.loop_budget import IterationBudget
from millethead.storage.log import Entry, Recovered, Snapshot
from millethead.storage.sync_times import MIN_LOOP_DELAY_S

LINK_RETRY_S = 0.05
COMPACT_ENTRIES = 12  # entries after the snapshot that have the log rewritten: few, so that it comes about often
REVIVE_S = 0.5  # between tries of a disk that takes no writes
HANDOVER_S = 3.0
SHORTEST_TICK_S = 0.005
LATE_TIMER_S = 0.001
MOST_DEFERRED = 2000  # events that wait for a frozen process
WALL_START_MS = 1_700_000_000_000


class Watcher(Protocol):
    """Who is told what the processes do."""

    def appended(self, process: CoreProcess, before: tuple[int, int], entry: Entry) -> None: ...

    def committed(self, process: CoreProcess, sequence: int) -> None: ...

    def view_adopted(self, process: CoreProcess, view: View) -> None: ...

    def proposed(self, process: CoreProcess, proposal: ViewProposal) -> None: ...

    def head_began(self, process: CoreProcess) -> None: ...


@dataclass(slots=True)
class DiskCondition:
    """Seconds that a sync takes, usually and now, and the time until which the disk stands still."""

    usual_s: float = 0.009
    sync_s: float = 0.009
    stalled_until: float = 0.0


@dataclass(slots=True, eq=False)
class Machine:
    """`disk` None: a relay. `rate`: how fast its steady clock runs."""

    address: str
    seeds: tuple[str, ...]
    disk: SimulatedDisk | None
    rate: float
    boot: float  # what its steady clock said at time 0
    bootstrap: bool
    condition: DiskCondition = field(default_factory=DiskCondition)
    process: CoreProcess | None = None
    frozen: bool = False
    deferred: list[tuple[CoreProcess, Callable[[], None], object]] = field(default_factory=list)
    held_synced: tuple[int, int] | None = None  # of the last process: its disk, and the last entry it held for synced
    removed: bool = False
    rotten: bool = False  # a bit of its log has gone bad, and no process has read it since


@dataclass(frozen=True, slots=True)
class AgentLoad:
    """What a head that begins has to do: `agents` come within `spread_s`, and of each the work on `records` records
    takes `record_s` of its processor."""

    agents: int
    records: int = 4
    record_s: float = 0.0005
    spread_s: float = 0.25


@dataclass(slots=True)
class Surroundings:
    """What all machines share. `load` None: processors take no time."""

    timeline: Timeline
    network: Network
    random: Random
    watcher: Watcher
    settings: ReplicaSettings
    load: AgentLoad | None = None


class WatchedLog(ReplicatedLog):
    """The program's log, which tells of each entry that it takes."""

    def __init__(self, process: CoreProcess, watcher: Watcher, recovered: Recovered) -> None:
        self._process, self._watcher = process, watcher
        super().__init__(process.state, recovered)

    def append(self, entry: Entry) -> object:
        self._watcher.appended(self._process, self.last, entry)
        return super().append(entry)


class _ArrivingAgent:
    """The records of one agent that has come to a new head: worked off as far as a turn's slice goes. The last one
    leads to an entry of the log."""

    def __init__(self, process: CoreProcess, processor: Processor, load: AgentLoad) -> None:
        self._process, self._processor, self._load = process, processor, load
        self._left = load.records

    def work(self) -> None:
        """Go on with what is left."""
        while self._left:
            if self._process.slices.exhausted:
                self._process.slices.defer(self.work)
                return
            self._left -= 1
            self._processor.spend(self._load.record_s)
        self._process.commit_nothing()


class CoreProcess:
    """One life of the control program on a machine."""

    def __init__(self, machine: Machine, around: Surroundings) -> None:
        self.machine, self.address = machine, machine.address
        self.alive = True
        self.draining = False
        self._around = around
        self._random = Random(around.random.getrandbits(64))
        self._bootstrap, machine.bootstrap = machine.bootstrap, False
        self.storage: CoreStorage | None = None
        self.state = ControlState()
        self.replica: Replica | None = None
        self.gate: CommitGate | None = None
        self.callers: CallHandler | None = None
        self.stream: ConfigurationStream | None = None
        self._links: dict[LinkEnd, None] = {}
        self._maintenance: DiskMaintenance | None = None
        self._reviving = False
        self._tick_due = 0.0
        self._processor = Processor(around.timeline) if around.load is not None else None
        self.slices = IterationBudget(self.now, self.soon)
        self._open()

    # ---- time --------------------------------------------------------------------------------------------

    def now(self) -> float:
        """The steady clock of the machine, in seconds."""
        ahead = self._processor.spent_s if self._processor is not None else 0.0
        return self.machine.boot + (self._around.timeline.now + ahead) * self.machine.rate

    def wall_ms(self) -> int:
        return WALL_START_MS + int(self._around.timeline.now * 1000)

    def post(self, call: Callable[[], None], source: object = None) -> None:
        """Have `call` done now, or when the process goes on; `source`: whose calls are done in their order."""
        if not self.alive:
            return
        if self.machine.frozen:
            if len(self.machine.deferred) < MOST_DEFERRED:
                self.machine.deferred.append((self, call, source))
        elif self._processor is not None:
            self._processor.post(lambda: self._call(call))
        else:
            call()

    def _call(self, call: Callable[[], None]) -> None:
        """A call has its turn; its process may have ended meanwhile."""
        if self.alive:
            call()

    def soon(self, call: Callable[[], None]) -> None:
        self.later(0.0, call)

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._around.timeline.after(delay_s / self.machine.rate, lambda: self.post(call))

    # ---- life --------------------------------------------------------------------------------------------

    def _open(self) -> None:
        """Open the disk, waiting until it can be used, and begin."""
        disk = self.machine.disk
        if disk is not None:
            try:
                self.storage = CoreStorage(disk, self._random, self._bootstrap, self.now, self.later, self._sync_s)
            except Unusable:
                self.later(REVIVE_S, self._open)
                return
        self.replica = self._make_replica()
        self._start_maintenance()
        self._around.network.listen(self)
        self._tick(self.replica)

    def _make_replica(self) -> Replica:
        storage = self.storage
        recovered = storage.recovered if storage is not None else Recovered(None, ())
        kept = storage.kept if storage is not None else AcceptorState()
        member = Member(self.address, storage.identity.disk_id if storage is not None else 0)
        bootstrapping = storage is not None and storage.identity.bootstrapping
        self.state = ControlState()
        log = WatchedLog(self, self._around.watcher, recovered)
        return Replica(
            member,
            self._random.getrandbits(63),
            self._around.settings,
            self,
            self,
            self._save,
            log,
            kept,
            self.machine.seeds,
            bootstrapping,
            self.now(),
            self._random,
        )

    def _sync_s(self) -> float:
        condition, now = self.machine.condition, self._around.timeline.now
        return max(0.0, condition.stalled_until - now) + condition.sync_s * self._random.uniform(0.7, 1.3)

    def _tick(self, replica: Replica) -> None:
        if self.replica is not replica:
            return
        now = self.now()
        if self.storage is not None and self._tick_due and now - self._tick_due >= MIN_LOOP_DELAY_S:
            self.storage.held_up(self._tick_due)
        replica.tick(now)
        self._maintain_disk()
        wait = max(SHORTEST_TICK_S, replica.next_tick() - now) + self._random.uniform(0.0, LATE_TIMER_S)
        self._tick_due = now + wait
        self.later(wait, lambda: self._tick(replica))

    def _start_maintenance(self) -> None:
        if self.storage is not None:
            self._maintenance = DiskMaintenance(self.storage, self._running().chain, self.now, COMPACT_ENTRIES)

    def _maintain_disk(self) -> None:
        storage = self.storage
        if storage is None:
            return
        if storage.broken:
            if not self._reviving:
                self._reviving = True
                self.later(REVIVE_S, self._revive)
            return
        assert self._maintenance is not None
        self._maintenance.tick()

    def _revive(self) -> None:
        """The disk refused a write: go on as a new process would, once it takes writes."""
        disk = self.machine.disk
        assert disk is not None
        try:
            storage = CoreStorage(disk, self._random, False, self.now, self.later, self._sync_s)
        except Unusable:
            self.later(REVIVE_S, self._revive)
            return
        self.deposed()
        for link in list(self._links):
            link.close()
        self.storage, self._reviving = storage, False
        self.replica = self._make_replica()
        self._start_maintenance()
        self._tick(self.replica)

    def terminate(self, ended: Callable[[], None]) -> None:
        """SIGTERM: hand over, then end."""
        if self.replica is None:
            ended()
            return
        self.draining = True
        self.replica.leave(self.now())
        until = self.now() + HANDOVER_S

        def look() -> None:
            if self._running().handed_over or self.now() >= until:
                ended()
            else:
                self.later(0.02, look)

        look()

    def kill(self) -> None:
        """Nothing more is done; what the disk was at is left half done. The network and the disk are told apart."""
        self.alive = False
        if self.storage is not None:
            self.storage.interrupt()

    def _running(self) -> Replica:
        assert self.replica is not None
        return self.replica

    def chain_places(self) -> tuple[ChainMember, ...]:
        """The chain of the view that this process has adopted."""
        return self._running().view.chain

    @property
    def epoch(self) -> int:
        """The newest epoch that this process knows of."""
        return self._running().view.epoch

    @property
    def is_serving(self) -> bool:
        """Whether this process is the head and answers."""
        return self.alive and self.gate is not None

    # ---- what the replica asks for -----------------------------------------------------------------------

    def datagram(self, address: str, record: Record) -> None:
        self._around.network.datagram(self.address, address, record)

    def append(self, entries: Sequence[Entry], durable: Callable[[], None]) -> None:
        assert self.storage is not None
        self.storage.append(entries, durable)

    def truncate(self, sequence: int) -> None:
        assert self.storage is not None
        self.storage.truncate(sequence)

    def install(self, snapshot: Snapshot, durable: Callable[[], None]) -> None:
        assert self.storage is not None
        self.storage.install(snapshot, durable)

    def _save(self, kept: AcceptorState, done: Callable[[], None]) -> None:
        if self.storage is not None:
            self.storage.save(kept, done)

    def disk_ms(self) -> int:
        return self.storage.latency_ms() if self.storage is not None else 0

    def open_link(self, address: str) -> None:
        self._open_link(address, self._running().chain.epoch)

    def _open_link(self, address: str, epoch: int) -> None:
        if self._running().chain.epoch != epoch:
            return

        def opened(link: LinkEnd) -> None:
            if self._running().chain.epoch != epoch:
                link.close()
                return
            self._links[link] = None
            self._running().chain.link_opened(link, address)

        def failed() -> None:
            self.later(LINK_RETRY_S, lambda: self._open_link(address, epoch))

        successor = self._running().chain.successor

        def refused() -> None:
            if successor is not None:
                self._running().process_ended(self.now(), successor)
            failed()

        self._around.network.connect(self, address, opened, failed, refused)

    def _probe(self, neighbour: ChainMember) -> None:
        """Find out whether a neighbour whose link has ended still listens."""
        self._around.network.connect(
            self,
            neighbour.member.address,
            lambda link: link.close(),
            lambda: None,
            lambda: self._running().process_ended(self.now(), neighbour),
        )

    def committed(self, sequence: int) -> None:
        self._around.watcher.committed(self, sequence)
        self._running().chain_committed(sequence)
        if self.gate is not None:
            self.gate.committed(sequence)

    def barrier_passed(self, number: int) -> None:
        if self.gate is not None:
            self.gate.barrier_passed(number)

    def reconciled(self) -> None:
        """Nothing to be done."""

    def proposing(self, proposal: ViewProposal) -> None:
        self._around.watcher.proposed(self, proposal)

    def view_changed(self, view: View) -> None:
        self._around.watcher.view_adopted(self, view)
        if self.storage is not None:
            self.storage.bootstrap_done()

    def serving(self, epoch: int) -> None:
        self.gate = CommitGate(self._running().chain, self.soon)
        self.stream = ConfigurationStream(epoch, self.state.configuration, self.gate)
        events = StateChangeCallbacks(lambda job: None, lambda outcome: None, self.stream.publish)
        self.callers = CallHandler(self.state, self.gate, events, self.wall_ms)
        self._around.watcher.head_began(self)
        self._welcome_agents()

    def commit_nothing(self) -> None:
        """Append an entry that changes nothing, if this process still serves."""
        if self.is_serving:
            self._running().chain.propose(EPOCH_START_PAYLOAD)

    def _welcome_agents(self) -> None:
        load, processor = self._around.load, self._processor
        if load is None or processor is None:
            return
        for _ in range(load.agents):
            agent = _ArrivingAgent(self, processor, load)
            self.later(self._random.uniform(0.0, load.spread_s), agent.work)

    def continue_in_view(self, view: View) -> None:
        assert self.gate is not None and self.stream is not None
        self.gate.continue_in_view()
        self.stream.continue_in_view(view.epoch)

    def deposed(self) -> None:
        if self.gate is not None:
            self.gate.close()
        if self.stream is not None:
            for caller in self.stream.callers:
                caller.link.close()
        self.gate = self.callers = self.stream = None

    # ---- what comes in -----------------------------------------------------------------------------------

    def datagram_received(self, record: Record, sender: str) -> None:
        if self.replica is not None:
            self.replica.receive(self.now(), record, sender)

    def link_received(self, link: LinkEnd, record: Record) -> None:
        if link not in self._links:
            if not isinstance(record, ChainHello):
                link.close()
                return
            self._links[link] = None
        if not self._running().link_record(self.now(), link, record):
            link.close()

    def link_closed(self, link: LinkEnd) -> None:
        self._links.pop(link, None)
        chain = self._running().chain
        neighbour = chain.neighbour_of(link)
        if chain.link_lost(link) and chain.successor is not None:
            address, epoch = chain.successor.member.address, chain.epoch
            self._probe(chain.successor)
            self.later(LINK_RETRY_S, lambda: self._open_link(address, epoch))
        elif neighbour is not None:
            self._probe(neighbour)

    def call(self, record: JobCall | ConfigurationCall, reply: Callable[[CallAnswer], None]) -> str | None:
        """A client's call. Returns None where it is taken, else the address of the head as far as it is known here."""
        if self.callers is None:
            return self.replica.head_address if self.replica is not None else ""
        if isinstance(record, JobCall):
            self.callers.job(record, lambda answer: reply(answer.value))
        else:
            self.callers.configuration(record, lambda answer: reply(answer.value))
        return None

    def follow(self, link: HeadLink, hello: CallerHello) -> CallerSession | None:
        """A follower of the configuration has connected; None where this process does not serve."""
        if self.stream is None:
            return None
        return self.stream.add_caller(CommittedLink(link, self._running().chain), hello)
