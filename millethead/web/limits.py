"""Limits of the HTTP server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class HttpLimits:
    """Sizes are in bytes, times in seconds. The header and body time-outs start with the first byte of the header and
    of the body. A connection is idle while no request has started."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0
    max_connections: int = 2000
