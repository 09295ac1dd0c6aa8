"""The reference page of all settings is complete, matches the records, and is the output of the command."""

from dataclasses import dataclass, field
from pathlib import Path

import pytest
from typer.testing import CliRunner

from millethead.configuration.model import Configuration
from millethead.configuration.records import (
    Record,
    list_of,
    mapping_of,
    nested,
    nonnegative_number,
    positive_integer,
    read_with,
    text,
)
from millethead.configuration.reference import Entry, entries, page
from millethead.configuration.settings import Bounds, ProcessSettings
from millethead.programs.command_line import app

PAGE = Path(__file__).parent.parent / "docs" / "settings.md"


@dataclass(frozen=True, kw_only=True)
class Inner(Record):
    """Inner. `wait_ms`: how long
    it waits; `size_mb` and `names`: what it holds."""

    wait_ms: float = field(default=2.0, metadata=read_with(nonnegative_number))
    size_mb: int = field(metadata=read_with(positive_integer))
    names: tuple[str, ...] = field(default=(), metadata=read_with(list_of(text)))


@dataclass(frozen=True, kw_only=True)
class Outer(Record):
    """Outer. `kind`: its class."""

    kind: str = field(default="odd", metadata=read_with(text, key="class"))
    inner: Inner = field(metadata=read_with(nested(Inner)))
    more: tuple[Inner, ...] = field(default=(), metadata=read_with(list_of(nested(Inner))))
    zones: dict[str, str] = field(default_factory=dict, metadata=read_with(mapping_of(text)))


def test_entries_have_key_accepted_values_unit_default_and_meaning():
    assert list(entries(Outer)) == [
        Entry("class", "any text", "", '`"odd"`', "its class"),
        Entry("inner.wait_ms", "a number of 0 or more", "ms", "`2`", "how long it waits"),
        Entry("inner.size_mb", "a whole number above 0", "MB", "", "what it holds"),
        Entry("inner.names", "a list, each item: any text", "", "`[]`", "what it holds"),
        Entry("more[].wait_ms", "a number of 0 or more", "ms", "`2`", "how long it waits"),
        Entry("more[].size_mb", "a whole number above 0", "MB", "", "what it holds"),
        Entry("more[].names", "a list, each item: any text", "", "`[]`", "what it holds"),
        Entry("zones", "an object, each value: any text", "", "empty", ""),
    ]


@pytest.mark.parametrize("record", [ProcessSettings, Configuration])
def test_every_key_has_accepted_values_and_a_meaning(record):
    bounds = {f"bounds.{entry.key}" for entry in entries(Bounds)}  # defined by the specification under the same names
    for entry in entries(record):
        assert entry.accepted, entry.key
        assert entry.meaning or entry.key in bounds, entry.key


def test_page_is_the_output_of_the_command():
    assert PAGE.read_text() == page()
    result = CliRunner().invoke(app, ["settings", "reference"])
    assert (result.exit_code, result.stdout) == (0, page())
