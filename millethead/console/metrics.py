"""Metrics in the Prometheus text format 0.0.4 (https://prometheus.io/docs/instrumenting/exposition_formats/).

The package `prometheus-client` is not used: it holds its own counters, which would duplicate those of the program
(docs/operation.md).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from millethead.exchange.counters import JobCounters

# A metric of an optional part: name, type, help, and for each sample the label name, the label value and the value.
ExtraMetric = tuple[str, str, str, Sequence[tuple[str, str, float]]]
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRIC_PREFIX = "dispatcher_"


@dataclass(slots=True, frozen=True)
class MetricsSnapshot:
    """The metrics at one moment. `counters` has a value for each of `classes`.

    `inflight`: jobs accepted and not finished; `listed`: workers in the list; `down`: listed workers not in use."""

    classes: Sequence[str]
    counters: JobCounters
    inflight: int
    listed: int
    down: int
    extra: Sequence[ExtraMetric] = ()  # of optional parts


def escape(value: str) -> str:
    """Escapes a label value."""
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')


def render(snapshot: MetricsSnapshot) -> bytes:
    """Returns the metrics page. It has a sample for each class, also where the value is 0."""
    counters, lines = snapshot.counters, list[str]()

    def counter(name: str, text: str, values: Iterable[int]) -> None:
        lines.append(f"# HELP {METRIC_PREFIX}{name} {text}")
        lines.append(f"# TYPE {METRIC_PREFIX}{name} counter")
        lines.extend(
            f'{METRIC_PREFIX}{name}{{tier="{escape(c)}"}} {n}' for c, n in zip(snapshot.classes, values, strict=True)
        )

    def gauge(name: str, text: str, value: int) -> None:
        lines.extend(
            (
                f"# HELP {METRIC_PREFIX}{name} {text}",
                f"# TYPE {METRIC_PREFIX}{name} gauge",
                f"{METRIC_PREFIX}{name} {value}",
            )
        )

    counter("success_total", "Jobs served.", counters.served)
    counter("busy_total", "Jobs refused: trying again is harmless.", counters.refused)
    counter("failure_total", "Jobs failed.", counters.failed)
    counter("backend_calls_total", "Attempts written whole to booking workers.", counters.written)
    gauge("inflight", "Jobs taken and not yet ended.", snapshot.inflight)
    gauge("hosts_listed", "Booking workers in the list.", snapshot.listed)
    gauge("hosts_down", "Listed booking workers that are avoided, by hand or by choice.", snapshot.down)
    for name, kind, text, values in snapshot.extra:
        lines.extend((f"# HELP {METRIC_PREFIX}{name} {text}", f"# TYPE {METRIC_PREFIX}{name} {kind}"))
        for label, value, count in values:
            labels = f'{{{label}="{escape(value)}"}}' if label else ""
            lines.append(f"{METRIC_PREFIX}{name}{labels} {count}")
    return "\n".join(lines).encode() + b"\n"
