"""The operator's file, which enables optional parts. Each table is parsed by the part that owns it."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path
from typing import TYPE_CHECKING

from millethead.config import ConfigError

if TYPE_CHECKING:  # optional parts are imported only if they are enabled
    from millethead.admission.setup import AdmissionSetup
    from millethead.flows.setup import FlowSetup
    from millethead.frontends.faktory.setup import FaktorySetup
    from millethead.members.setup import MembersSetup
    from millethead.rollout.setup import RolloutSetup
    from millethead.waiting.setup import WaitingSetup


TABLES = ("faktory", "ipfix", "waiting", "door", "members", "rollout")


@dataclass(slots=True, frozen=True)
class OperatorSetup:
    """The tables of the operator's file. None: the part is disabled."""

    faktory: FaktorySetup | None = None
    flows: FlowSetup | None = None
    waiting: WaitingSetup | None = None
    door: AdmissionSetup | None = None
    members: MembersSetup | None = None
    rollout: RolloutSetup | None = None


def load_operator(path: str, classes: list[str], zones: list[str]) -> OperatorSetup:
    """Reads the operator's file. Raises ConfigError, which names the file, the key and the expected value."""
    from millethead.admission.setup import AdmissionSetup
    from millethead.flows.setup import FlowSetup
    from millethead.frontends.faktory.setup import faktory_setup
    from millethead.tables import read_table
    from millethead.waiting.setup import waiting_setup

    try:
        raw = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    try:
        if "door" in raw and find_spec("xxhash") is None:
            raise ConfigError("door: the package xxhash is wanted for it: install millethead[door]")
        for key in raw:
            if key not in TABLES:
                raise ConfigError(f"unknown key {key!r}; {', '.join(TABLES[:-1])} or {TABLES[-1]} are wanted")
        if "rollout" in raw and "members" not in raw:
            raise ConfigError("rollout: it needs the table members")
        return OperatorSetup(
            faktory_setup(raw["faktory"], Path(path).parent, classes, zones) if "faktory" in raw else None,
            read_table(raw["ipfix"], FlowSetup, "ipfix") if "ipfix" in raw else None,
            waiting_setup(raw["waiting"], classes) if "waiting" in raw else None,
            read_table(raw["door"], AdmissionSetup, "door") if "door" in raw else None,
            _members(raw["members"]) if "members" in raw else None,
            _rollout(raw["rollout"]) if "rollout" in raw else None,
        )
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _members(raw: object) -> MembersSetup:
    from millethead.members.setup import members_setup

    return members_setup(raw)


def _rollout(raw: object) -> RolloutSetup:
    from millethead.rollout.setup import rollout_setup

    return rollout_setup(raw)
