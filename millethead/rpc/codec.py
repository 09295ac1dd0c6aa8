"""Binary codec for frozen dataclasses. Fixed-size fields are packed with `struct`; strings, bytes and sequences have a
length prefix.

A record class derives from `Record` and annotates its fields with the types below. Its encoder and decoder are derived
from these annotations once and cached. Decoding arbitrary bytes returns a record or raises `CodecError`. It allocates
memory in proportion to the length of the input at most.
"""

from __future__ import annotations

import struct
import types
import typing
from collections.abc import Callable
from dataclasses import fields
from enum import IntEnum
from typing import Annotated, Any, ClassVar, TypeVar

U8 = Annotated[int, "B"]
U16 = Annotated[int, "H"]
U32 = Annotated[int, "I"]
U64 = Annotated[int, "Q"]
I64 = Annotated[int, "q"]
F64 = Annotated[float, "d"]

_LENGTH = struct.Struct(">I")
_TAG = struct.Struct(">H")

Writer = Callable[[list[bytes], Any], None]
Reader = Callable[[bytes, int], tuple[Any, int]]
R = TypeVar("R", bound="Record")


class CodecError(ValueError):
    """Raised for bytes that are not a valid encoding, and for a value that does not fit its field."""


class Record:
    """Base class of all records. `TAG` identifies the record type where several types may be received; 0 means that
    the type has no tag and is used only inside other records or with a known type."""

    TAG: ClassVar[int] = 0
    __slots__ = ()


_TYPES_BY_TAG: dict[int, type[Record]] = {}


def tagged(tag: int) -> Callable[[type[R]], type[R]]:
    """Class decorator: registers a record class under the tag by which `decode_any` finds it."""

    def register(cls: type[R]) -> type[R]:
        if tag in _TYPES_BY_TAG:
            raise ValueError(f"tag {tag} is taken by {_TYPES_BY_TAG[tag].__name__}")
        cls.TAG = tag
        _TYPES_BY_TAG[tag] = cls
        return cls

    return register


def encode(record: Record) -> bytes:
    """Encodes a record without its tag. Raises CodecError if a value does not fit its field."""
    parts: list[bytes] = []
    try:
        _codec(type(record))[0](parts, record)
    except (struct.error, TypeError, AttributeError, UnicodeEncodeError) as error:
        raise CodecError(f"{type(record).__name__}: {error}") from None
    return b"".join(parts)


def encode_any(record: Record) -> bytes:
    """Encodes a record behind its tag. Raises CodecError if its type has no tag or a value does not fit its field."""
    if not record.TAG:
        raise CodecError(f"{type(record).__name__} has no tag")
    return _TAG.pack(record.TAG) + encode(record)


def decode(cls: type[R], data: bytes) -> R:
    """Decodes a record of type `cls` that takes up all of `data`; raises CodecError."""
    value, end = _read(_codec(cls)[1], data, 0)
    if end != len(data):
        raise CodecError(f"{cls.__name__}: {len(data) - end} bytes too many")
    return typing.cast(R, value)


def decode_at(cls: type[R], data: bytes, at: int) -> tuple[R, int]:
    """Decodes a record of type `cls` at offset `at`. Returns it and the offset of its end; raises CodecError."""
    value, end = _read(_codec(cls)[1], data, at)
    return typing.cast(R, value), end


def decode_any(data: bytes) -> Record:
    """Decodes a tagged record of any registered type that takes up all of `data`; raises CodecError."""
    if len(data) < _TAG.size:
        raise CodecError("no tag")
    cls = _TYPES_BY_TAG.get(_TAG.unpack_from(data)[0])
    if cls is None:
        raise CodecError("unknown tag")
    value, end = _read(_codec(cls)[1], data, _TAG.size)
    if end != len(data):
        raise CodecError(f"{cls.__name__}: {len(data) - end} bytes too many")
    return typing.cast(Record, value)


def _read(reader: Reader, data: bytes, at: int) -> tuple[Any, int]:
    try:
        return reader(data, at)
    except CodecError:
        raise
    except (struct.error, UnicodeDecodeError, ValueError, IndexError) as error:
        raise CodecError(str(error)) from None


_CODECS: dict[type[Record], tuple[Writer, Reader]] = {}


def _codec(cls: type[Record]) -> tuple[Writer, Reader]:
    codec = _CODECS.get(cls)
    if codec is None:
        codec = _CODECS[cls] = _derive_codec(cls)
    return codec


def _derive_codec(cls: type[Record]) -> tuple[Writer, Reader]:
    hints = typing.get_type_hints(cls, include_extras=True)
    names = [field.name for field in fields(cls)]  # type: ignore[arg-type]
    codecs = [_field_codec(hints[name]) for name in names]
    writers = [(name, codec[0]) for name, codec in zip(names, codecs, strict=True)]
    readers = [codec[1] for codec in codecs]

    def write(parts: list[bytes], record: Any) -> None:
        for name, writer in writers:
            writer(parts, getattr(record, name))

    def read(data: bytes, at: int) -> tuple[Any, int]:
        values = []
        for reader in readers:
            value, at = reader(data, at)
            values.append(value)
        return cls(*values), at

    return write, read


def _field_codec(hint: Any) -> tuple[Writer, Reader]:
    """The writer and reader of a field with this type annotation."""
    origin = typing.get_origin(hint)
    if origin is Annotated:
        return _number(struct.Struct(">" + hint.__metadata__[0]))
    if hint is bool:
        return _boolean()
    if hint is str:
        return _text()
    if hint is bytes:
        return _bytes()
    if origin is tuple:
        return _sequence(*_field_codec(typing.get_args(hint)[0]))
    if origin in (typing.Union, types.UnionType):
        inner = next(part for part in typing.get_args(hint) if part is not type(None))
        return _optional(*_field_codec(inner))
    if isinstance(hint, type) and issubclass(hint, IntEnum):
        return _enumeration(hint)
    if isinstance(hint, type) and issubclass(hint, Record):
        return _codec(hint)
    raise TypeError(f"no codec for {hint!r}")


def _number(number_format: struct.Struct) -> tuple[Writer, Reader]:
    pack, unpack, size = number_format.pack, number_format.unpack_from, number_format.size

    def write(parts: list[bytes], value: Any) -> None:
        parts.append(pack(value))

    def read(data: bytes, at: int) -> tuple[Any, int]:
        return unpack(data, at)[0], at + size

    return write, read


def _boolean() -> tuple[Writer, Reader]:
    def write(parts: list[bytes], value: Any) -> None:
        parts.append(b"\1" if value else b"\0")

    def read(data: bytes, at: int) -> tuple[Any, int]:
        byte = data[at]
        if byte > 1:
            raise CodecError("a flag is 0 or 1")
        return byte == 1, at + 1

    return write, read


def _enumeration(enum_type: type[IntEnum]) -> tuple[Writer, Reader]:
    def write(parts: list[bytes], value: Any) -> None:
        parts.append(bytes((value,)))

    def read(data: bytes, at: int) -> tuple[Any, int]:
        return enum_type(data[at]), at + 1

    return write, read


def _bytes() -> tuple[Writer, Reader]:
    def write(parts: list[bytes], value: Any) -> None:
        parts.append(_LENGTH.pack(len(value)))
        parts.append(value)

    def read(data: bytes, at: int) -> tuple[Any, int]:
        start = at + _LENGTH.size
        end = start + _LENGTH.unpack_from(data, at)[0]
        if end > len(data):
            raise CodecError("a length goes past the end")
        return data[start:end], end

    return write, read


def _text() -> tuple[Writer, Reader]:
    write_bytes, read_bytes = _bytes()

    def write(parts: list[bytes], value: Any) -> None:
        write_bytes(parts, value.encode())

    def read(data: bytes, at: int) -> tuple[Any, int]:
        value, at = read_bytes(data, at)
        return value.decode(), at

    return write, read


def _sequence(write_item: Writer, read_item: Reader) -> tuple[Writer, Reader]:
    def write(parts: list[bytes], value: Any) -> None:
        parts.append(_LENGTH.pack(len(value)))
        for item in value:
            write_item(parts, item)

    def read(data: bytes, at: int) -> tuple[Any, int]:
        count = _LENGTH.unpack_from(data, at)[0]
        at += _LENGTH.size
        if count > len(data) - at:  # every item takes at least one byte
            raise CodecError("a count goes past the end")
        items = []
        for _ in range(count):
            item, at = read_item(data, at)
            items.append(item)
        return tuple(items), at

    return write, read


def _optional(write_value: Writer, read_value: Reader) -> tuple[Writer, Reader]:
    def write(parts: list[bytes], value: Any) -> None:
        parts.append(b"\0" if value is None else b"\1")
        if value is not None:
            write_value(parts, value)

    def read(data: bytes, at: int) -> tuple[Any, int]:
        if data[at] == 0:
            return None, at + 1
        return read_value(data, at + 1)

    return write, read
