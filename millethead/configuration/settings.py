"""The settings file of a process: its identity, addresses, peers, machine limits and time bounds.

The file is read again on SIGHUP and may be replaced at any time. A process that finds it invalid keeps its settings.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

from millethead.configuration.document import UnreadableDocument, read_document
from millethead.configuration.findings import Finding, FindingsError
from millethead.configuration.records import (
    InvalidValue,
    Record,
    flag,
    list_of,
    mapping_of,
    nested,
    nonempty_text,
    nonnegative_integer,
    nonnegative_number,
    positive_integer,
    positive_number,
    read_record,
    read_with,
    text,
    text_or_none,
)

SETTINGS_PATH_VARIABLE = "MILLETHEAD_NODE_FILE"  # environment variable with the path of the settings file
MAX_PORT = 65_535


class InvalidSettings(FindingsError):
    """The settings file is invalid. `findings` has all reasons."""


class CallerKind(StrEnum):
    """Callers from outside the system that a role can serve."""

    EDGE = "edge"  # clients
    SIDE = "side"  # the worker on the same machine
    CONTROL_PLANE = "control_plane"  # workers and the operator


class CommandTransport(StrEnum):
    """How commands are sent to a worker."""

    RPC = "rpc"
    HEARTBEAT = "heartbeat"


def _port(value: Any) -> int:
    """A port."""
    if positive_integer(value) > MAX_PORT:
        raise InvalidValue("is not a port")
    return int(value)


def _port_range(value: Any) -> tuple[int, int]:
    """A list of the first and the last port."""
    ports = list_of(_port)(value)
    if len(ports) != 2 or ports[0] > ports[1]:
        raise InvalidValue("is not a first and a last port")
    return ports[0], ports[1]


def _address(value: Any) -> str:
    """An address, HOST:PORT."""
    host, _, port = nonempty_text(value).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port[:6]) <= MAX_PORT:
        raise InvalidValue("is not an address")
    return text(value)


def _address_or_none(value: Any) -> str | None:
    """An address, HOST:PORT, or an empty text for none."""
    return None if value == "" else _address(value)


@dataclass(frozen=True, kw_only=True)
class Listen(Record):
    """Listen addresses of the role; None if it does not serve an endpoint.

    `front`: address for clients; `ready`: address of the readiness check for the platform; `control`: address for the
    operator, or for the worker on this machine.
    """

    front: str | None = field(default=None, metadata=read_with(_address_or_none))
    ready: str | None = field(default=None, metadata=read_with(_address_or_none))
    control: str | None = field(default=None, metadata=read_with(_address_or_none))


@dataclass(frozen=True, kw_only=True)
class MachineLimits(Record):
    """Resources of the machine.

    `cpu_share`: share of a CPU core; `cores`: speed factor of the CPU core; `memory_mb`: memory of each process;
    `max_fds`: maximum number of file descriptors of each process; `link_mbps`: bandwidth of the machine's network link;
    `disk_mb`: size of the machine's disk, 0 without a disk.
    """

    cpu_share: float = field(default=1.0, metadata=read_with(positive_number))
    cores: float = field(default=1, metadata=read_with(positive_number))
    memory_mb: float = field(default=256, metadata=read_with(positive_number))
    max_fds: int = field(default=1024, metadata=read_with(positive_integer))
    link_mbps: float = field(default=1000.0, metadata=read_with(positive_number))
    disk_mb: float = field(default=0, metadata=read_with(nonnegative_number))


@dataclass(frozen=True, kw_only=True)
class Tolerate(Record):
    """Simultaneous failures that the system tolerates.

    `machines`: number of machines that count for the quorum, a chain needs one member more to commit;
    `zones`, `regions`: read, not used yet.
    """

    machines: int = field(default=0, metadata=read_with(nonnegative_integer))
    zones: int = field(default=0, metadata=read_with(nonnegative_integer))
    regions: int = field(default=0, metadata=read_with(nonnegative_integer))


def _bound(default: float) -> Any:
    return field(default=default, metadata=read_with(nonnegative_number))


@dataclass(frozen=True, kw_only=True)
class Bounds(Record):
    """Bounds guaranteed by the system. Suffixes are units: `_ms` milliseconds, `_s` seconds, `_x` a factor."""

    seed_lag_s: float = _bound(3.0)
    reuse_after_s: float = _bound(2.0)
    contact_ms: float = _bound(3000.0)
    ack_ms: float = _bound(4000.0)
    catchup_s: float = _bound(4.0)
    drain_ms: float = _bound(2000.0)
    grace_s: float = _bound(6.0)
    loss_slack_ms: float = _bound(200.0)
    config_apply_ms: float = _bound(2000.0)
    downgrade_ms: float = _bound(250.0)
    max_skew_ms: float = _bound(5000.0)
    recovery_s: float = _bound(12.0)
    hold_max_ms: float = _bound(6000.0)
    stop_ms: float = _bound(200.0)
    gang_ms: float = _bound(3000.0)
    cancel_ms: float = _bound(3000.0)
    visible_ms: float = _bound(3000.0)
    early_ms: float = _bound(250.0)
    finish_s: float = _bound(14.0)
    status_s: float = _bound(120.0)
    far_x: float = _bound(1.5)
    save_s: float = _bound(2.0)
    restore_ms: float = _bound(250.0)


@dataclass(frozen=True, kw_only=True)
class ProcessSettings(Record):
    """The settings of one process.

    `node`: name of the machine in logs and in `millethead status`; `role`: name of the role in the deploy file;
    `machine_class`: `edge` or `side`; `serves`: callers from outside the system (`edge`, `side`, `control_plane`);
    `ip`: address of the machine; `zone`, `region`: location of the machine; `zones`: region of each zone;
    `port_range`: ports
    for traffic within the system, the first is used for internal calls; `seeds`: `control` addresses of a few machines;
    `bootstrap`: true on the first start of the whole system; `counts_for_quorum`: whether a failure of the machine
    counts under `tolerate`; `contracts`: features of the specification that are enabled; `data_dir`: data folder on the
    disk, none without a disk; `heartbeat_ms`: approximate interval of worker heartbeats; `commands`: how commands are
    sent to workers, `rpc` or `heartbeat`; `app`: address of the worker on this machine, for a role that serves `side`;
    `service`: service of the worker on this machine.
    """

    node: str = field(metadata=read_with(nonempty_text))
    role: str = field(metadata=read_with(nonempty_text))
    machine_class: str = field(default="", metadata=read_with(text, key="class"))
    serves: tuple[str, ...] = field(default=(), metadata=read_with(list_of(text)))
    ip: str = field(metadata=read_with(nonempty_text))
    zone: str = field(default="", metadata=read_with(text))
    region: str = field(default="", metadata=read_with(text))
    zones: Mapping[str, str] = field(default_factory=dict, metadata=read_with(mapping_of(text)))
    listen: Listen = field(default_factory=Listen, metadata=read_with(nested(Listen)))
    port_range: tuple[int, int] = field(metadata=read_with(_port_range))
    seeds: tuple[str, ...] = field(default=(), metadata=read_with(list_of(_address)))
    bootstrap: bool = field(default=False, metadata=read_with(flag))
    counts_for_quorum: bool = field(default=False, metadata=read_with(flag))
    limits: MachineLimits = field(default_factory=MachineLimits, metadata=read_with(nested(MachineLimits)))
    data_dir: str | None = field(default=None, metadata=read_with(text_or_none))
    heartbeat_ms: float = field(default=1000, metadata=read_with(positive_number))
    contracts: tuple[str, ...] = field(default=(), metadata=read_with(list_of(text)))
    tolerate: Tolerate = field(default_factory=Tolerate, metadata=read_with(nested(Tolerate)))
    bounds: Bounds = field(default_factory=Bounds, metadata=read_with(nested(Bounds)))
    commands: str = field(default=CommandTransport.RPC, metadata=read_with(text))
    app: str | None = field(default=None, metadata=read_with(_address_or_none))
    service: str | None = field(default=None, metadata=read_with(text_or_none))


def load_settings(path: str | Path | None = None, environment: Mapping[str, str] = os.environ) -> ProcessSettings:
    """Load the settings file at `path`, or else the one named by the environment. Raises InvalidSettings."""
    chosen = path or environment.get(SETTINGS_PATH_VARIABLE)
    if not chosen:
        raise InvalidSettings([Finding("", f"no path is given, and {SETTINGS_PATH_VARIABLE} is not set")])
    try:
        body = Path(chosen).read_bytes()
    except OSError as error:
        raise InvalidSettings([Finding("", f"{chosen} cannot be read: {error.strerror}")]) from None
    return parse_settings(body)


def parse_settings(body: bytes) -> ProcessSettings:
    """Parse settings (JSON in UTF-8). Raises InvalidSettings."""
    try:
        return read_record(ProcessSettings, read_document(body))
    except UnreadableDocument as error:
        raise InvalidSettings([Finding("", str(error))]) from None
    except FindingsError as error:
        raise InvalidSettings(error.findings) from None
