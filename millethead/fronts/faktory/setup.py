"""The table [faktory] of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta

from millethead.config import ConfigError
from millethead.tables import Local, Table, read_table

Name = Annotated[str, Meta(min_length=1)]


class _Words(Table, frozen=True, kw_only=True):
    jobtypes: list[Name] = []
    queues: list[Name] = []


class _Faktory(Table, frozen=True, kw_only=True):
    listen: Local
    password_file: Name | None = None
    classes: dict[str, _Words] = {}
    zone: str | None = None
    kind: str = ""
    connections: Annotated[int, Meta(ge=1, le=4096)] = 128


@dataclass(slots=True, frozen=True)
class FaktorySetup:
    """What the front needs: the words of the table turned into maps, the password read."""

    listen: tuple[str, int]
    password: str = field(default="", repr=False)
    jobtypes: dict[str, str] = field(default_factory=dict)  # jobtype -> class
    queues: dict[str, str] = field(default_factory=dict)  # queue -> class
    zone: str = ""
    kind: str = ""
    connections: int = 128


def faktory_setup(raw: Any, base: Path, classes: list[str], zones: list[str]) -> FaktorySetup:
    """The table, held against the classes and zones of the configuration; raises ConfigError."""
    table = read_table(raw, _Faktory, "faktory")
    jobtypes: dict[str, str] = {}
    queues = {name: name for name in classes}
    for name, words in table.classes.items():
        if name not in queues:
            raise ConfigError(f"faktory.classes: unknown key {name!r}; a class is wanted: {', '.join(classes)}")
        for key, into, given in (("jobtypes", jobtypes, words.jobtypes), ("queues", queues, words.queues)):
            for word in given:
                if into.get(word, name) != name:
                    raise ConfigError(f"faktory.classes.{name}.{key}: {word!r} belongs to {into[word]!r} already")
                into[word] = name
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
