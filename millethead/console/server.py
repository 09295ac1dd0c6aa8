"""The console's HTTP server: few connections, one call on each, and a short timeout for clients that send nothing."""

from __future__ import annotations

from millethead.console.calls import Calls
from millethead.net.accept import Acceptor, Reply
from millethead.net.connection import Connection
from millethead.net.parse import Request

CALL_TIMEOUT_S = 0.8  # from connecting to the end of the request


class Console(Acceptor):
    """HTTP server of the operator console."""

    def __init__(self, calls: Calls, limit: int) -> None:
        """`limit`: connections at once. At the limit the oldest one without a complete request is closed."""
        super().__init__(self._serve, limit)
        self.calls, self.closing = calls, True  # each connection closes after its reply

    @property
    def first_request_timeout_s(self) -> float:
        return CALL_TIMEOUT_S

    async def _serve(self, conn: Connection, request: Request) -> Reply:
        return await self.calls.reply(request)
