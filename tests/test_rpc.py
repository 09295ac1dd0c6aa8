"""The binary codec: records survive a round trip, and arbitrary bytes decode to a record or raise CodecError."""

from __future__ import annotations

import importlib
import os
import pkgutil
import struct
import tracemalloc
import types
import typing
from enum import IntEnum

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import millethead
from millethead.replication.messages import Heartbeat, PaxosKind, PaxosMessage, PeerAge, ViewAnnouncement
from millethead.replication.view import ChainMember, Member, View
from millethead.rpc import codec
from millethead.rpc.codec import CodecError, Record, decode, decode_any, encode, encode_any

EXAMPLES = int(os.environ.get("RPC_EXAMPLES", "60"))
MAX_ALLOCATED_PER_INPUT_BYTE = 60  # bytes of memory that decoding may allocate
RANGES = {"B": (0, 2**8 - 1), "H": (0, 2**16 - 1), "I": (0, 2**32 - 1), "Q": (0, 2**64 - 1), "q": (-(2**63), 2**63 - 1)}
MEMBER = Member("10.0.0.1:7660", 7)
BEAT = Heartbeat(MEMBER, 9, 3, 12, False, True, False, True, (PeerAge("10.0.0.2:7660", 250),))

for _module in pkgutil.walk_packages(millethead.__path__, "millethead."):
    if _module.name.rsplit(".", 1)[-1] in ("messages", "calls", "commands", "state"):
        importlib.import_module(_module.name)
TAGGED = sorted(codec._TYPES_BY_TAG.values(), key=lambda cls: cls.TAG)


def values(hint):
    """A strategy for the values of a field with this type annotation."""
    origin = typing.get_origin(hint)
    if origin is typing.Annotated:
        number_format = hint.__metadata__[0]
        return st.floats(allow_nan=False) if number_format == "d" else st.integers(*RANGES[number_format])
    if hint in (bool, str, bytes):
        return {
            bool: st.booleans(),
            str: st.text(st.characters(codec="utf-8"), max_size=12),
            bytes: st.binary(max_size=20),
        }[hint]
    if origin is tuple:
        return st.lists(values(typing.get_args(hint)[0]), max_size=3).map(tuple)
    if origin in (typing.Union, types.UnionType):
        return st.none() | values(next(part for part in typing.get_args(hint) if part is not type(None)))
    if issubclass(hint, IntEnum):
        return st.sampled_from(hint)
    return records(hint)


def records(cls):
    hints = typing.get_type_hints(cls, include_extras=True)
    return st.builds(cls, **{name: values(hints[name]) for name in cls.__dataclass_fields__})


ANY_RECORD = st.sampled_from(TAGGED).flatmap(records)


def damaged(records_strategy):
    """The encoding of a record with some bytes overwritten, removed or inserted."""
    return st.tuples(records_strategy, st.integers(0, 400), st.integers(0, 12), st.binary(max_size=12)).map(
        lambda drawn: encode_any(drawn[0])[: drawn[1]] + drawn[3] + encode_any(drawn[0])[drawn[1] + drawn[2] :]
    )


def test_records_of_all_packages_are_registered():
    assert {Heartbeat, PaxosMessage, ViewAnnouncement} <= set(TAGGED)
    assert len(TAGGED) > 30


@pytest.mark.parametrize("cls", TAGGED, ids=lambda cls: cls.__name__)
@settings(max_examples=max(5, EXAMPLES // 10), deadline=None)
@given(data=st.data())
def test_record_survives_a_round_trip(cls, data):
    record = data.draw(records(cls))
    assert decode_any(encode_any(record)) == record
    assert decode(cls, encode(record)) == record


@settings(max_examples=20 * EXAMPLES, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_to_a_record_or_raise(data):
    try:
        record = decode_any(data)
    except CodecError:
        return
    assert decode_any(encode_any(record)) == record or "nan" in repr(record)


@settings(max_examples=20 * EXAMPLES, deadline=None)
@given(damaged(ANY_RECORD))
def test_damaged_encodings_decode_to_a_record_or_raise(data):
    try:
        record = decode_any(data)
    except CodecError:
        return
    assert encode_any(record)[:2] == data[:2]


@settings(max_examples=10 * EXAMPLES, deadline=None)
@given(ANY_RECORD, st.data())
def test_truncated_or_extended_encoding_raises(record, data):
    encoded = encode_any(record)
    cut = data.draw(st.integers(0, len(encoded) - 1))
    with pytest.raises(CodecError):
        decode_any(encoded[:cut])
    with pytest.raises(CodecError):
        decode_any(encoded + b"\0")


@pytest.mark.parametrize("cls", TAGGED, ids=lambda cls: cls.__name__)
def test_decoding_allocates_memory_in_proportion_to_the_input(cls):
    """A length or count of 4 GiB must be rejected before memory is allocated for it."""
    data = struct.pack(">H", cls.TAG) + b"\xff" * 512
    tracemalloc.start()
    try:
        decode_any(data)
    except CodecError:
        pass
    finally:
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert peak < 16_384 + MAX_ALLOCATED_PER_INPUT_BYTE * len(data)


@pytest.mark.parametrize(
    "damage, message",
    [
        (lambda data: b"", "no tag"),
        (lambda data: b"\xff\xff" + data[2:], "unknown tag"),
        (lambda data: data + b"x", "1 bytes too many"),
        (lambda data: data.replace(b"10.0.0.1", b"10.0.\xff.1"), "utf-8"),
        (lambda data: data[:-1], "unpack"),
    ],
)
def test_error_message_names_the_problem(damage, message):
    with pytest.raises(CodecError, match=message):
        decode_any(damage(encode_any(BEAT)))


def test_invalid_boolean_and_enumeration_values_are_rejected():
    encoded = encode_any(PaxosMessage(PaxosKind.PREPARE, "v", 1, "o", 0, "", b""))
    with pytest.raises(CodecError, match="99 is not a valid PaxosKind"):
        decode_any(encoded[:2] + b"\x63" + encoded[3:])
    beat = encode_any(BEAT)
    with pytest.raises(CodecError, match="a flag is 0 or 1"):
        decode_any(beat.replace(struct.pack(">I", 12) + b"\0\1\0", struct.pack(">I", 12) + b"\2\1\0"))


@pytest.mark.parametrize(
    "record",
    [
        Member("x", -1),
        Member("x", 2**64),
        Member(None, 1),
        Member("\ud800", 1),
        PeerAge("x", 65_536),
        View(1, (Member("x", 1.5),), ()),
        View(1, None, ()),
        ViewAnnouncement(View(1, (), (ChainMember(None, 1, 1),))),
    ],
    ids=repr,
)
def test_value_that_does_not_fit_its_field_is_rejected(record):
    with pytest.raises(CodecError, match=type(record).__name__):
        encode(record)


def test_record_without_a_tag_cannot_be_encoded_with_one():
    with pytest.raises(CodecError, match="has no tag"):
        encode_any(MEMBER)


def test_tag_cannot_be_registered_twice():
    class Other(Record):
        """Another record."""

    with pytest.raises(ValueError, match="is taken by Heartbeat"):
        codec.tagged(Heartbeat.TAG)(Other)
