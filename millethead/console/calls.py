"""Request handling of the operator console. All effects go through the OperatorActions that the program provides."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from millethead.console.excluded_workers import MAX_NAME_CHARACTERS
from millethead.console.metrics import CONTENT_TYPE, MetricsSnapshot, render
from millethead.net.accept import Reply
from millethead.net.parse import Request

METHODS = {
    "/ops/readiness": "GET",
    "/ops/stats": "GET",
    "/ops/booking-workers/down": "POST",
    "/ops/booking-workers/up": "POST",
}
MEMBER_REQUIRED = 'a JSON object with the id of a booking worker is wanted: {"member":"ID"}'


CallHandler = Callable[[Request], Awaitable[Reply]]


class UnknownWorker(Exception):
    """No booking worker has this id."""


class ActionFailed(Exception):
    """The action could not be carried out. The text gives the reason in one line."""


class OperatorActions(Protocol):
    """What operators can read and do through the console."""

    @property
    def not_ready_reason(self) -> str:
        """Why the program does not accept clients. Empty if it does."""

    def metrics(self) -> MetricsSnapshot:
        """Returns the current metrics."""

    def take_out(self, member: str) -> None:
        """Excludes a booking worker from new jobs. Raises UnknownWorker or ActionFailed."""

    def put_back(self, member: str) -> None:
        """Ends the exclusion. Raises UnknownWorker or ActionFailed."""


class Calls:
    """Routes requests of the console. `handlers` are the calls of optional parts: path -> (method, handler)."""

    def __init__(self, actions: OperatorActions) -> None:
        self.actions, self.handlers = actions, dict[str, tuple[str, CallHandler]]()

    async def reply(self, request: Request) -> Reply:
        """Returns the reply to one request, from an optional part or from `answer`."""
        method, handler = self.handlers.get(request.path, ("", None))
        if handler is not None and request.method == method:
            return await handler(request)
        return self.answer(request)

    def answer(self, request: Request) -> Reply:
        """Returns the reply to one of the calls in METHODS, or an error reply of one line."""
        path = request.path
        method = METHODS.get(path) or self.handlers.get(path, (None,))[0]
        if method is None:
            return _error(404, "no such call; there are " + ", ".join((*METHODS, *self.handlers)))
        if request.method != method:
            return Reply(405, f"{method} is wanted here\n".encode(), {"Allow": method})
        if path == "/ops/readiness":
            why = self.actions.not_ready_reason
            return _error(503, f"no: {why}") if why else Reply(200, b"yes\n")
        if path == "/ops/stats":
            return Reply(200, render(self.actions.metrics()), {"Content-Type": CONTENT_TYPE})
        member = read_member(request.body)
        if member is None:
            return _error(400, MEMBER_REQUIRED)
        try:
            if path == "/ops/booking-workers/down":
                self.actions.take_out(member)
                return Reply(200, f"{member} is left out until it is called back\n".encode())
            self.actions.put_back(member)
            return Reply(200, f"{member} is used again\n".encode())
        except UnknownWorker:
            return _error(404, "no booking worker has this id: see `name` in discovery's list")
        except ActionFailed as why:
            return _error(503, str(why))


def read_member(body: bytes) -> str | None:
    """Returns the worker id in the body of a call, or None if there is no valid one."""
    try:
        raw: Any = json.loads(body)
    except (ValueError, RecursionError):
        return None
    member = raw.get("member") if isinstance(raw, dict) else None
    usable = isinstance(member, str) and 0 < len(member) <= MAX_NAME_CHARACTERS and member.isprintable()
    return member if usable else None


def json_reply(status: int, body: Any) -> Reply:
    return Reply(status, json.dumps(body).encode() + b"\n", {"Content-Type": "application/json"})


def _error(status: int, text: str) -> Reply:
    return Reply(status, text.encode() + b"\n")
