"""Metrics of an agent at `GET /-/metrics`. Imports only modules that an agent loads anyway."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from millethead.execution.agent import Agent
from millethead.execution.runs import RunState
from millethead.web.metrics import MetricFamily, Sample, gauge


def agent_metrics(agent: Agent, now: float) -> Iterator[MetricFamily]:
    """Yield the metrics of an agent. `now` is its monotonic time in seconds."""
    worker = agent.worker
    yield gauge("fence", "Epoch of the newest head that has welcomed this agent.", agent.epoch)
    yield gauge("lease_left_seconds", "For how long runs may still be held.", max(0.0, agent.lease_end - now))
    yield gauge("worker_known", "1 while a life of the worker is known.", worker is not None)
    yield gauge("worker_calls_under_way", "Calls to the worker that have not ended.", agent.calls_in_flight)
    counts = Counter(run.state for run in worker.runs) if worker is not None else Counter[RunState]()
    yield MetricFamily(
        "runs",
        "Runs at the worker by state.",
        [Sample((state.value,), counts[state]) for state in RunState],
        ("state",),
    )
