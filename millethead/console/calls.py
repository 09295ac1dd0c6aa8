"""What each call of the staff means. No input or output here but the desk's, which the program hands in."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from millethead.console.figures import CONTENT_TYPE, Figures, render
from millethead.console.store import NAME
from millethead.net.accept import Reply
from millethead.net.parse import Request

METHODS = {
    "/ops/readiness": "GET",
    "/ops/stats": "GET",
    "/ops/booking-workers/down": "POST",
    "/ops/booking-workers/up": "POST",
}
WANTED = 'a JSON object with the id of a booking worker is wanted: {"member":"ID"}'


Part = Callable[[Request], Awaitable[Reply]]


class UnknownMember(Exception):
    """No booking worker has this id."""


class NotKept(Exception):
    """The call could not be carried out; the text says why in one line."""


class Desk(Protocol):
    """What the program does for its staff."""

    @property
    def takes(self) -> str:
        """Why no clients are taken; empty when they are."""

    def figures(self) -> Figures: ...

    def take_out(self, member: str) -> None:
        """Leave a booking worker out; raises UnknownMember or NotKept."""

    def put_back(self, member: str) -> None:
        """Use it again; raises UnknownMember or NotKept."""


class Calls:
    """`parts` are the calls of parts that an operator has set up: path -> (method, what answers it)."""

    def __init__(self, desk: Desk) -> None:
        self.desk, self.parts = desk, dict[str, tuple[str, Part]]()

    async def reply(self, request: Request) -> Reply:
        """The answer to one call, whoever's it is."""
        method, part = self.parts.get(request.path, ("", None))
        if part is not None and request.method == method:
            return await part(request)
        return self.answer(request)

    def answer(self, request: Request) -> Reply:
        """The answer to one call: 2xx for yes; a 4xx or 5xx with one line that says what was wanted."""
        path = request.path
        method = METHODS.get(path) or self.parts.get(path, (None,))[0]
        if method is None:
            return _no(404, "no such call; there are " + ", ".join((*METHODS, *self.parts)))
        if request.method != method:
            return Reply(405, f"{method} is wanted here\n".encode(), {"Allow": method})
        if path == "/ops/readiness":
            why = self.desk.takes
            return _no(503, f"no: {why}") if why else Reply(200, b"yes\n")
        if path == "/ops/stats":
            return Reply(200, render(self.desk.figures()), {"Content-Type": CONTENT_TYPE})
        member = read_member(request.body)
        if member is None:
            return _no(400, WANTED)
        try:
            if path == "/ops/booking-workers/down":
                self.desk.take_out(member)
                return Reply(200, f"{member} is left out until it is called back\n".encode())
            self.desk.put_back(member)
            return Reply(200, f"{member} is used again\n".encode())
        except UnknownMember:
            return _no(404, "no booking worker has this id: see `name` in discovery's list")
        except NotKept as why:
            return _no(503, str(why))


def read_member(body: bytes) -> str | None:
    """The id that a call names; None if it names none that could be one."""
    try:
        raw: Any = json.loads(body)
    except (ValueError, RecursionError):
        return None
    member = raw.get("member") if isinstance(raw, dict) else None
    usable = isinstance(member, str) and 0 < len(member) <= NAME and member.isprintable()
    return member if usable else None


def json_reply(status: int, body: Any) -> Reply:
    return Reply(status, json.dumps(body).encode() + b"\n", {"Content-Type": "application/json"})


def _no(status: int, text: str) -> Reply:
    return Reply(status, text.encode() + b"\n")
