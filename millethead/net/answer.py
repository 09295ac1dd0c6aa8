"""Answers: to bytes, and out to the peer within a time limit."""

from __future__ import annotations

from http import HTTPStatus

from millethead.net.connection import Connection, within

WRITE_TIME = 10.0  # s for a peer to take an answer


def format_answer(status: int, body: bytes = b"", fields: dict[str, str] | None = None, keep: bool = True) -> bytes:
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    if body and "Content-Type" not in (fields or {}):
        lines.append("Content-Type: text/plain; charset=utf-8")
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def send_answer(conn: Connection, message: bytes) -> None:
    await within(WRITE_TIME, conn.write(message))
