"""Encoding of the members' datagrams: a version prefix, an HMAC-SHA256 under the fleet's key over the fleet's name and
the body, and a MessagePack body (msgspec). The module does no input or output."""

from __future__ import annotations

import hashlib
import hmac
from typing import Generic, TypeVar

import msgspec

from millethead.members.messages import Message, Update
from millethead.members.setup import MIN_KEY_BYTES

PREFIX = b"MH1"
MAX_DATAGRAM_BYTES = 1400  # below the usual path MTU, so that datagrams are not fragmented
_DIGEST_BYTES = 32
_encoder = msgspec.msgpack.Encoder()
T = TypeVar("T")


DROP_CAUSES = ("torn", "large", "version", "key")


class DatagramDropped(Exception):
    """Raised for a datagram that is not used. The text is the cause: torn, large, version or key."""


class DatagramCodec(Generic[T]):
    """Authenticates, encodes and decodes the datagrams of one fleet and message type. `prefix` is two letters and the
    version; `max_bytes` is the largest datagram."""

    def __init__(self, key: bytes, fleet: str, message_type: type[T], prefix: bytes, max_bytes: int) -> None:
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"a fleet key of at least {MIN_KEY_BYTES} bytes is wanted")
        self._key, self._authenticated_prefix = key, prefix + fleet.encode()
        self.prefix, self.max_bytes = prefix, max_bytes
        self._decoder = msgspec.msgpack.Decoder(message_type)

    def encode(self, message: T) -> bytes:
        """Returns the encoded datagram. Raises DatagramDropped('large') if it exceeds the limit; the caller then sends
        fewer updates per datagram."""
        body = _encoder.encode(message)
        data = self.prefix + hmac.new(self._key, self._authenticated_prefix + body, hashlib.sha256).digest() + body
        if len(data) > self.max_bytes:
            raise DatagramDropped("large")
        return data

    def decode(self, data: bytes) -> T:
        """Returns the decoded message. Raises DatagramDropped with the cause."""
        if len(data) > self.max_bytes:
            raise DatagramDropped("large")
        if len(data) < len(self.prefix) + _DIGEST_BYTES or data[:2] != self.prefix[:2]:
            raise DatagramDropped("torn")
        if data[: len(self.prefix)] != self.prefix:
            raise DatagramDropped("version")
        mac, body = data[len(self.prefix) : len(self.prefix) + _DIGEST_BYTES], data[len(self.prefix) + _DIGEST_BYTES :]
        if not hmac.compare_digest(
            mac, hmac.new(self._key, self._authenticated_prefix + body, hashlib.sha256).digest()
        ):
            raise DatagramDropped("key")
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            raise DatagramDropped("torn") from None


class MemberCodec(DatagramCodec[Message]):
    """Codec of the membership datagrams."""

    def __init__(self, key: bytes, fleet: str) -> None:
        super().__init__(key, fleet, Message, PREFIX, MAX_DATAGRAM_BYTES)

    @staticmethod
    def with_updates(message: Message, updates: tuple[Update, ...], last: bool) -> Message:
        """Returns the message with some of its updates. Only the last part of a full state may request an answer. The
        other parts are sent as plain sync messages."""
        if last:
            return msgspec.structs.replace(message, updates=updates)
        return msgspec.structs.replace(message, kind="sync", seq=1, updates=updates)
