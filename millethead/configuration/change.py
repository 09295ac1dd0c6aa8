"""Compare-and-set register of the configuration.

Decides on the orders (configuration changes) of operators and applies the accepted ones. The register is deterministic:
replicas that apply the same orders in the same sequence have the same state.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256
from typing import Any

from millethead.configuration.check import check, duplicate_name_findings, parse, read_body
from millethead.configuration.document import JsonObject, read_document, write_document
from millethead.configuration.findings import FindingsError
from millethead.configuration.model import Configuration, Finding, InvalidConfiguration
from millethead.configuration.records import (
    InvalidValue,
    Record,
    key_path,
    list_of,
    mapping_of,
    nonempty_text,
    read_record,
    read_with,
)
from millethead.replication.log_position import EARLIEST_POSITION, NO_POSITION, LogPosition

MAX_ACCEPTED_ORDERS = 4096  # newest accepted orders that are recognised as repeats
MAX_DOCUMENT_BYTES = 8 << 20  # limit of the whole configuration, and so of a request body
MAX_REFUSED_ORDERS = 1024  # newest refused orders whose refusal is kept
DIGEST_BYTES = 32
MAGIC = b"MHC2"  # start of an encoded state, ends with the format version
HEADER = struct.Struct(">4sIIIQQQ")  # magic, document bytes, accepted and refused counts, epoch, sequence, forgotten
ACCEPTED_ORDER = struct.Struct(">QQQ")  # epoch, sequence and base version; follows each digest
MAGIC_V1 = b"MHC1"  # format without log positions; snapshots in this format may still exist on disks
HEADER_V1 = struct.Struct(">4sII")


class Method(Enum):
    """How an order changes the configuration, by HTTP method."""

    PUT = "PUT"  # replaces the whole configuration
    PATCH = "PATCH"  # adds, replaces and removes named items


class Verdict(Enum):
    """The decision on an order."""

    ACCEPTED = "accepted"  # the order takes effect
    REPEATED = "repeated"  # the same order was accepted before; it is acknowledged again without a change
    CONFLICT = "conflict"  # the base version has been superseded, or the order was refused before
    FORGOTTEN = "forgotten"  # the base version is so old that an earlier acceptance is no longer recorded
    AHEAD = "ahead"  # the base version does not exist yet; final once the refusal is recorded
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Order:
    """A configuration change sent by an operator.

    `if_match` is the version on which the change is based (its base version), or None if the request has none.
    """

    method: Method
    if_match: int | None
    body: bytes

    def digest(self) -> bytes:
        """Return the SHA-256 digest that identifies this order."""
        return sha256(f"{self.method.value}\n{self.if_match}\n".encode() + self.body).digest()


@dataclass(frozen=True, slots=True)
class Decision:
    """The verdict on an order, with its reasons or its result.

    `findings` are the reasons if the order is not accepted. `configuration` and `document` (the JSON bytes returned to
    readers) are the result of an accepted order and None otherwise.
    """

    verdict: Verdict
    findings: tuple[Finding, ...] = ()
    configuration: Configuration | None = None
    document: bytes | None = None


@dataclass(frozen=True, slots=True)
class AcceptedOrder:
    """Record of an accepted order: the position of its log entry and its base version."""

    place: LogPosition
    base_version: int


class OrderNotAcceptable(ValueError):
    """An order cannot be applied: it was not accepted, or the configuration has changed since the decision."""


class DamagedState(ValueError):
    """The bytes are not a valid encoded state."""


class ConfigurationState:
    """The configuration in force, and the recent accepted and refused orders.

    `document` holds the JSON bytes returned to readers; it is empty before the first configuration. `place` is the
    position of the log entry that set the configuration. Only `accept` changes the configuration.
    """

    def __init__(self) -> None:
        self.document = b""
        self.configuration: Configuration | None = None
        self.place = NO_POSITION
        self._accepted: dict[bytes, AcceptedOrder] = {}  # by digest, oldest first
        self._forgotten_below = 0  # acceptance of orders with a base version below this may no longer be recorded
        self._refused: dict[bytes, None] = {}  # digests, oldest first

    @property
    def version(self) -> int:
        """Return the current version; 0 before the first configuration."""
        return self.configuration.version if self.configuration is not None else 0

    def decide(self, order: Order) -> Decision:
        """Decide on an order without changing the state.

        An order that was accepted before is a repeat, whatever the current version is. An order without a base version
        is meant as the first configuration and is a conflict once there is one. A refusal is final: an order whose base
        version does not exist yet could otherwise be accepted when it is sent again, so the caller must commit `refuse`
        before it answers.
        """
        digest = order.digest()
        if digest in self._accepted:
            return Decision(Verdict.REPEATED)
        if digest in self._refused or not self._is_based_on_current(order):
            return Decision(
                self._refusal_verdict(order, digest), (Finding("If-Match", f"the current version is {self.version}"),)
            )
        try:
            return self._decide_current(order)
        except InvalidConfiguration as error:
            return Decision(Verdict.INVALID, error.findings)

    def _refusal_verdict(self, order: Order, digest: bytes) -> Verdict:
        if digest in self._refused:
            return Verdict.CONFLICT
        base_version = order.if_match or 0
        if base_version > self.version:
            return Verdict.AHEAD
        return Verdict.FORGOTTEN if 0 <= base_version < self._forgotten_below else Verdict.CONFLICT

    def _is_based_on_current(self, order: Order) -> bool:
        return (order.if_match or 0) == self.version

    def _decide_current(self, order: Order) -> Decision:
        raw = read_body(order.body)
        if order.method is Method.PUT:
            return Decision(Verdict.ACCEPTED, (), check(raw, above=self.version), order.body)
        merged = merge(self._current_raw(), raw)
        configuration, document = check(merged, above=self.version), write_document(merged)
        if len(document) > MAX_DOCUMENT_BYTES:
            raise InvalidConfiguration([Finding("", f"the whole would be longer than {MAX_DOCUMENT_BYTES} bytes")])
        return Decision(Verdict.ACCEPTED, (), configuration, document)

    def _current_raw(self) -> JsonObject:
        raw = read_document(self.document) if self.document else {"routes": [], "services": []}
        assert isinstance(raw, dict)  # checked before it was accepted
        return raw

    def refuse(self, digest: bytes) -> None:
        """Record that an order was refused. Does nothing if the order was accepted before."""
        if digest in self._accepted:
            return
        self._refused[digest] = None
        if len(self._refused) > MAX_REFUSED_ORDERS:
            del self._refused[next(iter(self._refused))]

    def is_configuration_place(self, place: LogPosition) -> bool:
        """Return whether the log entry at `place` is recorded as having set a configuration.

        Also true for NO_POSITION, the position before the first configuration.
        """
        return place in (NO_POSITION, self.place) or any(place == order.place for order in self._accepted.values())

    def accept(self, order: Order, decision: Decision, place: LogPosition) -> None:
        """Apply an accepted order from the log entry at `place`.

        Raises OrderNotAcceptable, without any change, if the decision does not accept the order or if another order has
        taken effect since the decision.
        """
        if decision.verdict is not Verdict.ACCEPTED or decision.configuration is None or decision.document is None:
            raise OrderNotAcceptable(f"the decision on the order is {decision.verdict.value}")
        if not self._is_based_on_current(order) or decision.configuration.version <= self.version:
            raise OrderNotAcceptable(f"the order builds on version {order.if_match}, and {self.version} is current")
        self.document = decision.document
        self.configuration = decision.configuration
        self.place = place
        self._remember(order.digest(), AcceptedOrder(place, order.if_match or 0))

    def _remember(self, digest: bytes, accepted: AcceptedOrder) -> None:
        self._accepted[digest] = accepted
        if len(self._accepted) > MAX_ACCEPTED_ORDERS:
            oldest = next(iter(self._accepted))
            self._forgotten_below = self._accepted.pop(oldest).base_version + 1

    def encode(self) -> bytes:
        """Encode the state. Equal states have equal encodings."""
        header = HEADER.pack(
            MAGIC,
            len(self.document),
            len(self._accepted),
            len(self._refused),
            self.place.epoch,
            self.place.sequence,
            self._forgotten_below,
        )
        orders = (
            digest + ACCEPTED_ORDER.pack(order.place.epoch, order.place.sequence, order.base_version)
            for digest, order in self._accepted.items()
        )
        return b"".join([header, self.document, *orders, *self._refused])

    @classmethod
    def decode(cls, data: bytes) -> ConfigurationState:
        """Decode a state from the output of `encode`. Raises DamagedState."""
        encoded = _split_encoded(data)
        state = cls()
        state._accepted, state.place = encoded.accepted, encoded.place
        state._refused, state._forgotten_below = dict.fromkeys(encoded.refused), encoded.forgotten
        if encoded.document:
            state.document = encoded.document
            state.configuration = _decoded_configuration(encoded.document)
        return state


@dataclass(frozen=True, slots=True)
class _Encoded:
    """The parts of an encoded state."""

    document: bytes
    accepted: dict[bytes, AcceptedOrder]
    refused: list[bytes]
    place: LogPosition
    forgotten: int


def _split_encoded(data: bytes) -> _Encoded:
    if data.startswith(MAGIC_V1):
        return _split_v1(data)
    if len(data) < HEADER.size:
        raise DamagedState("the header is incomplete")
    magic, document_bytes, accepted_count, refused_count, epoch, sequence, forgotten = HEADER.unpack_from(data)
    if magic != MAGIC or accepted_count > MAX_ACCEPTED_ORDERS or refused_count > MAX_REFUSED_ORDERS:
        raise DamagedState("the layout is unknown, or holds more than it may")
    accepted_at = HEADER.size + document_bytes
    refused_at = accepted_at + accepted_count * (DIGEST_BYTES + ACCEPTED_ORDER.size)
    orders = _split_items(data[accepted_at:refused_at], accepted_count, DIGEST_BYTES + ACCEPTED_ORDER.size)
    accepted = {order[:DIGEST_BYTES]: _read_order(order) for order in orders}
    refused = _split_items(data[refused_at:], refused_count, DIGEST_BYTES)
    return _Encoded(data[HEADER.size : accepted_at], accepted, refused, LogPosition(epoch, sequence), forgotten)


def _read_order(item: bytes) -> AcceptedOrder:
    epoch, sequence, base_version = ACCEPTED_ORDER.unpack_from(item, DIGEST_BYTES)
    return AcceptedOrder(LogPosition(epoch, sequence), base_version)


def _split_v1(data: bytes) -> _Encoded:
    """Split a state in the first format, which has no log positions.

    EARLIEST_POSITION stands for the missing positions; it is before the position of any later entry.
    """
    if len(data) < HEADER_V1.size:
        raise DamagedState("the header is incomplete")
    _, document_bytes, count = HEADER_V1.unpack_from(data)
    digests_at = HEADER_V1.size + document_bytes
    digests = _split_items(data[digests_at:], count, DIGEST_BYTES)
    document = data[HEADER_V1.size : digests_at]
    place = EARLIEST_POSITION if document else NO_POSITION
    return _Encoded(document, dict.fromkeys(digests, AcceptedOrder(EARLIEST_POSITION, 0)), [], place, 0)


def _split_items(data: bytes, count: int, size: int) -> list[bytes]:
    """Split `data` into exactly `count` items of `size` bytes. Raises DamagedState if the length differs."""
    if count > MAX_ACCEPTED_ORDERS or len(data) != count * size:
        raise DamagedState("the length is wrong")
    return [data[at : at + size] for at in range(0, len(data), size)]


def _decoded_configuration(document: bytes) -> Configuration:
    try:
        return parse(document)
    except InvalidConfiguration as error:
        raise DamagedState(f"the document is invalid: {error}") from None


def _named_item(value: Any) -> JsonObject:
    """An object with a name."""
    if not isinstance(value, dict):
        raise InvalidValue("is not an object")
    read_record(_Named, value)
    return value


@dataclass(frozen=True)
class _Named(Record):
    name: str = field(metadata=read_with(nonempty_text))


def _read_object(value: Any) -> JsonObject:
    if not isinstance(value, dict):
        raise InvalidValue("is not an object")
    return value


@dataclass(frozen=True, kw_only=True)
class _Change(Record):
    """The body of a PATCH order, except for its version.

    `upsert` has the items to add or replace by list, `delete` the names of items to remove by list. `limits`, if given,
    replace the current limits.
    """

    upsert: Mapping[str, tuple[JsonObject, ...]] = field(
        default_factory=dict, metadata=read_with(mapping_of(list_of(_named_item)))
    )
    delete: Mapping[str, tuple[str, ...]] = field(
        default_factory=dict, metadata=read_with(mapping_of(list_of(nonempty_text)))
    )
    limits: JsonObject | None = field(default=None, metadata=read_with(_read_object))


def merge(current: JsonObject, raw: object) -> JsonObject:
    """Return `current` with a change applied (`raw` is the JSON value of its body). The result is not validated.

    `current` is not modified. Replaced items keep their position in the list, new ones are appended. Removing an
    unknown name is allowed. Raises InvalidConfiguration for a change that cannot be read, that
    contains an item twice, or that names something that is not a list of items.
    """
    try:
        change = read_record(_Change, raw)
    except FindingsError as error:
        raise InvalidConfiguration(error.findings) from None
    findings = _change_findings(current, change)
    if findings:
        raise InvalidConfiguration(findings)
    merged = _with_version(current, raw)
    if change.limits is not None:
        merged["limits"] = change.limits
    for key in {**change.upsert, **change.delete}:
        if key in change.upsert or key in current:
            merged[key] = _merged_items(current.get(key) or [], change.upsert.get(key, ()), change.delete.get(key, ()))
    return merged


def _with_version(current: JsonObject, raw: object) -> JsonObject:
    """Copy the current configuration with the version of the change, or without a version if the change has none."""
    merged = {key: value for key, value in current.items() if key != "version"}
    if isinstance(raw, dict) and "version" in raw:
        merged = {"version": raw["version"], **merged}
    return merged


def _merged_items(items: list[Any], upsert: tuple[JsonObject, ...], delete: tuple[str, ...]) -> list[Any]:
    removed = set(delete)
    incoming = {item["name"]: item for item in upsert}
    kept = [incoming.pop(_name_of(item), item) for item in items if _name_of(item) not in removed]
    return [*kept, *incoming.values()]


def _name_of(item: object) -> str:
    """Return the name of a list item; empty if it has none."""
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else ""


def _change_findings(current: JsonObject, change: _Change) -> list[Finding]:
    findings: list[Finding] = []
    for key, items in change.upsert.items():
        findings.extend(_named_list_findings(current, key, f"upsert.{key_path(key)}"))
        findings.extend(duplicate_name_findings(list(enumerate(items)), f"upsert.{key_path(key)}"))
        findings.extend(_deleted_item_findings(items, change.delete.get(key, ()), f"upsert.{key_path(key)}"))
    for key in change.delete:
        findings.extend(_named_list_findings(current, key, f"delete.{key_path(key)}"))
    return findings


def _named_list_findings(current: JsonObject, key: str, place: str) -> list[Finding]:
    """Return a finding if `key` cannot be a list of items. Lists unknown to this program may be added."""
    is_list = key not in ("version", "limits") and isinstance(current.get(key) or [], list)
    return [] if is_list else [Finding(place, "is not a list of named items")]


def _deleted_item_findings(items: tuple[JsonObject, ...], deleted: tuple[str, ...], place: str) -> list[Finding]:
    return [
        Finding(f"{place}[{index}].name", "is to be removed by the same change")
        for index, item in enumerate(items)
        if item["name"] in deleted
    ]
