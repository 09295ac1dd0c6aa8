"""The settings file of a process: who it is, where it listens, whom it may call, and the figures of the rules.

The file is read anew at SIGHUP and may be replaced at any time: a reader that finds it invalid keeps what it has.
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
    Record,
    Unfit,
    filled_text,
    flag,
    integer_above_zero,
    integer_from_zero,
    list_of,
    mapping_of,
    nested,
    number_above_zero,
    number_from_zero,
    read_record,
    read_with,
    text,
    text_or_none,
)

VARIABLE = "MILLETHEAD_NODE_FILE"  # of the environment: the path of the settings file
LARGEST_PORT = 65_535


class InvalidSettings(FindingsError):
    """The settings file cannot be used; `findings` holds every reason."""


class Served(StrEnum):
    """Who may call a role from outside."""

    EDGE = "edge"  # clients
    SIDE = "side"  # the worker on the same machine
    CONTROL_PLANE = "control_plane"  # workers and the operator


class Commands(StrEnum):
    """How a worker is told what to do."""

    RPC = "rpc"
    HEARTBEAT = "heartbeat"


def _port(value: Any) -> int:
    """A port."""
    if integer_above_zero(value) > LARGEST_PORT:
        raise Unfit("is not a port")
    return int(value)


def _port_range(value: Any) -> tuple[int, int]:
    """A list of the first and the last port."""
    ports = list_of(_port)(value)
    if len(ports) != 2 or ports[0] > ports[1]:
        raise Unfit("is not a first and a last port")
    return ports[0], ports[1]


def _address(value: Any) -> str:
    """An address, HOST:PORT."""
    host, _, port = filled_text(value).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port[:6]) <= LARGEST_PORT:
        raise Unfit("is not an address")
    return text(value)


def _address_or_none(value: Any) -> str | None:
    """An address, HOST:PORT, or an empty text for none."""
    return None if value == "" else _address(value)


@dataclass(frozen=True, kw_only=True)
class Listen(Record):
    """The addresses for what the role serves; None for what it does not. `front`: for clients; `ready`: asked by the
    platform whether new connections are wanted; `control`: for the operator, or for the worker on this machine."""

    front: str | None = field(default=None, metadata=read_with(_address_or_none))
    ready: str | None = field(default=None, metadata=read_with(_address_or_none))
    control: str | None = field(default=None, metadata=read_with(_address_or_none))


@dataclass(frozen=True, kw_only=True)
class MachineLimits(Record):
    """What the machine gives. `cpu_share`: part of a core; `cores`: by which that core runs faster; `memory_mb`: for
    each process; `max_fds`: descriptors of each process; `link_mbps`: the machine's own link; `disk_mb`: its disk, 0
    without one."""

    cpu_share: float = field(default=1.0, metadata=read_with(number_above_zero))
    cores: float = field(default=1, metadata=read_with(number_above_zero))
    memory_mb: float = field(default=256, metadata=read_with(number_above_zero))
    max_fds: int = field(default=1024, metadata=read_with(integer_above_zero))
    link_mbps: float = field(default=1000.0, metadata=read_with(number_above_zero))
    disk_mb: float = field(default=0, metadata=read_with(number_from_zero))


@dataclass(frozen=True, kw_only=True)
class Tolerate(Record):
    """What may be lost at the same time while every rule still holds. `machines`: that count for the quorum; a chain
    has one more, or commits nothing; `zones`, `regions`: read, not yet used."""

    machines: int = field(default=0, metadata=read_with(integer_from_zero))
    zones: int = field(default=0, metadata=read_with(integer_from_zero))
    regions: int = field(default=0, metadata=read_with(integer_from_zero))


def _figure(default: float) -> Any:
    return field(default=default, metadata=read_with(number_from_zero))


@dataclass(frozen=True, kw_only=True)
class Bounds(Record):
    """The figures of the rules: `_ms` milliseconds, `_s` seconds, `_x` a factor."""

    seed_lag_s: float = _figure(3.0)
    reuse_after_s: float = _figure(2.0)
    contact_ms: float = _figure(3000.0)
    ack_ms: float = _figure(4000.0)
    catchup_s: float = _figure(4.0)
    drain_ms: float = _figure(2000.0)
    grace_s: float = _figure(6.0)
    loss_slack_ms: float = _figure(200.0)
    config_apply_ms: float = _figure(2000.0)
    downgrade_ms: float = _figure(250.0)
    max_skew_ms: float = _figure(5000.0)
    recovery_s: float = _figure(12.0)
    hold_max_ms: float = _figure(6000.0)
    stop_ms: float = _figure(200.0)
    gang_ms: float = _figure(3000.0)
    cancel_ms: float = _figure(3000.0)
    visible_ms: float = _figure(3000.0)
    early_ms: float = _figure(250.0)
    finish_s: float = _figure(14.0)
    status_s: float = _figure(120.0)
    far_x: float = _figure(1.5)
    save_s: float = _figure(2.0)
    restore_ms: float = _figure(250.0)


@dataclass(frozen=True, kw_only=True)
class ProcessSettings(Record):
    """The settings of one process.

    `node`: the machine's name, in logs and in `millethead status`; `role`: as the deploy file names it;
    `machine_class`: `edge` or `side`; `serves`: who calls it from outside (`edge`, `side`, `control_plane`); `ip`: of
    the machine; `zone`, `region`: where it stands; `zones`: the region of each zone; `port_range`: free for what
    dispatchers say among themselves, the first for internal calls; `seeds`: `control` addresses of a few machines;
    `bootstrap`: true on the very first start of the whole system; `counts_for_quorum`: whether its loss counts under
    `tolerate`; `contracts`: the parts of the rules in force; `data_dir`: folder on its disk, none without one;
    `heartbeat_ms`: roughly how often a worker reports; `commands`: how a worker is told what to do, `rpc` or
    `heartbeat`; `app`: address of the worker on this machine, for a role that serves `side`; `service`: the service of
    that worker.
    """

    node: str = field(metadata=read_with(filled_text))
    role: str = field(metadata=read_with(filled_text))
    machine_class: str = field(default="", metadata=read_with(text, key="class"))
    serves: tuple[str, ...] = field(default=(), metadata=read_with(list_of(text)))
    ip: str = field(metadata=read_with(filled_text))
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
    heartbeat_ms: float = field(default=1000, metadata=read_with(number_above_zero))
    contracts: tuple[str, ...] = field(default=(), metadata=read_with(list_of(text)))
    tolerate: Tolerate = field(default_factory=Tolerate, metadata=read_with(nested(Tolerate)))
    bounds: Bounds = field(default_factory=Bounds, metadata=read_with(nested(Bounds)))
    commands: str = field(default=Commands.RPC, metadata=read_with(text))
    app: str | None = field(default=None, metadata=read_with(_address_or_none))
    service: str | None = field(default=None, metadata=read_with(text_or_none))


def load_settings(path: str | Path | None = None, environment: Mapping[str, str] = os.environ) -> ProcessSettings:
    """The settings in the file at `path`, or else in the one that the environment names; raises InvalidSettings."""
    chosen = path or environment.get(VARIABLE)
    if not chosen:
        raise InvalidSettings([Finding("", f"no path is given, and {VARIABLE} is not set")])
    try:
        body = Path(chosen).read_bytes()
    except OSError as error:
        raise InvalidSettings([Finding("", f"{chosen} cannot be read: {error.strerror}")]) from None
    return parse_settings(body)


def parse_settings(body: bytes) -> ProcessSettings:
    """The settings that the bytes (JSON in UTF-8) stand for; raises InvalidSettings."""
    try:
        return read_record(ProcessSettings, read_document(body))
    except UnreadableDocument as error:
        raise InvalidSettings([Finding("", str(error))]) from None
    except FindingsError as error:
        raise InvalidSettings(error.findings) from None
