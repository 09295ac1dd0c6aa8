"""The settings of a node, read from the JSON object that the simulator and the configuration share."""

from __future__ import annotations

import json
from typing import Any

from millethead.decide import interface as api

_EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
_COLUMNS = {"rif": "held", "inflight": "held", "q": "queued", "queue": "queued", "busy": "busy", "util": "busy"}


class SettingsError(Exception):
    """The settings lack something essential or hold something that cannot be meant."""


def report_fields(info: dict[str, Any]) -> tuple[str | None, ...]:
    """The field of a Report that each value of a load report means, in their order; None: none."""
    family = info.get("family_info") or {}
    report = info.get("report") or {}
    return tuple(report_field(column, family) for column in report.get("columns") or ())


def report_field(column: str, family: dict[str, Any]) -> str | None:
    """The field of a Report that a value by this name means; None: none."""
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
    """The settings JSON as it came, and as Settings. Keys not known are skipped, optional ones defaulted."""
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
    permit = info.get("permissions") or {}
    rules = info.get("rules") or {}
    prices = info.get("prices") or {}
    how = (info.get("report") or {}).get("how", "none")

    def per_class(key: str, index: int, default: float) -> float:
        values = family.get(key) or ()
        return values[index] if index < len(values) else default

    for key in ("azs", "kinds", "classes", "tenants"):  # all that is known goes by these names
        names = [str(x.get("name", n) if isinstance(x, dict) else x) for n, x in enumerate(info.get(key) or ())]
        if len({*names}) < len(names):
            raise SettingsError(f"{key}: a name stands there twice")
    classes = []
    for n, c in enumerate(info["classes"]):
        stretch = c.get("aim_stretch", per_class("class_stretch", n, 0.0))
        kind = int(per_class("class_kind", n, -1))
        scope = c.get("dedup_scope", "cell")
        classes.append(
            api.JobClass(
                deadline=c["deadline"],
                aim=c.get("goal_time", c["deadline"]),
                stretch=stretch or 0.0,
                worth=c.get("worth", 1.0),
                late_worth=c.get("late_worth", 0.0),
                effect=_EFFECTS.get(c.get("effect", ""), api.Effect.UNSAFE),
                group=api.Group(scope) if scope in ("all", "zone", "cell") else api.Group.CELL,
                window=c.get("window", 0.0),
                kind=None if kind < 0 else kind,
                priority=int(per_class("class_priority", n, 0)),
                streaming=bool(c.get("streaming", False)),
            )
        )
    tenants = tuple(
        api.Tenant(reservation=t.get("quota_rps"), name=str(t.get("name", ""))) for t in info.get("tenants") or ()
    )
    return api.Settings(
        classes=tuple(classes),
        tenants=tenants,
        zone=info.get("zone", 0),
        node=info.get("self_index", 0),
        nodes=max(1, info.get("balancers", 1)),
        tick=info.get("tick") or 1.0,
        max_attempts=permit.get("try_limit", 3),
        may_probe=bool(permit.get("probes", False)),
        may_cancel=bool(permit.get("cancel", False)),
        may_tell=bool(permit.get("may_tell", False)),
        parallel_attempts=bool(permit.get("parallel_tries", False)),
        watch_needed=info.get("membership_mode", "automatic") == "subscribe",
        lists_pushed=info.get("membership_mode", "automatic") != "subscribe",
        reports_in_answers=how == "answers",
        reports_in_probes=how in ("answers", "probe"),
        connect_timeout=permit.get("connect_timeout", 250.0),
        max_pause=permit.get("max_retry_after", 0.0) if permit.get("retry_after", False) else 0.0,
        answer_grace=rules.get("grace_to_answer", 0.0),
        drain_grace=rules.get("drain_grace", 0.0),
        ask_every=rules.get("ask_every", 10_000.0),
        cold_from=rules.get("cold_from", 0.1),
        # parts of it are worked out for a worker that has started just now, or by a clock ahead of ours
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
