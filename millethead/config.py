"""The configuration that the platform gives a dispatcher: environment variables and the configuration file."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any
from zlib import crc32

from millethead.decide.interface import Settings
from millethead.decide.settings import SettingsError, settings_from
from millethead.errors import ConfigError as ConfigError

# Lists of names in the settings. The program refers to their entries by index.
INDEXED_SETTINGS = ("azs", "kinds", "classes", "tenants")


def parse_address(text: Any, key: str) -> tuple[str, int]:
    """Parses `host:port`. Raises ConfigError that names `key`."""
    host, _, port = str(text).rpartition(":")
    host = host.strip("[]")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: not an address: {text!r}")
    return host, int(port)


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a dispatcher. `known`: the worker list of the last run, as stored by the platform.
    `sockets`: limit of open connections. `info`: the settings as read, `settings`: those of the decision module."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: Any
    info: dict[str, Any]
    settings: Settings
    console: tuple[str, int] | None = None  # address of the operator console; None: no console

    def names(self, key: str) -> list[str]:
        """Returns the names in one of the lists of INDEXED_SETTINGS."""
        return [str(x["name"] if isinstance(x, dict) else x) for x in self.info.get(key) or ()]

    @property
    def state_owner(self) -> str:
        """Identifies the dispatcher that owns stored state. A dispatcher of the same name and address with other
        classes, tenants, zones or kinds has another identity, since the state refers to these by index."""
        names = json.dumps([self.names(key) for key in INDEXED_SETTINGS])
        return f"{self.name} at {self.listen[0]}:{self.listen[1]}, {crc32(names.encode()):08x}"


def load_config(env: Mapping[str, str] = os.environ) -> Config:
    """Reads the file that BALANCER_CONFIG names. Other environment variables replace what the file omits. Raises
    ConfigError."""
    path = env.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not a JSON object")
    try:
        info, settings = settings_from(json.dumps(raw.get("settings")).encode())
        settings = replace(settings, watch_needed=True)  # pushed lists arrive on a watch too
        seed = int(str(raw.get("seed") or "0"), 16)
        sockets = int((raw.get("limits") or {}).get("sockets") or 1024)
        console = raw.get("console") or env.get("BALANCER_CONSOLE")
        config = Config(
            name=str(raw.get("name") or env.get("BALANCER_NAME") or "dispatcher"),
            listen=parse_address(raw.get("listen") or env.get("BALANCER_LISTEN"), "listen"),
            discovery=parse_address(raw.get("discovery") or env.get("BALANCER_DISCOVERY"), "discovery"),
            seed=seed,
            sockets=sockets,
            known=raw.get("known"),
            info=info,
            settings=settings,
            console=parse_address(console, "console") if console else None,
        )
        for key in INDEXED_SETTINGS:  # raises KeyError if an entry has no name; only the simulator accepts that
            config.names(key)
        return config
    except KeyError as error:
        raise ConfigError(f"{path}: settings lack {error}") from None
    except (SettingsError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None
