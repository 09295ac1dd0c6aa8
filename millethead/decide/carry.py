"""What of the module's state goes to a successor: figures learned, what is known of workers, tags, and single jobs.

Plain values by worker number, fit for JSON. Nothing here decides: what is read from one module is put into another.
A value that is missing is left as a new module has it. Infinite ones are written as Python's JSON has them.
"""

from __future__ import annotations

from math import isfinite
from typing import Any

from millethead.decide import interface as api
from millethead.decide.balance import DEADLINE, Balancer
from millethead.decide.records import Flow, Job, Worker

FIGURES = ("work", "slots", "period", "trust", "shift")
BY_NUMBER = ("pace", "held", "busy", "size", "alarm")
OF_WORKER = (
    "free",
    "queued",
    "memory",
    "stamp",
    "heard",
    "luck",
    "slow",
    "bad",
    "avoid",
    "turn",
    "shy",
    "full",
    "fulls",
    "odd",
)
OF_FLOW = ("local", "glob", "lowered")
OF_JOB = ("slots", "memory", "local", "glob", "end", "late", "own", "came", "tries", "ran", "group")


def figures(module: Balancer) -> dict[str, Any]:
    """What was learned of the whole fleet, and the tenants' tags."""
    return {
        **{name: getattr(module, name) for name in FIGURES},
        "took": module.took,
        **{name: list(getattr(module, name).items()) for name in BY_NUMBER},
        "flows": [[getattr(flow, name) for name in OF_FLOW] for flow in module.flows],
    }


def take_figures(module: Balancer, said: dict[str, Any]) -> None:
    for name in FIGURES:
        if isinstance(value := said.get(name), int | float) and isfinite(value):
            setattr(module, name, value)
    if len(took := said.get("took") or ()) == len(module.took):
        module.took = [float(x) for x in took]
    for name in BY_NUMBER:
        getattr(module, name).update({int(key): float(value) for key, value in said.get(name) or ()})
    for flow, values in zip(module.flows, said.get("flows") or (), strict=False):
        for name, value in zip(OF_FLOW, values, strict=True):
            setattr(flow, name, float(value))


def workers(module: Balancer) -> list[dict[str, Any]]:
    """What is known of each worker: its reports, its faults, and how far a cold one's turns are used."""
    return [
        {
            "id": w.id,
            "started": w.started,
            "good": list(w.good.items()),
            "shun": list(w.shun.items()),
            **{name: getattr(w, name) for name in OF_WORKER},
        }
        for w in module.workers.values()
    ]


def take_worker(module: Balancer, said: dict[str, Any]) -> None:
    """Put in what is said of a worker, if it is known here and has not started anew since."""
    w = module.workers.get(int(said["id"]))
    if w is None or w.started != said["started"]:
        return
    for name in OF_WORKER:
        if (value := said.get(name)) is not None:
            setattr(w, name, type(getattr(w, name))(value))
    w.good.update({int(key): float(value) for key, value in said["good"]})
    w.shun.update({int(key): float(value) for key, value in said["shun"]})


def release(module: Balancer, number: int) -> dict[str, Any] | None:
    """Take a job out of the module, with all that it holds at workers; None if it is not there or ended."""
    job = module.jobs.get(number)
    if job is None or job.done:
        return None
    module._unwait(job)
    job.done = True
    del module.jobs[number]
    said: dict[str, Any] = {name: float(getattr(job, name)) for name in OF_JOB}
    said.update(
        out=[(n, w.id, sent) for n, (w, sent) in job.out.items()],
        taken=sorted(job.taken),
        left=sorted(job.left),
        cls=job.cls,
        key=job.key,
        flow=job.flow.index,
        shape=job.shape[2],
    )
    for w, sent in job.out.values():
        module.put_away(job, w, sent)
    return said


def adopt(module: Balancer, number: int, said: dict[str, Any], now: float) -> list[api.Action]:
    """Put a job of the predecessor in under a new number, with its attempts; returns what the module does next."""
    flow: Flow = module.flows[min(int(said["flow"]), len(module.flows) - 1)]
    module.seq += 1
    event = api.JobArrived(
        number, int(said["cls"]), 0.0, float(said["slots"]), float(said["memory"]), 0, int(said["key"])
    )
    job = Job(event, flow, module.seq, now, float(said["own"]))
    for name in ("local", "glob", "end", "late", "came", "ran"):
        setattr(job, name, float(said[name]))
    job.tries, job.group = int(said["tries"]), int(said["group"])
    job.shape = (job.cls, job.slots, int(said["shape"]), job.group)
    job.taken, job.left = set(map(int, said["taken"])), set(map(int, said["left"]))
    module.jobs[number] = job
    for n, worker, sent in said["out"]:
        w = module.workers.get(worker)
        if w is None:  # it is in no list any more, and may still tell how the job ended
            w = Worker(api.WorkerEntry(worker))
            w.open = False
        module.put_out(job, int(n), w, float(sent))
    module.now = now
    out: list[api.Action] = [api.SetTimer(number << 3 | DEADLINE, max(0.0, job.end - now - 2 * module.set.tick))]
    if not job.out:
        module._wait(job)
        module._offer(job, out)
        module._sweep_later(out)
    return out
