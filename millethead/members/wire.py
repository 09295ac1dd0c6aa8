"""Encoding of the members' datagrams: a version prefix, an HMAC-SHA256 under the fleet's key over the fleet's name and
the body, and a MessagePack body (msgspec). The module does no input or output."""

from __future__ import annotations

import hashlib
import hmac
from typing import Generic, TypeVar

import msgspec

from millethead.members.messages import Message, Update
from millethead.members.setup import LEAST_KEY

VERSION = b"MH1"
MOST = 1400  # below the usual path MTU, so that datagrams are not fragmented
_DIGEST = 32
_encoder = msgspec.msgpack.Encoder()
T = TypeVar("T")


CAUSES = ("torn", "large", "version", "key")


class Dropped(Exception):
    """Raised for a datagram that is not used. The text is the cause: torn, large, version or key."""


class Seal(Generic[T]):
    """Authenticates, encodes and decodes the datagrams of one fleet and message type. `prefix` is two letters and the
    version; `max_bytes` is the largest datagram."""

    def __init__(self, key: bytes, fleet: str, kind: type[T], mark: bytes, most: int) -> None:
        if len(key) < LEAST_KEY:
            raise ValueError(f"a fleet key of at least {LEAST_KEY} bytes is wanted")
        self._key, self._fleet, self.mark, self.most = key, mark + fleet.encode(), mark, most
        self._decoder = msgspec.msgpack.Decoder(kind)

    def seal(self, message: T) -> bytes:
        """Returns the encoded datagram. Raises DatagramDropped('large') if it exceeds the limit; the caller then sends
        fewer updates per datagram."""
        body = _encoder.encode(message)
        data = self.mark + hmac.new(self._key, self._fleet + body, hashlib.sha256).digest() + body
        if len(data) > self.most:
            raise Dropped("large")
        return data

    def open(self, data: bytes) -> T:
        """Returns the decoded message. Raises DatagramDropped with the cause."""
        if len(data) > self.most:
            raise Dropped("large")
        if len(data) < len(self.mark) + _DIGEST or data[:2] != self.mark[:2]:
            raise Dropped("torn")
        if data[: len(self.mark)] != self.mark:
            raise Dropped("version")
        mac, body = data[len(self.mark) : len(self.mark) + _DIGEST], data[len(self.mark) + _DIGEST :]
        if not hmac.compare_digest(mac, hmac.new(self._key, self._fleet + body, hashlib.sha256).digest()):
            raise Dropped("key")
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            raise Dropped("torn") from None


class Wire(Seal[Message]):
    """Codec of the membership datagrams."""

    def __init__(self, key: bytes, fleet: str) -> None:
        super().__init__(key, fleet, Message, VERSION, MOST)

    @staticmethod
    def part(message: Message, updates: tuple[Update, ...], last: bool) -> Message:
        """Returns the message with some of its updates. Only the last part of a full state may request an answer. The
        other parts are sent as plain sync messages."""
        if last:
            return msgspec.structs.replace(message, updates=updates)
        return msgspec.structs.replace(message, kind="sync", seq=1, updates=updates)
