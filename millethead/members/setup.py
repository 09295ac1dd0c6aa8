"""The table [members] of the operator's configuration file (docs/members.md, docs/on-call.md)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta

from millethead.config import ConfigError
from millethead.tables import LoopbackAddress, Table, read_table

MIN_KEY_BYTES = 16
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[\x21-\x7e]+$")]


class MembersSetup(Table, frozen=True, kw_only=True):
    """`listen`: this member's UDP address (loopback). `advertise`: the address for other members, if it differs.
    `seeds`: addresses of members to join through. `key_file`: file with the fleet's key (HMAC-SHA256 of each message).
    `fleet`: the fleet's name. `serves`: free text on what this member serves. `version`: version of the installation,
    if it differs from the program's own version. `stewards`: names of the members that each manage an equal part of
    every fleet-wide limit; if empty, shares are not used.

    Times in ms: `period` between probes, `timeout` of a direct probe, `window` for which the largest member count is
    used before a smaller one is accepted, `lease` of a share.
    """

    listen: LoopbackAddress
    key_file: str
    advertise: LoopbackAddress | None = None
    seeds: Annotated[list[LoopbackAddress], Meta(max_length=64)] = []
    fleet: Name = "millethead"
    serves: Annotated[str, Meta(max_length=64)] = ""
    version: Annotated[str, Meta(max_length=64)] = ""
    stewards: Annotated[list[Name], Meta(max_length=31)] = []
    period: Annotated[float, Meta(ge=10, le=60_000)] = 500.0
    timeout: Annotated[float, Meta(ge=5, le=30_000)] = 200.0
    window: Annotated[float, Meta(ge=100, le=3_600_000)] = 10_000.0
    lease: Annotated[float, Meta(ge=50, le=3_600_000)] = 3_000.0

    def key(self) -> bytes:
        """Returns the fleet's key. Raises ConfigError if the file is unreadable or the key is too short."""
        try:
            key = Path(self.key_file).read_bytes().strip()
        except OSError:
            what = f"a file with the fleet's key is wanted, not {self.key_file!r}"
            raise ConfigError(f"members.key_file: {what}") from None
        if len(key) < MIN_KEY_BYTES:
            raise ConfigError(
                f"members.key_file: a key of at least {MIN_KEY_BYTES} bytes is wanted in {self.key_file!r}"
            )
        return key


def members_setup(raw: object) -> MembersSetup:
    """Reads and checks the table. Raises ConfigError."""
    setup = read_table(raw, MembersSetup, "members")
    if not setup.timeout < setup.period or not setup.lease < setup.window:
        raise ConfigError("members: timeout below period and lease below window are wanted")
    if len(set(setup.stewards)) < len(setup.stewards):
        raise ConfigError("members.stewards: each name once is wanted")
    setup.key()
    return setup
