"""Console endpoint of membership: `GET /members`."""

from __future__ import annotations

from millethead.console.calls import CallHandler, json_reply
from millethead.members.shell import Members
from millethead.net.accept import Reply
from millethead.net.parse import Request


def members_call(members: Members) -> CallHandler:
    """Returns the handler of `GET /members`."""

    async def handle(request: Request) -> Reply:
        return json_reply(200, members.status())

    return handle
