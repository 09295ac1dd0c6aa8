"""Figures of a program in Prometheus' text form, by `prometheus-client`, at `GET /-/metrics`.

Nothing is counted twice and nothing runs for it: what a program holds anyway is read when somebody asks. The library is
imported by the first request, so that a start is not charged for it.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import bottle  # type: ignore[import-untyped]

from millethead.web.answers import Answer

METRICS_PATH = "/-/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "millethead_"


class FigureKind(enum.Enum):
    """How a figure moves."""

    GAUGE = "gauge"  # up and down
    COUNTER = "counter"  # only up, from 0 at the start of the process


@dataclass(frozen=True, slots=True)
class Sample:
    """One line of a figure: the values of its labels, and its own."""

    labels: tuple[str, ...]
    value: float


@dataclass(frozen=True, slots=True)
class Figure:
    """`name` is without the prefix, and a counter's without `_total`. `labels` names those of the samples."""

    name: str
    help: str
    samples: Sequence[Sample]
    labels: tuple[str, ...] = ()
    kind: FigureKind = FigureKind.GAUGE


def gauge(name: str, help_text: str, value: float) -> Figure:
    """A figure of one line that may go up and down."""
    return Figure(name, help_text, (Sample((), value),))


def counter(name: str, help_text: str, value: float) -> Figure:
    """A figure of one line that only goes up."""
    return Figure(name, help_text, (Sample((), value),), kind=FigureKind.COUNTER)


def render(figures: Iterable[Figure]) -> bytes:
    """The page."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
    from prometheus_client.registry import Collector

    families = {FigureKind.GAUGE: GaugeMetricFamily, FigureKind.COUNTER: CounterMetricFamily}

    class Page(Collector):
        def collect(self) -> Iterable[Metric]:
            for figure in figures:
                family = families[figure.kind](PREFIX + figure.name, figure.help, labels=figure.labels)
                for sample in figure.samples:
                    family.add_metric(sample.labels, sample.value)
                yield family

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Page())
    return generate_latest(registry)


def add_metrics(app: bottle.Bottle, figures: Callable[[], Iterable[Figure]]) -> None:
    """Have an application answer METRICS_PATH with what `figures` gives at that moment."""

    @app.get(METRICS_PATH)  # type: ignore[untyped-decorator]
    def metrics() -> Answer:
        return Answer(200, render(list(figures())), CONTENT_TYPE)
