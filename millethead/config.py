"""What the platform tells a dispatcher: the environment and the configuration file."""

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

NAMED = ("azs", "kinds", "classes", "tenants")  # what the settings name, and all else knows by its place there


def parse_address(text: Any, what: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    host = host.strip("[]")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{what}: not an address: {text!r}")
    return host, int(port)


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: Any
    info: dict[str, Any]
    settings: Settings
    console: tuple[str, int] | None = None  # where the staff call; None: nowhere

    def names(self, key: str) -> list[str]:
        return [str(x["name"] if isinstance(x, dict) else x) for x in self.info.get(key) or ()]

    @property
    def whose(self) -> str:
        """Which dispatcher's state this is. One of the same name and address, but with other classes, tenants, zones or
        kinds, is another: jobs and workers are kept by their numbers."""
        names = json.dumps([self.names(key) for key in NAMED])
        return f"{self.name} at {self.listen[0]}:{self.listen[1]}, {crc32(names.encode()):08x}"


def load_config(env: Mapping[str, str] = os.environ) -> Config:
    """The file that BALANCER_CONFIG names; the other variables stand in for what it leaves out."""
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
        settings = replace(settings, watch_needed=True)  # on sockets pushed lists come on a watch as well
        seed = int(str(raw.get("seed") or "0"), 16)
        sockets = int((raw.get("limits") or {}).get("sockets") or 1024)
        console = raw.get("console") or env.get("BALANCER_CONSOLE")
        made = Config(
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
        for key in NAMED:  # on the wire of the simulator numbers will do, here all goes by names
            made.names(key)
        return made
    except KeyError as error:
        raise ConfigError(f"{path}: settings lack {error}") from None
    except (SettingsError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None
