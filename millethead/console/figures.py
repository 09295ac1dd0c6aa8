"""The figures as Prometheus reads them (text format 0.0.4, https://prometheus.io/docs/instrumenting/exposition_formats/).

A few lines of our own: `prometheus-client` keeps counters of its own, which would be a second bookkeeping
(docs/operation.md; what it costs in memory and start time is not measured).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from millethead.exchange.counters import JobCounters

# a figure of a part that is off without its table: name, type, help, and for each line a label, its value and the count
More = tuple[str, str, str, Sequence[tuple[str, str, float]]]
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "dispatcher_"


@dataclass(slots=True, frozen=True)
class Figures:
    """What the program counts, at one moment. `tally` has a line for each of `classes`."""

    classes: Sequence[str]
    tally: JobCounters
    inflight: int
    listed: int
    down: int
    more: Sequence[More] = ()  # of parts that an operator has set up


def escape(value: str) -> str:
    """A label's value as the format wants it."""
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')


def render(figures: Figures) -> bytes:
    """The whole page; every class is there from the start."""
    tally, lines = figures.tally, list[str]()

    def counter(name: str, text: str, values: Iterable[int]) -> None:
        lines.append(f"# HELP {PREFIX}{name} {text}")
        lines.append(f"# TYPE {PREFIX}{name} counter")
        lines.extend(f'{PREFIX}{name}{{tier="{escape(c)}"}} {n}' for c, n in zip(figures.classes, values, strict=True))

    def gauge(name: str, text: str, value: int) -> None:
        lines.extend((f"# HELP {PREFIX}{name} {text}", f"# TYPE {PREFIX}{name} gauge", f"{PREFIX}{name} {value}"))

    counter("success_total", "Jobs served.", tally.served)
    counter("busy_total", "Jobs refused: trying again is harmless.", tally.refused)
    counter("failure_total", "Jobs failed.", tally.failed)
    counter("backend_calls_total", "Attempts written whole to booking workers.", tally.written)
    gauge("inflight", "Jobs taken and not yet ended.", figures.inflight)
    gauge("hosts_listed", "Booking workers in the list.", figures.listed)
    gauge("hosts_down", "Listed booking workers that are avoided, by hand or by choice.", figures.down)
    for name, kind, text, values in figures.more:
        lines.extend((f"# HELP {PREFIX}{name} {text}", f"# TYPE {PREFIX}{name} {kind}"))
        for label, value, count in values:
            labels = f'{{{label}="{escape(value)}"}}' if label else ""
            lines.append(f"{PREFIX}{name}{labels} {count}")
    return "\n".join(lines).encode() + b"\n"
