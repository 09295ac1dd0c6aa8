"""Metrics of a dispatcher at `GET /-/metrics`. Imports only modules that a dispatcher loads anyway."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from millethead.web.metrics import MetricFamily, MetricKind, Sample, gauge


def dispatcher_metrics(
    configuration: int, head_connected: bool, ready: bool, pending_requests: int, answers: Mapping[int, int]
) -> Iterator[MetricFamily]:
    """Yield the metrics of a dispatcher. `answers` has the number of responses by status."""
    yield gauge("configuration_version", "Version of the configuration in force here.", configuration)
    yield gauge("head_connected", "1 while the head can be called.", head_connected)
    yield gauge("ready", "1 while new connections are wanted.", ready)
    yield gauge("requests_under_way", "Requests that wait for the core's answer.", pending_requests)
    yield MetricFamily(
        "requests",
        "Requests by the status of their answer.",
        [Sample((str(status),), count) for status, count in sorted(answers.items())],
        ("status",),
        MetricKind.COUNTER,
    )
