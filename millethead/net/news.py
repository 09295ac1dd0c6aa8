"""Call-backs: workers tell at the clients' address what became of a job."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import structlog

from millethead.decide.interface import Report
from millethead.net.parse import BadMessage

log = structlog.get_logger()
STATES = ("started", "running", "done", "failed", "returned", "lost")
Take = Callable[[str, str, str, bytes, Report | None], bool]


def read_news(body: bytes, report: Callable[[str], Report | None], take: Take, last: bool = True) -> bool:
    """Hand one call-back on; whether an attempt waited for it. It may precede the 202, repeat, or come late: only
    a bad body is an error. `last`: nobody else will be asked."""
    try:
        news: Any = json.loads(body)
    except (ValueError, RecursionError):
        raise BadMessage(400, "news that is no JSON") from None
    if not isinstance(news, dict):
        raise BadMessage(400, "news that is no object")
    job_id, worker, state = news.get("id"), news.get("from"), news.get("state")
    result, load = news.get("result", ""), news.get("load")
    if not isinstance(job_id, str) or not isinstance(worker, str) or state not in STATES:
        raise BadMessage(400, "news without id, from or state")
    if not isinstance(result, str) or not (load is None or isinstance(load, dict)):
        raise BadMessage(400, "news with a result or load of the wrong kind")
    found = take(job_id, worker, state, result.encode("utf-8", "replace"), report(json.dumps(load)) if load else None)
    if not found and last:
        log.info("news_of_no_attempt", job=job_id, worker=worker, state=state)
    return found
