"""Whether a configuration is valid: each item by itself, then what the items say of one another.

All findings are collected, and raised together as InvalidConfiguration. Items that cannot be read are passed over where
items are compared, so that one fault is not reported twice.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import TypeGuard

from millethead.configuration.document import JsonObject, UnreadableDocument, read_document
from millethead.configuration.findings import Finding, FindingsError, quoted
from millethead.configuration.model import Configuration, InvalidConfiguration
from millethead.configuration.records import filled_text, findings_of, integer_above_zero, read_record
from millethead.configuration.routing import normal_host

Items = list[tuple[int, JsonObject]]  # with their places in the list


def parse(body: bytes) -> Configuration:
    """The whole configuration that the bytes (JSON in UTF-8) stand for; raises InvalidConfiguration."""
    return check(read_body(body))


def read_body(body: bytes) -> object:
    """The JSON value of an order's body; raises InvalidConfiguration if it cannot be read whole."""
    try:
        return read_document(body)
    except UnreadableDocument as error:
        raise InvalidConfiguration([Finding("", str(error))]) from None


def check(raw: object, above: int = 0) -> Configuration:
    """The whole configuration for a JSON value, whose version must exceed `above`; raises InvalidConfiguration."""
    findings: list[Finding] = []
    configuration = None
    try:
        configuration = read_record(Configuration, raw)
    except FindingsError as error:
        findings.extend(error.findings)
    if isinstance(raw, dict):
        findings.extend(_version_findings(raw, above))
        findings.extend(_relation_findings(raw))
    if configuration is None or findings:
        raise InvalidConfiguration(findings)
    return configuration


def _version_findings(raw: JsonObject, above: int) -> Iterator[Finding]:
    version = raw.get("version")
    if not findings_of(integer_above_zero, version, "version") and integer_above_zero(version) <= above:
        yield Finding("version", f"does not exceed the current one, {above}")


def _relation_findings(raw: JsonObject) -> Iterator[Finding]:
    routes, services = _items(raw, "routes"), _items(raw, "services")
    yield from repeated_names(routes, "routes")
    yield from repeated_names(services, "services")
    yield from _shared_prefixes(routes)
    if isinstance(raw.get("services"), list):
        yield from _unknown_services(routes, services)


def _items(raw: JsonObject, key: str) -> Items:
    items = raw.get(key)
    if not isinstance(items, list):
        return []
    return [(index, item) for index, item in enumerate(items) if isinstance(item, dict)]


def repeated_names(items: Items, place: str) -> Iterator[Finding]:
    """A finding for each item of the list at `place` that has the name of one before it."""
    first: dict[Hashable, int] = {}
    for index, item in items:
        name = item.get("name")
        if _filled(name) and first.setdefault(name, index) != index:
            yield Finding(f"{place}[{index}].name", f"{quoted(name)} is the name of {place}[{first[name]}] as well")


def _shared_prefixes(routes: Items) -> Iterator[Finding]:
    first: dict[Hashable, int] = {}
    for index, route in routes:
        host, prefix = route.get("host"), route.get("path_prefix")
        if not _filled(host) or not _filled(prefix):
            continue
        key = (normal_host(host), prefix)
        if first.setdefault(key, index) != index:
            yield Finding(f"routes[{index}].path_prefix", f"routes[{first[key]}] has the same host and prefix")


def _unknown_services(routes: Items, services: Items) -> Iterator[Finding]:
    known = {service["name"] for _, service in services if _filled(service.get("name"))}
    for index, route in routes:
        name = route.get("service")
        if _filled(name) and name not in known:
            yield Finding(f"routes[{index}].service", f"there is no service {quoted(name)}")


def _filled(value: object) -> TypeGuard[str]:
    return not findings_of(filled_text, value, "")
