"""Validation of a configuration: each item by itself, then references and duplicates across items.

All findings are collected and raised together as InvalidConfiguration. Comparisons across items skip values that cannot
be read, so that one error is not reported twice.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import TypeGuard

from millethead.configuration.document import JsonObject, UnreadableDocument, read_document
from millethead.configuration.findings import Finding, FindingsError, quoted
from millethead.configuration.model import Configuration, InvalidConfiguration
from millethead.configuration.records import findings_of, nonempty_text, positive_integer, read_record
from millethead.configuration.routing import normalize_host

Items = list[tuple[int, JsonObject]]  # each with its index in the list
MAX_U32 = (1 << 32) - 1
THOUSANDTHS = 1000  # the unit in which the records of jobs hold `skew`


@dataclass(frozen=True, slots=True)
class FieldLimit:
    """The largest value of a number of a route."""

    field: str
    largest: int


ROUTE_LIMITS = (
    FieldLimit("prio", MAX_U32),
    FieldLimit("retries", MAX_U32),
    FieldLimit("target_ms", MAX_U32),
    FieldLimit("skew", MAX_U32 // THOUSANDTHS),
)


def parse(body: bytes) -> Configuration:
    """Parse and validate a whole configuration (JSON in UTF-8). Raises InvalidConfiguration."""
    return check(read_body(body))


def read_body(body: bytes) -> object:
    """Parse the body of an order as JSON. Raises InvalidConfiguration if that fails."""
    try:
        return read_document(body)
    except UnreadableDocument as error:
        raise InvalidConfiguration([Finding("", str(error))]) from None


def check(raw: object, above: int = 0) -> Configuration:
    """Validate a whole configuration given as a JSON value; its version must exceed `above`.

    Raises InvalidConfiguration.
    """
    findings: list[Finding] = []
    configuration = None
    try:
        configuration = read_record(Configuration, raw)
    except FindingsError as error:
        findings.extend(error.findings)
    if isinstance(raw, dict):
        findings.extend(_version_findings(raw, above))
        findings.extend(_reference_findings(raw))
    if configuration is None or findings:
        raise InvalidConfiguration(findings)
    return configuration


def range_findings(configuration: Configuration) -> list[Finding]:
    """Return a finding for each number of a route that the records of its jobs cannot hold.

    These numbers are not checked by `check`, which also reads configurations that earlier builds have accepted.
    """
    return [
        Finding(f"routes[{index}].{limit.field}", f"is not in the range from 0 to {limit.largest}")
        for index, route in enumerate(configuration.routes)
        for limit in ROUTE_LIMITS
        if not 0 <= getattr(route, limit.field) <= limit.largest
    ]


def _version_findings(raw: JsonObject, above: int) -> Iterator[Finding]:
    version = raw.get("version")
    if not findings_of(positive_integer, version, "version") and positive_integer(version) <= above:
        yield Finding("version", f"does not exceed the current one, {above}")


def _reference_findings(raw: JsonObject) -> Iterator[Finding]:
    routes, services = _items(raw, "routes"), _items(raw, "services")
    yield from duplicate_name_findings(routes, "routes")
    yield from duplicate_name_findings(services, "services")
    yield from _duplicate_prefix_findings(routes)
    if isinstance(raw.get("services"), list):
        yield from _unknown_service_findings(routes, services)


def _items(raw: JsonObject, key: str) -> Items:
    items = raw.get(key)
    if not isinstance(items, list):
        return []
    return [(index, item) for index, item in enumerate(items) if isinstance(item, dict)]


def duplicate_name_findings(items: Items, place: str) -> Iterator[Finding]:
    """Yield a finding for each item of the list at `place` whose name an earlier item has."""
    first: dict[Hashable, int] = {}
    for index, item in items:
        name = item.get("name")
        if _is_nonempty_text(name) and first.setdefault(name, index) != index:
            yield Finding(f"{place}[{index}].name", f"{quoted(name)} is the name of {place}[{first[name]}] as well")


def _duplicate_prefix_findings(routes: Items) -> Iterator[Finding]:
    first: dict[Hashable, int] = {}
    for index, route in routes:
        host, prefix = route.get("host"), route.get("path_prefix")
        if not _is_nonempty_text(host) or not _is_nonempty_text(prefix):
            continue
        key = (normalize_host(host), prefix)
        if first.setdefault(key, index) != index:
            yield Finding(f"routes[{index}].path_prefix", f"routes[{first[key]}] has the same host and prefix")


def _unknown_service_findings(routes: Items, services: Items) -> Iterator[Finding]:
    known = {service["name"] for _, service in services if _is_nonempty_text(service.get("name"))}
    for index, route in routes:
        name = route.get("service")
        if _is_nonempty_text(name) and name not in known:
            yield Finding(f"routes[{index}].service", f"there is no service {quoted(name)}")


def _is_nonempty_text(value: object) -> TypeGuard[str]:
    return not findings_of(nonempty_text, value, "")
