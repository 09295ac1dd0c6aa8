"""Converts Faktory jobs to orders, and orders to the jobs that workers fetch."""

from __future__ import annotations

import base64
import json
import re
from math import inf
from typing import Any

from millethead.exchange.model import MAX_PARENTS, Attempt, Order, Plan
from millethead.frontends.faktory.resp import BadCommand
from millethead.frontends.faktory.setup import FaktorySetup
from millethead.frontends.times import read_rfc3339
from millethead.net.parse import MAX_BODY_BYTES

ORIGIN = "faktory"
DEFAULT_RESERVE_S = 1800.0  # the protocol's default
TARGET = "/api"
_JID = re.compile(r"[0-9A-Za-z_-]{8,64}")


def read_jid(job: dict[str, Any]) -> str:
    """Returns the job's id; raises BadCommand."""
    jid = job.get("jid")
    if not isinstance(jid, str) or not _JID.fullmatch(jid):
        raise BadCommand("jid: 8 to 64 letters, digits, '-' or '_' are wanted")
    return jid


class Jobs:
    """Converts jobs, for the configured classes and tenants."""

    def __init__(self, setup: FaktorySetup, classes: list[str], tenants: list[str], deadlines: list[float]) -> None:
        """`deadlines` are those of the classes, in ms."""
        self.setup, self.class_names, self.deadlines = setup, classes, deadlines
        self.classes = {name: n for n, name in enumerate(classes)}
        self.tenants, self.tenant_names = {name: n for n, name in enumerate(tenants)}, tenants

    def order(self, job: dict[str, Any], peer: tuple[str, int] | None, client: str = "") -> Order:
        """Converts a pushed job; raises BadCommand.

        Its `retry` is ignored: the job class alone determines whether a job is sent again.
        """
        jid, jobtype, args = read_jid(job), job.get("jobtype"), job.get("args")
        queue, custom = job.get("queue", "default"), job.get("custom") or {}
        if not isinstance(jobtype, str) or not jobtype or not isinstance(args, list):
            raise BadCommand("a jobtype and args are wanted")
        if not isinstance(queue, str) or not isinstance(custom, dict):
            raise BadCommand("a queue or custom of the wrong kind")
        name = self.setup.jobtypes.get(jobtype) or self.setup.queues.get(queue)
        if name is None:
            raise BadCommand("no class for this jobtype or queue")
        tenant = self.tenants.get(str(custom.get("tenant")), 0 if not self.tenants else None)
        if tenant is None:
            raise BadCommand("custom.tenant: unknown")
        number = self.classes[name]
        timeout = _seconds(custom.get("timeout"), inf, "custom.timeout")
        body = json.dumps(args, separators=(",", ":")).encode()
        if len(body) > MAX_BODY_BYTES:
            raise BadCommand("args are over 64 KiB")
        key = custom.get("key", jid)
        if not isinstance(key, str) or not re.fullmatch(r"[!-~]{1,128}", key):
            raise BadCommand("custom.key: 1 to 128 printable characters are wanted")
        return Order(
            jid,
            number,
            min(timeout * 1000, self.deadlines[number]),
            tenant,
            TARGET,
            body,
            key,
            fresh=True,
            jobtype=jobtype,
            queue=queue,
            origin=ORIGIN,
            peer=peer,
            reserve=1000 * _seconds(job.get("reserve_for"), DEFAULT_RESERVE_S, "reserve_for"),
            asked=timeout * 1000,
            client=client,
            plan=_plan(job.get("at"), custom),
        )

    def fetched(self, attempt: Attempt, now: float) -> dict[str, Any]:
        """Returns the job that a worker fetches; it may have come through any front end."""
        order, left = attempt.order, max(0.001, (attempt.end - now) / 1000)
        name = self.class_names[order.job_class]
        custom: dict[str, Any] = {"timeout": round(left, 3), "class": name}
        if self.tenant_names:
            custom["tenant"] = self.tenant_names[order.tenant]
        if order.once_key:
            custom["key"] = order.once_key
        if order.origin == ORIGIN:
            args = json.loads(order.body)
        else:
            try:
                args = [order.body.decode()]
            except UnicodeDecodeError:
                args, custom["encoding"] = [base64.b64encode(order.body).decode()], "base64"
            custom["target"] = order.target
        return {
            "jid": order.id,
            "jobtype": order.jobtype or name,
            "queue": order.queue or name,
            "args": args,
            "reserve_for": max(1, int(min(left, order.reserve / 1000))),
            "retry": 0,
            "custom": custom,
        }

    def accepted_classes(self, queues: list[str]) -> frozenset[int]:
        """The job classes that a worker accepts that fetches from these queues."""
        return frozenset(self.classes[self.setup.queues[q]] for q in queues if q in self.setup.queues)


def _seconds(raw: Any, default: float, field: str) -> float:
    """Checks a duration in seconds; raises BadCommand that names `field`."""
    if raw is None:
        return default
    if isinstance(raw, bool) or not isinstance(raw, int | float) or not 0 < raw < 1e9:
        raise BadCommand(f"{field}: seconds above 0 are wanted")
    return float(raw)


def _plan(at: Any, custom: dict[str, Any]) -> Plan | None:
    """Parses `at`, custom.after and custom.when_parent_fails; None if all are absent. Raises BadCommand."""
    after, on_failure = custom.get("after"), custom.get("when_parent_fails")
    if not at and after is None and on_failure is None:
        return None
    if on_failure not in (None, "fail", "run"):
        raise BadCommand("custom.when_parent_fails: run or fail is wanted")
    after = [] if after is None else after
    if (
        not isinstance(after, list)
        or len(after) > MAX_PARENTS
        or not all(isinstance(parent, str) and 0 < len(parent) <= 128 for parent in after)
    ):
        raise BadCommand(f"custom.after: a list of up to {MAX_PARENTS} jids is wanted")
    try:
        return Plan(read_rfc3339(str(at)) if at else 0.0, tuple(dict.fromkeys(after)), on_failure == "run")
    except ValueError as error:
        raise BadCommand(f"at: {error}") from None
