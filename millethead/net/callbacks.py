"""Worker call-backs: requests in which workers report the state of a job. They arrive at the clients' address."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import structlog

from millethead.decide.interface import Report
from millethead.net.parse import BadMessage

log = structlog.get_logger()
STATES = ("started", "running", "done", "failed", "returned", "lost")
CallbackHandler = Callable[[str, str, str, bytes, Report | None], bool]


def process_callback(
    body: bytes, parse: Callable[[str], Report | None], handle: CallbackHandler, last: bool = True
) -> bool:
    """Parses one call-back and passes it to `handle`. Returns whether an attempt waited for it.

    A call-back may precede the 202, repeat, or come late. Only an invalid body is an error: it raises BadMessage.
    `last`: no other process is asked afterwards, so a call-back that no attempt waits for is logged."""
    try:
        callback: Any = json.loads(body)
    except (ValueError, RecursionError):
        raise BadMessage(400, "news that is no JSON") from None
    if not isinstance(callback, dict):
        raise BadMessage(400, "news that is no object")
    job_id, worker, state = callback.get("id"), callback.get("from"), callback.get("state")
    result, load = callback.get("result", ""), callback.get("load")
    if not isinstance(job_id, str) or not isinstance(worker, str) or state not in STATES:
        raise BadMessage(400, "news without id, from or state")
    if not isinstance(result, str) or not (load is None or isinstance(load, dict)):
        raise BadMessage(400, "news with a result or load of the wrong kind")
    found = handle(job_id, worker, state, result.encode("utf-8", "replace"), parse(json.dumps(load)) if load else None)
    if not found and last:
        log.info("news_of_no_attempt", job=job_id, worker=worker, state=state)
    return found
