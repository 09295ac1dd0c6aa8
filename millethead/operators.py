"""The operator's file: what is off unless an operator sets it up (the Faktory front and the flow export)."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from millethead.config import ConfigError, parse_address


@dataclass(slots=True, frozen=True)
class FaktorySetup:
    listen: tuple[str, int]
    password: str = field(default="", repr=False)
    jobtypes: dict[str, str] = field(default_factory=dict)  # jobtype -> class
    queues: dict[str, str] = field(default_factory=dict)  # queue -> class
    zone: str = ""
    kind: str = ""
    connections: int = 128


@dataclass(slots=True, frozen=True)
class FlowSetup:
    collector: tuple[str, int]
    domain: int = 1
    template_s: float = 60.0
    queue: int = 1024


@dataclass(slots=True, frozen=True)
class Operator:
    faktory: FaktorySetup | None = None
    flows: FlowSetup | None = None


def _table(raw: Any, known: set[str], where: str) -> dict[str, Any]:
    if not isinstance(raw, dict):
        raise ConfigError(f"{where}: not a table")
    if unknown := sorted(set(raw) - known):
        raise ConfigError(f"{where}: unknown key {unknown[0]!r}")
    return raw


def _number(raw: Any, least: float, most: float, where: str) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float) or not least <= raw <= most:
        raise ConfigError(f"{where}: a number from {least:g} to {most:g} is wanted, not {raw!r}")
    return float(raw)


def _local(raw: Any, where: str) -> tuple[str, int]:
    host, port = parse_address(raw, where)
    try:
        if ip_address(host).is_loopback:
            return host, port
    except ValueError:
        pass
    raise ConfigError(f"{where}: a loopback address is wanted, not {host!r}")


def _faktory(raw: Any, base: Path, classes: list[str], zones: list[str]) -> FaktorySetup:
    table = _table(raw, {"listen", "password_file", "classes", "zone", "kind", "connections"}, "faktory")
    jobtypes: dict[str, str] = {}
    queues = {name: name for name in classes}
    for name, entry in _table(table.get("classes", {}), set(classes), "faktory.classes").items():
        where = f"faktory.classes.{name}"
        for key, into in (("jobtypes", jobtypes), ("queues", queues)):
            words = _table(entry, {"jobtypes", "queues"}, where).get(key, [])
            if not isinstance(words, list) or not all(isinstance(w, str) and w for w in words):
                raise ConfigError(f"{where}.{key}: a list of names is wanted")
            for word in words:
                if into.get(word, name) != name:
                    raise ConfigError(f"{where}.{key}: {word!r} belongs to {into[word]!r} already")
                into[word] = name
    password = ""
    if "password_file" in table:
        try:
            password = (base / str(table["password_file"])).read_text().strip()
        except (OSError, ValueError) as error:
            raise ConfigError(f"faktory.password_file: {error}") from None
        if not password:
            raise ConfigError("faktory.password_file: it is empty")
    zone = str(table.get("zone", zones[0] if zones else ""))
    if zones and zone not in zones:
        raise ConfigError(f"faktory.zone: unknown zone {zone!r}")
    return FaktorySetup(_local(table.get("listen"), "faktory.listen"), password, jobtypes, queues, zone,
                        str(table.get("kind", "")),
                        int(_number(table.get("connections", 128), 1, 4096, "faktory.connections")))


def _flows(raw: Any) -> FlowSetup:
    table = _table(raw, {"collector", "domain", "template_s", "queue"}, "ipfix")
    return FlowSetup(_local(table.get("collector"), "ipfix.collector"),
                     int(_number(table.get("domain", 1), 0, 2**32 - 1, "ipfix.domain")),
                     _number(table.get("template_s", 60), 1, 3600, "ipfix.template_s"),
                     int(_number(table.get("queue", 1024), 1, 65536, "ipfix.queue")))


def load_operator(path: str, classes: list[str], zones: list[str]) -> Operator:
    """Read the file strictly: a key that is not known is a mistake somebody should hear of."""
    try:
        raw = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    try:
        table = _table(raw, {"faktory", "ipfix"}, "operator's file")
        return Operator(
            _faktory(table["faktory"], Path(path).parent, classes, zones) if "faktory" in table else None,
            _flows(table["ipfix"]) if "ipfix" in table else None)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
