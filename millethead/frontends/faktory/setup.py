"""The table [faktory] of the operator's settings file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta

from millethead.config import ConfigError
from millethead.tables import LoopbackAddress, Table, read_table

Name = Annotated[str, Meta(min_length=1)]


class _ClassNames(Table, frozen=True, kw_only=True):
    """The jobtypes and queues whose jobs belong to one job class."""

    jobtypes: list[Name] = []
    queues: list[Name] = []


class _Faktory(Table, frozen=True, kw_only=True):
    """The table as it is written in the file."""

    listen: LoopbackAddress
    password_file: Name | None = None
    classes: dict[str, _ClassNames] = {}
    zone: str | None = None
    kind: str = ""
    connections: Annotated[int, Meta(ge=1, le=4096)] = 128


@dataclass(slots=True, frozen=True)
class FaktorySetup:
    """The settings of the front end: the table with its names resolved to classes, and the password read."""

    listen: tuple[str, int]
    password: str = field(default="", repr=False)
    jobtypes: dict[str, str] = field(default_factory=dict)  # jobtype -> class
    queues: dict[str, str] = field(default_factory=dict)  # queue -> class
    zone: str = ""
    kind: str = ""
    connections: int = 128


def faktory_setup(raw: Any, base: Path, classes: list[str], zones: list[str]) -> FaktorySetup:
    """Checks the table against the classes and zones of the configuration; raises ConfigError."""
    table = read_table(raw, _Faktory, "faktory")
    jobtypes: dict[str, str] = {}
    queues = {name: name for name in classes}
    for class_name, names in table.classes.items():
        if class_name not in queues:
            raise ConfigError(f"faktory.classes: unknown key {class_name!r}; a class is wanted: {', '.join(classes)}")
        for key, class_of, given in (("jobtypes", jobtypes, names.jobtypes), ("queues", queues, names.queues)):
            for name in given:
                if class_of.get(name, class_name) != class_name:
                    raise ConfigError(
                        f"faktory.classes.{class_name}.{key}: {name!r} belongs to {class_of[name]!r} already"
                    )
                class_of[name] = class_name
    password = ""
    if table.password_file is not None:
        try:
            password = (base / table.password_file).read_text().strip()
        except (OSError, ValueError) as error:
            raise ConfigError(f"faktory.password_file: {error}") from None
        if not password:
            raise ConfigError("faktory.password_file: it is empty")
    zone = table.zone if table.zone is not None else zones[0] if zones else ""
    if zones and zone not in zones:
        raise ConfigError(f"faktory.zone: one of {', '.join(zones)} is wanted, not {zone!r}")
    return FaktorySetup(table.listen, password, jobtypes, queues, zone, table.kind, table.connections)
