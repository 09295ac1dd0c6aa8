"""Durable storage of an acceptor's state."""

from __future__ import annotations

import os
import zlib
from pathlib import Path

import msgspec

from millethead.errors import ConfigError
from millethead.files import plain_name, write_whole
from millethead.rollout.register import Kept

MAGIC = b"MHR1"
PLACE = 16_384  # size of one of the two copies
_encode, _decoder = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Kept)


def write_lasting(path: Path, data: bytes) -> None:
    """Writes a file atomically and syncs its directory entry. Raises OSError."""
    write_whole(path, data)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # without this, the new name may be lost in a power failure
    finally:
        os.close(folder)


class DamagedStore(ConfigError):
    """Raised if the file exists but its content is unreadable."""


class Store:
    """The file of one voter: two copies that are written alternately, each with a magic number (which includes the
    version), a checksum, an increasing number and the state. An interrupted write leaves the other copy intact, and its
    request was never answered.

    The file is not replaced by a new one at each write: with the sync of the directory this takes 70 ms, against less
    than 1 ms here. A change needs four writes, and the operator waits for one second at most.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.path = folder / f"{plain_name(name)}.agreed"
        self._number = 0

    def load(self) -> Kept:
        """Returns the stored state, or creates the file. Raises ConfigError if the file exists and cannot be used: a
        voter that forgets its promises could break an agreement, so it must not start without them."""
        try:
            raw = self.path.read_bytes()
        except FileNotFoundError:
            try:
                write_lasting(self.path, encode_place(0, Kept()) * 2)
            except OSError as error:
                raise ConfigError(f"rollout.folder: {error}") from None
            return Kept()
        except OSError as error:
            raise ConfigError(f"rollout.folder: {error}") from None
        found = [read for at in (0, PLACE) if (read := decode_place(raw[at : at + PLACE])) is not None]
        if not found:
            raise DamagedStore(
                f"{self.path}: what this voter had promised cannot be read (torn, or of another "
                "version); bring the file back, or vote this one out, delete it, start, and add it "
                "again"
            )
        self._number, newest = max(found, key=lambda x: x[0])
        try:
            self._sync()
        except OSError as error:
            raise ConfigError(f"rollout.folder: {error}") from None
        return newest

    def _sync(self) -> None:
        """Syncs what was read. A killed process may have left it unsynced."""
        file = os.open(self.path, os.O_WRONLY)
        try:
            os.fdatasync(file)
        finally:
            os.close(file)

    def save(self, kept: Kept) -> None:
        """Stores the state durably. Raises OSError, and then the previous state stays in force."""
        place, number = encode_place(self._number + 1, kept), self._number + 1
        file = os.open(self.path, os.O_WRONLY)
        try:
            os.pwrite(file, place, PLACE * (number % 2))
            os.fdatasync(file)
        finally:
            os.close(file)
        self._number = number


def encode_place(number: int, kept: Kept) -> bytes:
    """Encodes one copy: number and state. Raises OSError if the state is too large."""
    body = number.to_bytes(8, "big") + _encode(kept)
    body = len(body).to_bytes(4, "big") + body
    if len(body) > PLACE - 8:
        raise OSError(f"a state of {len(body)} bytes has no room")
    return (MAGIC + zlib.crc32(body).to_bytes(4, "big") + body).ljust(PLACE, b"\0")


def decode_place(place: bytes) -> tuple[int, Kept] | None:
    """Decodes a copy into its number and state. Returns None if it is torn or corrupt."""
    body = place[8 : 12 + int.from_bytes(place[8:12], "big")]
    if place[:4] != MAGIC or zlib.crc32(body) != int.from_bytes(place[4:8], "big"):
        return None
    try:
        return int.from_bytes(body[4:12], "big"), _decoder.decode(body[12:])
    except msgspec.MsgspecError:
        return None
