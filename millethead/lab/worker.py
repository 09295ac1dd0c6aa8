"""A stand-in worker: a pure model of what runs there; `lab.worker_server` has the same behind HTTP.

The model keeps to the pages of the protocol: fences, holds on its own steady clock, lapses, checkpoints, gangs, ends
by rising number, and lives. Times are seconds; what is on the wire is milliseconds of the worker's clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from millethead.execution.messages import Resources

MS = 1000.0
MOST_WAIT_MS = 2000
MOST_ENDS_LISTED = 500
OK, INVALID, NOT_FOUND, CONFLICT, WRONG_LIFE, UNHEALTHY = 200, 400, 404, 409, 421, 503

Body = dict[str, Any]
USUAL_CAPACITY = Resources(8000, 16_384, 0)


@dataclass(frozen=True, slots=True)
class TaskWork:
    """What a task asks of a worker. `gang`: how many members of its step start together (0: none)."""

    seconds: float
    needs: Resources
    how: str = "done"
    gang: int = 0
    checkpoints: bool = False


@dataclass(frozen=True, slots=True)
class WorkerProfile:
    """A worker and its figures. `rate`: of its clock. `guards`: it rejects what does not fit; else it starts it."""

    service: str = "service"
    address: str = "127.0.0.1:1"
    zone: str = "zone"
    version: str = "v1"
    slots: int = 8
    capacity: Resources = USUAL_CAPACITY
    labels: tuple[str, ...] = ()
    guards: bool = False
    hold_max_ms: float = 6000
    stop_ms: float = 200
    gang_ms: float = 3000
    save_s: float = 2.0
    restore_ms: float = 250
    rate: float = 1.0


class Phase(Enum):
    """Where a run at the worker stands."""

    GATHERING = "gathering"  # waits for the other members of its gang
    WORKING = "working"
    STOPPING = "stopping"


@dataclass(slots=True)
class HeldRun:
    """A run at the worker. `begins_at`: when its work goes on; `done_before`: seconds of work saved by then."""

    task: str
    run: int
    work: TaskWork
    phase: Phase
    started_at: float
    begins_at: float
    done_before: float
    stops_at: float = math.inf

    @property
    def gang(self) -> str:
        """What the members of its gang share."""
        return f"{self.task.rsplit('.', 1)[0]}#{self.run}"


@dataclass(frozen=True, slots=True)
class Started:
    """One start, as it happened; `late`: by an order that had been held up; `over`: beyond the capacity."""

    at: float
    task: str
    run: int
    instance: str
    late: bool
    over: bool


@dataclass(frozen=True, slots=True)
class Ended:
    """One end, as it happened. `number` 0: with its life."""

    at: float
    number: int
    task: str
    run: int
    how: str
    saved: str
    instance: str


@dataclass(slots=True)
class _Life:
    instance: str
    began_at: float
    clock_offset_ms: float
    fence: int = 0
    held_until_ms: float = -math.inf
    last_seen: int = 0
    ends: list[Ended] = field(default_factory=list)
    count: int = 0
    runs: dict[tuple[str, int], HeldRun] = field(default_factory=dict)
    closed: dict[str, int] = field(default_factory=dict)
    sequence: int = 0


class WorkerModel:
    """One worker through its lives. `work` tells what the task of a name and a spec asks; `starts` and `ends` are what
    happened, in order."""

    def __init__(
        self,
        profile: WorkerProfile,
        work: Callable[[str, str], TaskWork],
        instance: str,
        now: float,
        clock_ms: float = 1000.0,
    ) -> None:
        self.profile = profile
        self._work = work
        self.starts: list[Started] = []
        self.ends: list[Ended] = []
        self.up = True
        self.healthy = True
        self.draining_until: float | None = None
        self._life = _Life(instance, now, clock_ms)

    # ---- what it says of itself ----------------------------------------------------------------------

    @property
    def instance(self) -> str:
        """The id of its life."""
        return self._life.instance

    def clock_ms(self, now: float) -> float:
        """Its steady clock."""
        return self._life.clock_offset_ms + (now - self._life.began_at) * MS * self.profile.rate

    def beat(self, now: float) -> Body:
        """The body of its next heartbeat."""
        self._life.sequence += 1
        profile, capacity = self.profile, self.profile.capacity
        body: Body = {
            "service": profile.service,
            "addr": profile.address,
            "zone": profile.zone,
            "version": profile.version,
            "slots": profile.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": capacity.cpu, "mem_mb": capacity.mem_mb, "gpu": capacity.gpu},
            "labels": list(profile.labels),
            "clock_ms": int(self.clock_ms(now)),
            "seq": self._life.sequence,
        }
        if self.draining_until is not None:
            body |= {"state": "draining", "remaining_ms": int(max(0.0, self.draining_until - now) * MS)}
        return body

    def drain(self, until: float) -> None:
        """Report from now on that it leaves, at `until` at the earliest."""
        self.draining_until = until

    def running(self) -> list[HeldRun]:
        """What runs there, in order of start."""
        return list(self._life.runs.values())

    def used(self) -> Resources:
        """What runs there takes together."""
        needs = [run.work.needs for run in self._life.runs.values()]
        return Resources(
            sum(need.cpu for need in needs), sum(need.mem_mb for need in needs), sum(need.gpu for need in needs)
        )

    @property
    def last_seen(self) -> int:
        """The highest end that was taken note of in this life."""
        return self._life.last_seen

    # ---- lives ---------------------------------------------------------------------------------------

    def crash(self, now: float) -> None:
        """The life is over; nothing is listed of what ran."""
        self.advance(now)
        for run in self._life.runs.values():
            self.ends.append(Ended(now, 0, run.task, run.run, "crashed", "", self._life.instance))
        self._life.runs.clear()
        self.up = False
        self.draining_until = None

    def restart(self, instance: str, now: float, clock_ms: float = 1000.0) -> None:
        """A new life begins."""
        self._life = _Life(instance, now, clock_ms)
        self.up, self.draining_until = True, None

    # ---- calls ---------------------------------------------------------------------------------------

    def call(self, path: str, body: Body, expected: str | None, now: float, late: bool = False) -> tuple[int, Body]:
        """Carry a call out (a hold without its wait) and answer it."""
        self.advance(now)
        if expected is not None and expected != self._life.instance:
            return WRONG_LIFE, {}
        if not self.healthy and path != "/-/hold":
            return UNHEALTHY, {}
        if path not in ("/-/run-start", "/-/run-stop", "/-/hold"):
            return NOT_FOUND, {}
        if body.get("fence", 0) < self._life.fence:
            return self._reject("fence", now)
        self._life.fence = body.get("fence", 0)
        if path == "/-/run-start":
            return self._start(body, now, late)
        return self._stop(body, now) if path == "/-/run-stop" else self._hold(body, now)

    def hold_waits(self, body: Body) -> bool:
        """Whether a hold that has been carried out is still to wait for an end."""
        return bool(body.get("wait_ms")) and not self._listed(body.get("last_seen", 0))

    def lists(self, last_seen: int, now: float) -> Body:
        """Both lists, as a hold answers them."""
        self.advance(now)
        running = [[run.task, run.run, self._saved(run, now), self._percent(run, now)] for run in self.running()]
        exited = [[end.number, end.task, end.run, end.how, end.saved] for end in self._listed(last_seen)]
        return {"clock_ms": int(self.clock_ms(now)), "running": running, "exited": exited}

    def _listed(self, last_seen: int) -> list[Ended]:
        return [end for end in self._life.ends if end.number > last_seen][:MOST_ENDS_LISTED]

    def _reject(self, reason: str, now: float) -> tuple[int, Body]:
        return CONFLICT, {"clock_ms": int(self.clock_ms(now)), "reason": reason}

    def _accept(self, now: float) -> tuple[int, Body]:
        return OK, {"clock_ms": int(self.clock_ms(now))}

    def _grant(self, deadline_ms: float, now: float) -> None:
        cut = min(deadline_ms, self.clock_ms(now) + self.profile.hold_max_ms)
        self._life.held_until_ms = max(self._life.held_until_ms, cut)

    def _hold(self, body: Body, now: float) -> tuple[int, Body]:
        if not isinstance(body.get("wait_ms", 0), int) or not 0 <= body.get("wait_ms", 0) <= MOST_WAIT_MS:
            return INVALID, {}
        if "deadline_ms" in body:
            self._grant(body["deadline_ms"], now)
        seen = body.get("last_seen", 0)
        self._life.last_seen = max(self._life.last_seen, seen)
        self._life.ends = [end for end in self._life.ends if end.number > self._life.last_seen]
        return OK, self.lists(seen, now)

    def _stop(self, body: Body, now: float) -> tuple[int, Body]:
        task, number = body["task"], body["run"]
        run = self._life.runs.get((task, number))
        if run is None:
            self._life.closed[task] = max(self._life.closed.get(task, 0), number)
        elif run.phase is not Phase.STOPPING:
            run.phase, run.stops_at = Phase.STOPPING, now + self.profile.stop_ms / MS
        return self._accept(now)

    def _start(self, body: Body, now: float, late: bool) -> tuple[int, Body]:
        task, number, deadline = body["task"], body["run"], body["deadline_ms"]
        if (task, number) in self._life.runs:
            self._grant(deadline, now)
            return self._accept(now)
        if deadline <= self.clock_ms(now):
            return self._reject("late", now)
        self._grant(deadline, now)
        if number <= self._life.closed.get(task, 0):
            return self._reject("old", now)
        work = self._work(task, body["spec"])
        over = not self._fits(work)
        if over and self.profile.guards:
            return self._reject("room", now)
        self._begin(task, number, work, body.get("checkpoint", ""), now)
        self.starts.append(Started(now, task, number, self._life.instance, late, over))
        return self._accept(now)

    def _fits(self, work: TaskWork) -> bool:
        used, most = self.used(), self.profile.capacity
        return (
            used.cpu + work.needs.cpu <= most.cpu
            and used.mem_mb + work.needs.mem_mb <= most.mem_mb
            and used.gpu + work.needs.gpu <= most.gpu
        )

    def _begin(self, task: str, number: int, work: TaskWork, checkpoint: str, now: float) -> None:
        done_before = float(checkpoint) if checkpoint else 0.0
        begins_at = now + (self.profile.restore_ms / MS if checkpoint else 0.0)
        phase = Phase.GATHERING if work.gang else Phase.WORKING
        run = HeldRun(task, number, work, phase, now, begins_at, done_before)
        self._life.runs[(task, number)] = run
        members = [other for other in self._life.runs.values() if other.gang == run.gang]
        if work.gang and len(members) >= work.gang:
            for member in members:
                member.phase, member.begins_at = Phase.WORKING, max(member.begins_at, now)

    # ---- time ----------------------------------------------------------------------------------------

    def next_event(self) -> float:
        """When something next happens there by itself; +inf: not before another call."""
        return min((at for at, _, _ in self._events()), default=math.inf)

    def advance(self, now: float) -> None:
        """Let everything happen that was due by `now`, in order."""
        while self.up and (due := min(self._events(), key=lambda event: event[0], default=None)) is not None:
            at, run, how = due
            if at > now:
                return
            if how == "lapsed":
                for held in self.running():
                    self._end(held, how, at)
            else:
                self._end(run, how, at)
                self._break_gang(run, how, at)

    def _events(self) -> list[tuple[float, HeldRun, str]]:
        life = self._life
        if not life.runs:
            return []
        first = next(iter(life.runs.values()))
        held_for_s = (life.held_until_ms - life.clock_offset_ms) / (MS * self.profile.rate)
        events = [(life.began_at + held_for_s, first, "lapsed")]
        return events + [self._own_event(run) for run in life.runs.values()]

    def _own_event(self, run: HeldRun) -> tuple[float, HeldRun, str]:
        if run.phase is Phase.STOPPING:
            return run.stops_at, run, "stopped"
        if run.phase is Phase.GATHERING:
            return run.started_at + self.profile.gang_ms / MS, run, "alone"
        return run.begins_at + max(0.0, run.work.seconds - run.done_before), run, run.work.how

    def _break_gang(self, ended: HeldRun, how: str, at: float) -> None:
        """An end of one member is the end of all: `done` together, or else broken."""
        if not ended.work.gang or how == "alone":
            return
        for member in self.running():
            if member.gang == ended.gang:
                self._end(member, "done" if how == "done" else "broken", at)

    def _end(self, run: HeldRun, how: str, at: float) -> None:
        saved = self._saved(run, at, at_stop=how == "stopped")
        del self._life.runs[(run.task, run.run)]
        self._life.closed[run.task] = max(self._life.closed.get(run.task, 0), run.run)
        self._life.count += 1
        end = Ended(at, self._life.count, run.task, run.run, how, saved, self._life.instance)
        self._life.ends.append(end)
        self.ends.append(end)

    def _worked(self, run: HeldRun, now: float) -> float:
        """Seconds of its work that are done."""
        if run.phase is Phase.GATHERING:
            return run.done_before
        return min(run.work.seconds, run.done_before + max(0.0, now - run.begins_at))

    def _saved(self, run: HeldRun, now: float, at_stop: bool = False) -> str:
        if not run.work.checkpoints:
            return ""
        worked = self._worked(run, now)
        saved = worked if at_stop else math.floor(worked / self.profile.save_s) * self.profile.save_s
        return f"{saved:.3f}" if saved > 0 else ""

    def _percent(self, run: HeldRun, now: float) -> int:
        return int(100 * self._worked(run, now) / run.work.seconds) if run.work.seconds else 100
