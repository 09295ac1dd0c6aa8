"""The compare-and-set register of the configuration: what becomes of an operator's order, and the state it changes.

Deterministic: replicas that accept the same orders in the same sequence hold the same state.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256
from typing import Any

from millethead.configuration.check import check, parse, read_body, repeated_names
from millethead.configuration.document import JsonObject, read_document, write_document
from millethead.configuration.findings import FindingsError
from millethead.configuration.model import Configuration, Finding, InvalidConfiguration
from millethead.configuration.records import (
    Record,
    Unfit,
    filled_text,
    list_of,
    mapping_of,
    place_of,
    read_record,
    read_with,
)
from millethead.replication.log_position import EARLIEST_POSITION, NO_POSITION, LogPosition

MOST_REMEMBERED = 4096  # accepted orders, the newest, that are recognised when they are sent again
MOST_DOCUMENT_BYTES = 8 << 20  # of the whole configuration; a body is no longer either
MOST_REFUSED = 1024  # orders, the newest, that were refused though they could have been accepted later
DIGEST_BYTES = 32
MAGIC = b"MHC2"  # of an encoded state, with its layout's number
HEADER = struct.Struct(">4sIIIQQQ")  # magic, bytes of the document, accepted and refused orders, place, forgotten
ORDER = struct.Struct(">QQQ")  # epoch and sequence, and the version that it builds on, behind each digest
FIRST_MAGIC = b"MHC1"  # the layout before places were kept; snapshots of it may lie on disks
FIRST_HEADER = struct.Struct(">4sII")


class Method(Enum):
    """How an order changes the configuration."""

    PUT = "PUT"  # a whole configuration takes the place of the current one
    PATCH = "PATCH"  # named items are added, replaced and removed


class Verdict(Enum):
    """What becomes of an order."""

    ACCEPTED = "accepted"  # it takes effect
    REPEATED = "repeated"  # this very order was accepted before: it is acknowledged again and changes nothing
    CONFLICT = "conflict"  # it builds on a version that is not the current one, and never will be again
    FORGOTTEN = "forgotten"  # it builds on so old a version that it is not known whether it was accepted
    AHEAD = "ahead"  # it builds on a version that is not there yet: refused for good once that is remembered
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's order. `if_match`: the version on which it builds, None where the caller named none."""

    method: Method
    if_match: int | None
    body: bytes

    def digest(self) -> bytes:
        """32 bytes that stand for this order: another one has others."""
        return sha256(f"{self.method.value}\n{self.if_match}\n".encode() + self.body).digest()


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict on an order. `findings`: why it was not accepted; `configuration` and `document` (the JSON bytes to be
    read back): what it leads to, for an accepted order only."""

    verdict: Verdict
    findings: tuple[Finding, ...] = ()
    configuration: Configuration | None = None
    document: bytes | None = None


@dataclass(frozen=True, slots=True)
class AcceptedOrder:
    """What is remembered of an accepted order: its log entry, and the version that it builds on."""

    place: LogPosition
    builds_on: int


class NotAcceptable(ValueError):
    """An order was to take effect without a decision for it, or after another one had."""


class DamagedState(ValueError):
    """The bytes are no encoded state."""


class ConfigurationState:
    """The configuration in force and the orders that were accepted. Only `accept` changes it.

    `document`: the JSON bytes to be read back, empty before the first configuration. `place`: of the log entry that
    brought it.
    """

    def __init__(self) -> None:
        self.document = b""
        self.configuration: Configuration | None = None
        self.place = NO_POSITION
        self._accepted: dict[bytes, AcceptedOrder] = {}  # by the digest, oldest first
        self._forgotten = 0  # orders that build on a version below this may have been accepted and be forgotten
        self._refused: dict[bytes, None] = {}  # digests, oldest first

    @property
    def version(self) -> int:
        """The current version; 0 before the first."""
        return self.configuration.version if self.configuration is not None else 0

    def decide(self, order: Order) -> Decision:
        """What is to become of an order now; changes nothing.

        An order accepted before is a repeat whatever the current version is. An order without a version to build on is
        taken for the first configuration, and is a conflict once there is one. What was refused stays refused: an
        order with a version that is still to come could be accepted when it arrives again, so `refuse` has to be
        committed before its answer.
        """
        digest = order.digest()
        if digest in self._accepted:
            return Decision(Verdict.REPEATED)
        if digest in self._refused or not self._builds_on_current(order):
            return Decision(
                self._why_refused(order, digest), (Finding("If-Match", f"the current version is {self.version}"),)
            )
        try:
            return self._decide_current(order)
        except InvalidConfiguration as error:
            return Decision(Verdict.INVALID, error.findings)

    def _why_refused(self, order: Order, digest: bytes) -> Verdict:
        if digest in self._refused:
            return Verdict.CONFLICT
        builds_on = order.if_match or 0
        if builds_on > self.version:
            return Verdict.AHEAD
        return Verdict.FORGOTTEN if 0 <= builds_on < self._forgotten else Verdict.CONFLICT

    def _builds_on_current(self, order: Order) -> bool:
        return (order.if_match or 0) == self.version

    def _decide_current(self, order: Order) -> Decision:
        raw = read_body(order.body)
        if order.method is Method.PUT:
            return Decision(Verdict.ACCEPTED, (), check(raw, above=self.version), order.body)
        merged = merge(self._current_raw(), raw)
        configuration, document = check(merged, above=self.version), write_document(merged)
        if len(document) > MOST_DOCUMENT_BYTES:
            raise InvalidConfiguration([Finding("", f"the whole would be longer than {MOST_DOCUMENT_BYTES} bytes")])
        return Decision(Verdict.ACCEPTED, (), configuration, document)

    def _current_raw(self) -> JsonObject:
        raw = read_document(self.document) if self.document else {"routes": [], "services": []}
        assert isinstance(raw, dict)  # it was accepted
        return raw

    def refuse(self, digest: bytes) -> None:
        """Remember that an order was refused; nothing where it was accepted before."""
        if digest in self._accepted:
            return
        self._refused[digest] = None
        if len(self._refused) > MOST_REFUSED:
            del self._refused[next(iter(self._refused))]

    def knows(self, place: LogPosition) -> bool:
        """Whether the entry at a place brought a configuration, as far as is remembered; also before the first."""
        return place in (NO_POSITION, self.place) or any(place == order.place for order in self._accepted.values())

    def accept(self, order: Order, decision: Decision, place: LogPosition) -> None:
        """Put an accepted order into force, which the entry at `place` brought; raises NotAcceptable, without any
        change, where the decision is not to accept it or another order has taken effect since."""
        if decision.verdict is not Verdict.ACCEPTED or decision.configuration is None or decision.document is None:
            raise NotAcceptable(f"the decision on the order is {decision.verdict.value}")
        if not self._builds_on_current(order) or decision.configuration.version <= self.version:
            raise NotAcceptable(f"the order builds on version {order.if_match}, and {self.version} is current")
        self.document = decision.document
        self.configuration = decision.configuration
        self.place = place
        self._remember(order.digest(), AcceptedOrder(place, order.if_match or 0))

    def _remember(self, digest: bytes, accepted: AcceptedOrder) -> None:
        self._accepted[digest] = accepted
        if len(self._accepted) > MOST_REMEMBERED:
            oldest = next(iter(self._accepted))
            self._forgotten = self._accepted.pop(oldest).builds_on + 1

    def encode(self) -> bytes:
        """The state as bytes, the same for equal states."""
        header = HEADER.pack(
            MAGIC,
            len(self.document),
            len(self._accepted),
            len(self._refused),
            self.place.epoch,
            self.place.sequence,
            self._forgotten,
        )
        orders = (
            digest + ORDER.pack(order.place.epoch, order.place.sequence, order.builds_on)
            for digest, order in self._accepted.items()
        )
        return b"".join([header, self.document, *orders, *self._refused])

    @classmethod
    def decode(cls, data: bytes) -> ConfigurationState:
        """The state that `encode` made into these bytes; raises DamagedState."""
        encoded = _split_encoded(data)
        state = cls()
        state._accepted, state.place = encoded.accepted, encoded.place
        state._refused, state._forgotten = dict.fromkeys(encoded.refused), encoded.forgotten
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
    if data.startswith(FIRST_MAGIC):
        return _split_first(data)
    if len(data) < HEADER.size:
        raise DamagedState("the header is incomplete")
    magic, document_bytes, accepted_count, refused_count, epoch, sequence, forgotten = HEADER.unpack_from(data)
    if magic != MAGIC or accepted_count > MOST_REMEMBERED or refused_count > MOST_REFUSED:
        raise DamagedState("the layout is unknown, or holds more than it may")
    accepted_at = HEADER.size + document_bytes
    refused_at = accepted_at + accepted_count * (DIGEST_BYTES + ORDER.size)
    orders = _split_items(data[accepted_at:refused_at], accepted_count, DIGEST_BYTES + ORDER.size)
    accepted = {order[:DIGEST_BYTES]: _read_order(order) for order in orders}
    refused = _split_items(data[refused_at:], refused_count, DIGEST_BYTES)
    return _Encoded(data[HEADER.size : accepted_at], accepted, refused, LogPosition(epoch, sequence), forgotten)


def _read_order(item: bytes) -> AcceptedOrder:
    epoch, sequence, builds_on = ORDER.unpack_from(item, DIGEST_BYTES)
    return AcceptedOrder(LogPosition(epoch, sequence), builds_on)


def _split_first(data: bytes) -> _Encoded:
    """The layout without places: any later entry has a greater one than what is put in their place."""
    if len(data) < FIRST_HEADER.size:
        raise DamagedState("the header is incomplete")
    _, document_bytes, count = FIRST_HEADER.unpack_from(data)
    digests_at = FIRST_HEADER.size + document_bytes
    digests = _split_items(data[digests_at:], count, DIGEST_BYTES)
    document = data[FIRST_HEADER.size : digests_at]
    place = EARLIEST_POSITION if document else NO_POSITION
    return _Encoded(document, dict.fromkeys(digests, AcceptedOrder(EARLIEST_POSITION, 0)), [], place, 0)


def _split_items(data: bytes, count: int, size: int) -> list[bytes]:
    """`count` items of `size` bytes, which are all that there is."""
    if count > MOST_REMEMBERED or len(data) != count * size:
        raise DamagedState("the length is wrong")
    return [data[at : at + size] for at in range(0, len(data), size)]


def _decoded_configuration(document: bytes) -> Configuration:
    try:
        return parse(document)
    except InvalidConfiguration as error:
        raise DamagedState(f"the document is invalid: {error}") from None


def _named_item(value: Any) -> JsonObject:
    """An item as it was sent, which has a name."""
    if not isinstance(value, dict):
        raise Unfit("is not an object")
    read_record(_Named, value)
    return value


@dataclass(frozen=True)
class _Named(Record):
    name: str = field(metadata=read_with(filled_text))


def _object(value: Any) -> JsonObject:
    if not isinstance(value, dict):
        raise Unfit("is not an object")
    return value


@dataclass(frozen=True, kw_only=True)
class _Change(Record):
    """What an order of the method PATCH asks for besides its version: by list, the items to add or to replace and the
    names to remove. `limits` take the place of the current ones."""

    upsert: Mapping[str, tuple[JsonObject, ...]] = field(
        default_factory=dict, metadata=read_with(mapping_of(list_of(_named_item)))
    )
    delete: Mapping[str, tuple[str, ...]] = field(
        default_factory=dict, metadata=read_with(mapping_of(list_of(filled_text)))
    )
    limits: JsonObject | None = field(default=None, metadata=read_with(_object))


def merge(current: JsonObject, raw: object) -> JsonObject:
    """The configuration that results from a change (the JSON value of its body), unchecked; `current` stays as it is.

    Items keep their places, new ones follow. Removing a name that is not there is no fault. Raises InvalidConfiguration
    for a change that cannot be read, that names an item twice or that names a list where there is none.
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
    """The current configuration under the version of the change, or under none if that has none."""
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
    """The name of an item of any list; empty where it has none."""
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else ""


def _change_findings(current: JsonObject, change: _Change) -> list[Finding]:
    findings: list[Finding] = []
    for key, items in change.upsert.items():
        findings.extend(_list_findings(current, key, f"upsert.{place_of(key)}"))
        findings.extend(repeated_names(list(enumerate(items)), f"upsert.{place_of(key)}"))
        findings.extend(_contradictions(items, change.delete.get(key, ()), f"upsert.{place_of(key)}"))
    for key in change.delete:
        findings.extend(_list_findings(current, key, f"delete.{place_of(key)}"))
    return findings


def _list_findings(current: JsonObject, key: str, place: str) -> list[Finding]:
    """A list that the configuration does not know may be added, but nothing else be made a list."""
    is_list = key not in ("version", "limits") and isinstance(current.get(key) or [], list)
    return [] if is_list else [Finding(place, "is not a list of named items")]


def _contradictions(items: tuple[JsonObject, ...], deleted: tuple[str, ...], place: str) -> list[Finding]:
    return [
        Finding(f"{place}[{index}].name", "is to be removed by the same change")
        for index, item in enumerate(items)
        if item["name"] in deleted
    ]
