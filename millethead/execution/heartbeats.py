"""HTTP endpoints for the heartbeats of a worker and the announcement of its shutdown.

Every well-formed request is acknowledged at once, regardless of the state of the core.
"""

from __future__ import annotations

from collections.abc import Callable

import bottle  # type: ignore[import-untyped]
import msgspec

from millethead.execution.messages import Resources, WorkerInfo
from millethead.web.server import Response, error_response, json_response, request_body

INSTANCES_PATH = "/-/instances/<instance>"
DRAINING = "draining"
MAX_INSTANCE_ID_BYTES = 200
NOT_DRAINING = -1  # `remaining_ms` of a worker that does not drain
_MAX_U32, _MAX_U16, _MAX_I64 = (1 << 32) - 1, (1 << 16) - 1, (1 << 63) - 1

HeartbeatHandler = Callable[[WorkerInfo, float | None], None]
LeaveHandler = Callable[[str], None]


class _Capacity(msgspec.Struct):
    cpu: float = 0
    mem_mb: float = 0
    gpu: float = 0


class _Beat(msgspec.Struct):
    service: str
    addr: str
    zone: str = ""
    version: str = ""
    slots: float = 0
    state: str = "ready"
    cold_left_ms: float = 0
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = msgspec.field(default_factory=list)
    clock_ms: float | None = None
    remaining_ms: float | None = None
    seq: int = 0


_decoder = msgspec.json.Decoder(_Beat)


class MalformedHeartbeat(ValueError):
    """A heartbeat cannot be decoded."""


def read_heartbeat(instance: str, body: bytes) -> tuple[WorkerInfo, float | None]:
    """Return the worker info in a heartbeat, and the worker's clock in ms if given; raises MalformedHeartbeat."""
    if not 0 < len(instance.encode("utf-8", "replace")) <= MAX_INSTANCE_ID_BYTES:
        raise MalformedHeartbeat("the id is empty or too long")
    try:
        beat = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MalformedHeartbeat(str(error)) from None
    return _worker_info(instance, beat), beat.clock_ms


def _worker_info(instance: str, beat: _Beat) -> WorkerInfo:
    draining = beat.state == DRAINING
    remaining = _clamp_to_int(beat.remaining_ms or 0, _MAX_I64) if draining else NOT_DRAINING
    return WorkerInfo(
        instance=instance,
        service=beat.service,
        address=beat.addr,
        zone=beat.zone,
        version=beat.version,
        slots=_clamp_to_int(beat.slots, _MAX_U32),
        draining=draining,
        cold_left_ms=_clamp_to_int(beat.cold_left_ms, _MAX_U32),
        capacity=Resources(
            _clamp_to_int(beat.capacity.cpu, _MAX_U32),
            _clamp_to_int(beat.capacity.mem_mb, _MAX_U32),
            _clamp_to_int(beat.capacity.gpu, _MAX_U16),
        ),
        labels=tuple(beat.labels),
        remaining_ms=remaining,
        sequence=_clamp_to_int(beat.seq, _MAX_I64),
    )


def _clamp_to_int(value: float, largest: int) -> int:
    """Round the value down and limit it to the range from 0 to `largest`."""
    return max(0, min(largest, int(value)))


def heartbeat_app(on_heartbeat: HeartbeatHandler, on_leave: LeaveHandler) -> bottle.Bottle:
    """Return the application that decodes the worker's requests and calls the handlers."""
    app = bottle.Bottle()

    def put(instance: str) -> Response:
        try:
            info, clock_ms = read_heartbeat(instance, request_body())
        except MalformedHeartbeat as error:
            return error_response(400, str(error))
        on_heartbeat(info, clock_ms)
        return json_response(200, {})

    def delete(instance: str) -> Response:
        on_leave(instance)
        return json_response(200, {})

    app.route(INSTANCES_PATH, "PUT", put)
    app.route(INSTANCES_PATH, "DELETE", delete)
    return app
