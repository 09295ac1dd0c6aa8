"""Formats HTTP responses and sends them within a time limit."""

from __future__ import annotations

from http import HTTPStatus

from millethead.net.connection import Connection, with_timeout

WRITE_TIMEOUT_S = 10.0  # for a peer to receive a response


def format_response(
    status: int, body: bytes = b"", fields: dict[str, str] | None = None, keep_alive: bool = True
) -> bytes:
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    if body and "Content-Type" not in (fields or {}):
        lines.append("Content-Type: text/plain; charset=utf-8")
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def send_response(conn: Connection, message: bytes) -> None:
    """Writes a formatted response. Raises PeerTimeout if the peer does not receive it within the time limit."""
    await with_timeout(WRITE_TIMEOUT_S, conn.write(message))
