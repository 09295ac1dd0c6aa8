"""State of the decision module that a process hands over to its successor: learned values, workers, tags and jobs.

The functions convert between a module and plain values that fit JSON (infinite numbers in the form that Python's json
module uses). The keys are part of the protocol between the two processes, so that both may run different versions:
the tables below map each key to the attribute that holds its value. A missing key leaves the value of a new module.
"""

from __future__ import annotations

from math import isfinite
from typing import Any

from millethead.decide import interface as api
from millethead.decide.balance import DEADLINE_TIMER, Balancer
from millethead.decide.records import Flow, Job, Worker

LEARNED_NUMBERS = {
    "work": "mean_work",
    "slots": "mean_slots",
    "period": "report_period",
    "trust": "report_trust",
    "shift": "weight_tag_shift",
}
NUMBERS_BY_INDEX = {
    "pace": "kind_pace",
    "held": "kind_capacity",
    "busy": "zone_full",
    "size": "kind_slots",
    "alarm": "class_lost_at",
}
WORKER_FIELDS = {
    "free": "free_slots",
    "queued": "queued",
    "memory": "free_memory",
    "stamp": "report_time",
    "heard": "received_at",
    "luck": "rounding",
    "slow": "slowdown",
    "bad": "failures",
    "avoid": "avoid_until",
    "turn": "cold_turn",
    "shy": "backoff_until",
    "full": "rejected_at",
    "fulls": "rejections",
    "odd": "unusable_streak",
}
FLOW_FIELDS = ("reservation_tag", "weight_tag", "reservation_offset")  # values go without keys, in this order
JOB_FIELDS = {
    "slots": "slots",
    "memory": "memory",
    "local": "reservation_tag",
    "glob": "weight_tag",
    "end": "deadline",
    "late": "latest_start",
    "own": "running_time",
    "came": "arrived_at",
    "tries": "attempts",
    "ran": "first_sent",
    "group": "group",
}
RESTORED_JOB_TIMES = ("local", "glob", "end", "late", "came", "ran")


def learned_state(module: Balancer) -> dict[str, Any]:
    """The values learned from the whole fleet, and the tenants' tags."""
    return {
        **{key: getattr(module, name) for key, name in LEARNED_NUMBERS.items()},
        "took": module.mean_times,
        **{key: list(getattr(module, name).items()) for key, name in NUMBERS_BY_INDEX.items()},
        "flows": [[getattr(flow, name) for name in FLOW_FIELDS] for flow in module.flows],
    }


def restore_learned_state(module: Balancer, state: dict[str, Any]) -> None:
    """Set the values of `learned_state` in a new module."""
    for key, name in LEARNED_NUMBERS.items():
        if isinstance(value := state.get(key), int | float) and isfinite(value):
            setattr(module, name, value)
    if len(mean_times := state.get("took") or ()) == len(module.mean_times):
        module.mean_times = [float(x) for x in mean_times]
    for key, name in NUMBERS_BY_INDEX.items():
        getattr(module, name).update({int(index): float(value) for index, value in state.get(key) or ()})
    for flow, values in zip(module.flows, state.get("flows") or (), strict=False):
        for name, value in zip(FLOW_FIELDS, values, strict=True):
            setattr(flow, name, float(value))


def worker_states(module: Balancer) -> list[dict[str, Any]]:
    """The state of each worker: its last report, its failures, and the last turn used while it is cold."""
    return [
        {
            "id": worker.id,
            "started": worker.started,
            "good": list(worker.class_succeeded.items()),
            "shun": list(worker.class_avoided.items()),
            **{key: getattr(worker, name) for key, name in WORKER_FIELDS.items()},
        }
        for worker in module.workers.values()
    ]


def restore_worker(module: Balancer, state: dict[str, Any]) -> None:
    """Set the state of a worker, unless it is not listed here or has restarted since."""
    worker = module.workers.get(int(state["id"]))
    if worker is None or worker.started != state["started"]:
        return
    for key, name in WORKER_FIELDS.items():
        if (value := state.get(key)) is not None:
            setattr(worker, name, type(getattr(worker, name))(value))
    worker.class_succeeded.update({int(index): float(value) for index, value in state["good"]})
    worker.class_avoided.update({int(index): float(value) for index, value in state["shun"]})


def remove_job(module: Balancer, number: int) -> dict[str, Any] | None:
    """Remove a job with all its attempts and return its state; None if it is unknown or has its final answer."""
    job = module.jobs.get(number)
    if job is None or job.done:
        return None
    module._dequeue(job)
    job.done = True
    del module.jobs[number]
    state: dict[str, Any] = {key: float(getattr(job, name)) for key, name in JOB_FIELDS.items()}
    state.update(
        out=[(attempt, worker.id, sent) for attempt, (worker, sent) in job.in_flight.items()],
        taken=sorted(job.confirmed),
        left=sorted(job.unconfirmed),
        cls=job.job_class,
        key=job.key,
        flow=job.flow.index,
        shape=job.shape[2],
    )
    for worker, sent in job.in_flight.values():
        module.remove_attempt(job, worker, sent)
    return state


def adopt_job(module: Balancer, number: int, state: dict[str, Any], now: float) -> list[api.Action]:
    """Add a job of the predecessor under a new number, with its attempts; returns the module's next actions."""
    flow: Flow = module.flows[min(int(state["flow"]), len(module.flows) - 1)]
    module.sequence += 1
    event = api.JobArrived(
        number, int(state["cls"]), 0.0, float(state["slots"]), float(state["memory"]), 0, int(state["key"])
    )
    job = Job(event, flow, module.sequence, now, float(state["own"]))
    for key in RESTORED_JOB_TIMES:
        setattr(job, JOB_FIELDS[key], float(state[key]))
    job.attempts, job.group = int(state["tries"]), int(state["group"])
    job.shape = (job.job_class, job.slots, int(state["shape"]), job.group)
    job.confirmed, job.unconfirmed = set(map(int, state["taken"])), set(map(int, state["left"]))
    module.jobs[number] = job
    for attempt, worker_id, sent in state["out"]:
        worker = module.workers.get(worker_id)
        if worker is None:  # no longer listed, but the outcome of the attempt may still arrive
            worker = Worker(api.WorkerEntry(worker_id))
            worker.available = False
        module.add_attempt(job, int(attempt), worker, float(sent))
    module.now = now
    out: list[api.Action] = [
        api.SetTimer(number << 3 | DEADLINE_TIMER, max(0.0, job.deadline - now - 2 * module.settings.tick))
    ]
    if not job.in_flight:
        module._enqueue(job)
        module._place(job, out)
        module._schedule_sweep(out)
    return out
