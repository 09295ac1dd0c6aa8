"""Settings of a node, read from a JSON object in the format of the simulator and of the configuration."""

from __future__ import annotations

import json
from typing import Any

from millethead.decide import interface as api

_EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
_COLUMNS = {"rif": "held", "inflight": "held", "q": "queued", "queue": "queued", "busy": "busy", "util": "busy"}


class SettingsError(Exception):
    """A required setting is missing, or a value is invalid."""


def report_fields(info: dict[str, Any]) -> tuple[str | None, ...]:
    """The Report field of each column of a load report, in column order; None for a column that is ignored."""
    family = info.get("family_info") or {}
    report = info.get("report") or {}
    return tuple(report_field(column, family) for column in report.get("columns") or ())


def report_field(column: str, family: dict[str, Any]) -> str | None:
    """The Report field for a column name; None if the column is ignored."""
    if column in ("x0", "x1"):
        meaning = str(family.get("report_" + column, "")).lower()
        default = "slot" if column == "x0" else "memory"
        return (
            "free_memory"
            if "memory" in (meaning or default)
            else "free_slots"
            if "slot" in (meaning or default)
            else None
        )
    return _COLUMNS.get(column)


def settings_from(text: bytes) -> tuple[dict[str, Any], api.Settings]:
    """Parse settings JSON; returns the JSON object and the Settings. Unknown keys are ignored, optional ones have
    defaults. Raises SettingsError."""
    try:
        info = json.loads(text)
        if not isinstance(info, dict):
            raise SettingsError("settings are not a JSON object")
        return info, _settings(info)
    except (KeyError, IndexError) as error:
        raise SettingsError(f"settings lack {error}") from None
    except (TypeError, AttributeError, ValueError, UnicodeDecodeError) as error:
        raise SettingsError(f"settings cannot be read: {error}") from None


def _settings(info: dict[str, Any]) -> api.Settings:
    family = info.get("family_info") or {}
    permissions = info.get("permissions") or {}
    rules = info.get("rules") or {}
    prices = info.get("prices") or {}
    report_source = (info.get("report") or {}).get("how", "none")

    def per_class(key: str, index: int, default: float) -> float:
        values = family.get(key) or ()
        return values[index] if index < len(values) else default

    for key in ("azs", "kinds", "classes", "tenants"):  # their names are used as identifiers
        names = [
            str(item.get("name", index) if isinstance(item, dict) else item)
            for index, item in enumerate(info.get(key) or ())
        ]
        if len({*names}) < len(names):
            raise SettingsError(f"{key}: a name stands there twice")
    classes = []
    for index, entry in enumerate(info["classes"]):
        stretch = entry.get("aim_stretch", per_class("class_stretch", index, 0.0))
        kind = int(per_class("class_kind", index, -1))
        scope = entry.get("dedup_scope", "cell")
        classes.append(
            api.JobClass(
                deadline=entry["deadline"],
                aim=entry.get("goal_time", entry["deadline"]),
                stretch=stretch or 0.0,
                worth=entry.get("worth", 1.0),
                late_worth=entry.get("late_worth", 0.0),
                effect=_EFFECTS.get(entry.get("effect", ""), api.Effect.UNSAFE),
                group=api.Group(scope) if scope in ("all", "zone", "cell") else api.Group.CELL,
                window=entry.get("window", 0.0),
                kind=None if kind < 0 else kind,
                priority=int(per_class("class_priority", index, 0)),
                streaming=bool(entry.get("streaming", False)),
            )
        )
    tenants = tuple(
        api.Tenant(reservation=tenant.get("quota_rps"), name=str(tenant.get("name", "")))
        for tenant in info.get("tenants") or ()
    )
    return api.Settings(
        classes=tuple(classes),
        tenants=tenants,
        zone=info.get("zone", 0),
        node=info.get("self_index", 0),
        nodes=max(1, info.get("balancers", 1)),
        tick=info.get("tick") or 1.0,
        max_attempts=permissions.get("try_limit", 3),
        may_probe=bool(permissions.get("probes", False)),
        may_cancel=bool(permissions.get("cancel", False)),
        may_tell=bool(permissions.get("may_tell", False)),
        parallel_attempts=bool(permissions.get("parallel_tries", False)),
        watch_needed=info.get("membership_mode", "automatic") == "subscribe",
        lists_pushed=info.get("membership_mode", "automatic") != "subscribe",
        reports_in_answers=report_source == "answers",
        reports_in_probes=report_source in ("answers", "probe"),
        connect_timeout=permissions.get("connect_timeout", 250.0),
        max_pause=permissions.get("max_retry_after", 0.0) if permissions.get("retry_after", False) else 0.0,
        answer_grace=rules.get("grace_to_answer", 0.0),
        drain_grace=rules.get("drain_grace", 0.0),
        ask_every=rules.get("ask_every", 10_000.0),
        cold_from=rules.get("cold_from", 0.1),
        # above 0: it is a divisor for a worker that has started just now, or whose clock is ahead of this node's
        cold_time=rules.get("cold") or 0.001,
        fall_multiple=rules.get("fall_multiple", 1.0),
        fall_window=rules.get("fall", 1_000.0),
        over_share_worth=info.get("over_share_worth", 1.0),
        price_cross_zone=prices.get("cross_zone", 0.0),
        price_fetch=prices.get("origin", 0.0),
        price_probe=prices.get("probe", 0.0),
        price_peer=prices.get("peer", 0.0),
        price_late_fail=prices.get("late_fail", 0.0),
        backfill=family.get("queue_order", "fifo") != "fifo",
        tells_start=bool(family.get("tells_start", False)),
        progress_every=family.get("progress", 0.0) or 0.0,
    )
