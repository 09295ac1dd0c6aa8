"""Metrics of a program in the Prometheus text format at `GET /-/metrics`, rendered by `prometheus-client`.

There are no separate counters and no background work: each request reads values that the program keeps anyway. The
library is imported on the first request, so that it does not slow down the start of the program.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import bottle  # type: ignore[import-untyped]

from millethead.web.responses import Response

METRICS_PATH = "/-/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "millethead_"


class MetricKind(enum.Enum):
    """Prometheus metric type."""

    GAUGE = "gauge"  # may rise and fall
    COUNTER = "counter"  # only rises, from 0 at the start of the process


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric, with the values of its labels."""

    labels: tuple[str, ...]
    value: float


@dataclass(frozen=True, slots=True)
class MetricFamily:
    """A metric with its samples. `name` excludes PREFIX and, for counters, the suffix `_total`. `labels` are the label
    names of the samples."""

    name: str
    help: str
    samples: Sequence[Sample]
    labels: tuple[str, ...] = ()
    kind: MetricKind = MetricKind.GAUGE


def gauge(name: str, help_text: str, value: float) -> MetricFamily:
    """A gauge with a single sample without labels."""
    return MetricFamily(name, help_text, (Sample((), value),))


def counter(name: str, help_text: str, value: float) -> MetricFamily:
    """A counter with a single sample without labels."""
    return MetricFamily(name, help_text, (Sample((), value),), kind=MetricKind.COUNTER)


def render(metrics: Iterable[MetricFamily]) -> bytes:
    """Renders metrics in the Prometheus text format."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
    from prometheus_client.registry import Collector

    families = {MetricKind.GAUGE: GaugeMetricFamily, MetricKind.COUNTER: CounterMetricFamily}

    class Page(Collector):
        def collect(self) -> Iterable[Metric]:
            for metric in metrics:
                family = families[metric.kind](PREFIX + metric.name, metric.help, labels=metric.labels)
                for sample in metric.samples:
                    family.add_metric(sample.labels, sample.value)
                yield family

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Page())
    return generate_latest(registry)


def add_metrics(app: bottle.Bottle, figures: Callable[[], Iterable[MetricFamily]]) -> None:
    """Adds a handler for METRICS_PATH to an application. It calls `figures` for each request."""

    @app.get(METRICS_PATH)  # type: ignore[untyped-decorator]
    def metrics() -> Response:
        return Response(200, render(list(figures())), CONTENT_TYPE)
