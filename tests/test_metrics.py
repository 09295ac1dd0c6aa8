"""Metrics of the programs, parsed with the Prometheus parser: values, format and documentation."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import bottle
import pytest
from prometheus_client.parser import text_string_to_metric_families
from test_agent import AgentHarness
from test_head import NAME, HeadHarness, job, worker
from test_system_docs import section

from millethead.control.calls import ConfigurationAck, DrainCall
from millethead.execution.messages import RunEnd
from millethead.net.parse import Request
from millethead.programs.agent_metrics import agent_metrics
from millethead.programs.control_metrics import head_metrics, member_metrics
from millethead.programs.dispatcher_metrics import dispatcher_metrics
from millethead.replication.log_position import NO_POSITION
from millethead.scheduling.model import StepKey
from millethead.web.dispatch import dispatch
from millethead.web.metrics import (
    CONTENT_TYPE,
    METRICS_PATH,
    PREFIX,
    MetricFamily,
    Sample,
    add_metrics,
    counter,
    gauge,
    render,
)

PROGRAMS = Path(__file__).parent.parent / "millethead" / "programs"


def read(metrics) -> dict[tuple[str, ...], float]:
    """Render metrics, parse the page and return the values by name and label values."""
    families = text_string_to_metric_families(render(list(metrics)).decode())
    return {
        (sample.name.removeprefix(PREFIX), *(sample.labels[label] for label in sorted(sample.labels))): sample.value
        for family in families
        for sample in family.samples
    }


def test_metrics_page_escapes_labels():
    special = 'a"b\\c\nd'
    page = read(
        [
            gauge("depth", "Deep.", 2.5),
            counter("seen", "Seen.", 3),
            MetricFamily("jobs", "Jobs.", [Sample((special, "done"), 1)], ("queue", "state")),
            MetricFamily("none", "No line.", [], ("queue",)),
        ]
    )
    assert page == {("depth",): 2.5, ("seen_total",): 3.0, ("jobs", special, "done"): 1.0}


def test_metrics_page_is_rendered_on_each_request():
    app, values = bottle.Bottle(), [1.0, 2.0]
    add_metrics(app, lambda: [gauge("value", "Value.", values.pop(0))])
    request = Request("GET", METRICS_PATH, {"host": "127.0.0.1"})
    first, second = dispatch(app, request), dispatch(app, request)
    assert (first.status, first.content_type) == (200, CONTENT_TYPE)
    assert b"value 1.0" in first.body and b"value 2.0" in second.body


def test_head_metrics():
    harness = HeadHarness()
    harness.agent(info=worker())
    harness.agent("n-2", worker("i-2"))
    harness.ask("POST", NAME, job({"count": 3}))
    harness.settle()
    harness.head.call(harness.caller, DrainCall(500, "n-2", True, NO_POSITION))
    harness.settle()
    page = read(head_metrics(harness.head))
    assert page["is_head",] == 1 and page["open_runs",] == 3 and page["uncommitted_entries",] == 0
    assert page["jobs", "slow", "running"] == 1
    assert page["workers", "alpha", "draining"] == 1 and page["workers", "alpha", "ready"] == 1
    assert (page["dispatchers",], page["dispatchers_behind",], page["configuration_version",]) == (1, 1, 1)
    harness.head.caller_record(harness.caller, ConfigurationAck(1, harness.state.configuration.place))
    assert read(head_metrics(harness.head))["dispatchers_behind",] == 0


def test_worker_with_failing_runs_counts_as_avoided():
    harness = HeadHarness()
    harness.agent(info=worker())
    for number in range(3):
        harness.head.scheduler.health.run_ended((StepKey(f"j{number}", 0, 0), 0, "i-1"), RunEnd.FAILED, 0.0)
    assert read(head_metrics(harness.head))["workers", "alpha", "avoided"] == 1


def test_worker_without_its_agent_counts_as_agent_away():
    harness = HeadHarness()
    agent = harness.agent(info=worker())
    harness.head.agent_disconnected(agent.session)
    assert read(head_metrics(harness.head))["workers", "alpha", "agent_away"] == 1


def test_metrics_of_a_member_that_is_not_the_head():
    assert read(head_metrics(None)) == {("is_head",): 0.0}


@pytest.mark.parametrize("disk", [True, False])
def test_member_metrics(disk):
    replica = SimpleNamespace(
        view=SimpleNamespace(epoch=7, chain=(1, 2), voters=(1, 2, 3)),
        chain=SimpleNamespace(log=SimpleNamespace(last=(7, 90)), committed=88),
    )
    disk_state = SimpleNamespace(size=4096, broken=False, latency_ms=lambda: 12)
    page = read(member_metrics(replica, *((disk_state, SimpleNamespace(completed_passes=3)) if disk else (None, None))))
    assert (page["view_epoch",], page["chain_members",], page["voters",]) == (7, 2, 3)
    assert (page["log_last_entry",], page["log_committed_entry",]) == (90, 88)
    assert page.get(("disk_sync_seconds",)) == (0.012 if disk else None)
    assert page.get(("disk_scrubs_total",)) == (3 if disk else None)


def test_dispatcher_metrics():
    page = read(dispatcher_metrics(5, True, False, 2, {200: 9, 503: 1}))
    assert page["requests_total", "200"] == 9 and page["requests_total", "503"] == 1
    assert (page["configuration_version",], page["head_connected",], page["ready",]) == (5, 1, 0)
    assert page["requests_under_way",] == 2


def test_agent_metrics():
    harness = AgentHarness()
    page = read(agent_metrics(harness.agent, harness.now))
    assert page["worker_known",] == 0 and page["lease_left_seconds",] == 0
    assert page["runs", "running"] == 0


def test_documentation_lists_exactly_the_metrics():
    code = "".join(path.read_text() for path in PROGRAMS.glob("*_metrics.py"))
    metrics = set(re.findall(r'gauge\("([a-z_]+)"', code)) | set(re.findall(r'MetricFamily\(\s*"([a-z_]+)"', code))
    metrics |= {f"{name}_total" for name in re.findall(r'counter\("([a-z_]+)"', code)}
    metrics = {"requests_total" if name == "requests" else name for name in metrics}
    rows = [row.split("|")[1] for row in section("Metrics").splitlines() if row.startswith("| `")]
    assert {name for row in rows for name in re.findall(r"`([a-z_]+)`", row)} == metrics


@pytest.mark.parametrize("program", ["dispatcher", "agent"])
def test_programs_do_not_import_the_head_or_the_metrics_library_at_start(program):
    """Each import costs memory and start-up time on every machine."""
    code = f"import sys, millethead.programs.{program}; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert "millethead.web.metrics" in loaded
    assert [name for name in loaded if name.split(".")[0] == "prometheus_client"] == []
    assert [name for name in loaded if name.startswith(("millethead.scheduling", "millethead.control.head"))] == []
