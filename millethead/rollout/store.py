"""What an acceptor must never forget, in a file that is written whole or not at all."""

from __future__ import annotations

import os
import zlib
from pathlib import Path

import msgspec

from millethead.errors import ConfigError
from millethead.files import safe_file_name, write_atomically
from millethead.rollout.register import Kept

MAGIC = b"MHR1"
PLACE = 16_384  # bytes of one of the two
_encode, _decoder = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Kept)


def write_lasting(path: Path, data: bytes) -> None:
    """Write a file whole, its name on disk too; raises OSError."""
    write_atomically(path, data)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # else the new name may be lost with the power
    finally:
        os.close(folder)


class DamagedStore(ConfigError):
    """The file is there, and what it held cannot be known."""


class Store:
    """The file of one voter: two places that are written in turn, each with a mark (and version), a checksum, a number
    that rises, and the state. A write that is cut short leaves the other place, and was never answered.

    Not taken: a new file put in the old one's place at each write. With the folder synced it takes 70 ms where this
    takes less than one, four times in a change, and the staff wait a second at most.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.path = folder / f"{safe_file_name(name)}.agreed"
        self._number = 0

    def load(self) -> Kept:
        """Raises ConfigError where the file is there and cannot be used: a voter that forgets what it has promised
        could break what the fleet agreed on, so that it does not start without."""
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
        """Make durable what was read: a process that was killed may have left it unsynced."""
        file = os.open(self.path, os.O_WRONLY)
        try:
            os.fdatasync(file)
        finally:
            os.close(file)

    def save(self, kept: Kept) -> None:
        """Have it on disk when this returns; raises OSError, and then what was there still counts."""
        place, number = encode_place(self._number + 1, kept), self._number + 1
        file = os.open(self.path, os.O_WRONLY)
        try:
            os.pwrite(file, place, PLACE * (number % 2))
            os.fdatasync(file)
        finally:
            os.close(file)
        self._number = number


def encode_place(number: int, kept: Kept) -> bytes:
    """The bytes of a place that holds a state under its number; raises OSError where it has no room."""
    body = number.to_bytes(8, "big") + _encode(kept)
    body = len(body).to_bytes(4, "big") + body
    if len(body) > PLACE - 8:
        raise OSError(f"a state of {len(body)} bytes has no room")
    return (MAGIC + zlib.crc32(body).to_bytes(4, "big") + body).ljust(PLACE, b"\0")


def decode_place(place: bytes) -> tuple[int, Kept] | None:
    """Number and state of a place; None where it is torn or bad."""
    body = place[8 : 12 + int.from_bytes(place[8:12], "big")]
    if place[:4] != MAGIC or zlib.crc32(body) != int.from_bytes(place[4:8], "big"):
        return None
    try:
        return int.from_bytes(body[4:12], "big"), _decoder.decode(body[12:])
    except msgspec.MsgspecError:
        return None
