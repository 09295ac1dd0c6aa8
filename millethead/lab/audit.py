"""What the logs of a pack must show, whatever was done to it."""

from __future__ import annotations

from collections.abc import Iterable

from millethead.lab.pack import Said
from millethead.members.share import UNITS


def most_shared(said: Iterable[Said]) -> float:
    """The largest sum of shares at any instant, as a part of the limit. A process that was killed counts until what
    it had runs out; shares only grow at a line, so it is enough to look at each."""
    held: dict[str, tuple[int, list[tuple[int, float]]]] = {}  # node -> (its cap, (units, until))
    most = 0
    for line in sorted((x for x in said if x.event == "fleet_share"), key=lambda x: x.at):
        grants = [
            (int(units), float(until))
            for _, units, until in (grant.rsplit(":", 2) for grant in line.fields["grants"].split(",") if grant)
        ]
        held[line.node] = UNITS // int(line.fields["fleet"]), grants
        most = max(
            most,
            sum(min(cap, sum(units for units, until in grants if until > line.at)) for cap, grants in held.values()),
        )
    return most / UNITS


def shares(said: Iterable[Said], node: str, since: float = 0.0, until: float = float("inf")) -> list[int]:
    """The units that `node` said it may use, in order."""
    return [
        int(x.fields["units"]) for x in said if x.event == "fleet_share" and x.node == node and since <= x.at <= until
    ]


def deaths(said: Iterable[Said], of: str, since: float = 0.0) -> dict[str, float]:
    """Who said when, first, that `of` is dead."""
    found: dict[str, float] = {}
    for line in said:
        if (
            line.event == "member"
            and line.at >= since
            and line.fields["member"] == of
            and (line.fields["state"] == "dead")
        ):
            found.setdefault(line.node, line.at)
    return found


def most_out(said: Iterable[Said]) -> dict[str, int]:
    """The most of each group that were out at once in what the fleet agreed on, by any dispatcher's word."""
    most: dict[str, int] = {}
    for line in said:
        if line.event == "rollout_agreed":
            groups = [slot.split(":", 2)[2] for slot in line.fields["out"].split(",") if slot]
            for group in set(groups):
                most[group] = max(most.get(group, 0), groups.count(group))
    return most


def gone_at_once(said: Iterable[Said]) -> int:
    """The most dispatchers that were really out at once: from a process's word that it goes until the next one of its
    name serves."""
    out: set[str] = set()
    most = 0
    for line in sorted(said, key=lambda x: x.at):
        if line.event == "rollout_goes":
            out.add(line.node)
        elif line.event == "serving":
            out.discard(line.node)
        most = max(most, len(out))
    return most


def done_twice(said: Iterable[Said]) -> list[str]:
    """Tokens on which somebody went more than once."""
    seen: set[str] = set()
    twice = []
    for line in said:
        if line.event == "rollout_goes":
            twice += [line.fields["token"]] if line.fields["token"] in seen else []
            seen.add(line.fields["token"])
    return twice


def two_histories(said: Iterable[Said]) -> list[str]:
    """Revisions of what is agreed that two dispatchers learned differently: there must be none."""
    seen: dict[str, tuple[str, ...]] = {}
    told = ("out", "release", "moved", "voters", "stewards")
    found = []
    for line in said:
        if line.event == "rollout_agreed":
            rev, what = line.fields["rev"], tuple(line.fields[key] for key in told)
            if seen.setdefault(rev, what) != what:
                found.append(f"{rev}: {seen[rev]} and {what}")
    return found
