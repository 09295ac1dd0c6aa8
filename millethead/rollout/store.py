"""Durable storage of an acceptor's state."""

from __future__ import annotations

import os
import zlib
from pathlib import Path

import msgspec

from millethead.errors import ConfigError
from millethead.files import safe_file_name, write_atomically
from millethead.rollout.register import AcceptorState

MAGIC = b"MHR1"
STATE_COPY_BYTES = 16_384  # size of one of the two copies
_encode, _decoder = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(AcceptorState)


def write_durably(path: Path, data: bytes) -> None:
    """Writes a file atomically and syncs its directory entry. Raises OSError."""
    write_atomically(path, data)
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)  # without this, the new name may be lost in a power failure
    finally:
        os.close(directory)


class StoreDamaged(ConfigError):
    """Raised if the file exists but its content is unreadable."""


class AcceptorStore:
    """The file of one voter: two copies that are written alternately, each with a magic number (which includes the
    version), a checksum, an increasing number and the state. An interrupted write leaves the other copy intact, and its
    request was never answered.

    The file is not replaced by a new one at each write: with the sync of the directory this takes 70 ms, against less
    than 1 ms here. A change needs four writes, and the operator waits for one second at most.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.path = folder / f"{safe_file_name(name)}.agreed"
        self._number = 0

    def load(self) -> AcceptorState:
        """Returns the stored state, or creates the file. Raises ConfigError if the file exists and cannot be used: a
        voter that forgets its promises could break an agreement, so it must not start without them."""
        try:
            raw = self.path.read_bytes()
        except FileNotFoundError:
            try:
                write_durably(self.path, encode_copy(0, AcceptorState()) * 2)
            except OSError as error:
                raise ConfigError(f"rollout.folder: {error}") from None
            return AcceptorState()
        except OSError as error:
            raise ConfigError(f"rollout.folder: {error}") from None
        found = [
            read for at in (0, STATE_COPY_BYTES) if (read := decode_copy(raw[at : at + STATE_COPY_BYTES])) is not None
        ]
        if not found:
            raise StoreDamaged(
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

    def save(self, state: AcceptorState) -> None:
        """Stores the state durably. Raises OSError, and then the previous state stays in force."""
        copy, number = encode_copy(self._number + 1, state), self._number + 1
        file = os.open(self.path, os.O_WRONLY)
        try:
            os.pwrite(file, copy, STATE_COPY_BYTES * (number % 2))
            os.fdatasync(file)
        finally:
            os.close(file)
        self._number = number


def encode_copy(number: int, state: AcceptorState) -> bytes:
    """Encodes one copy: number and state. Raises OSError if the state is too large."""
    body = number.to_bytes(8, "big") + _encode(state)
    body = len(body).to_bytes(4, "big") + body
    if len(body) > STATE_COPY_BYTES - 8:
        raise OSError(f"a state of {len(body)} bytes has no room")
    return (MAGIC + zlib.crc32(body).to_bytes(4, "big") + body).ljust(STATE_COPY_BYTES, b"\0")


def decode_copy(copy: bytes) -> tuple[int, AcceptorState] | None:
    """Decodes a copy into its number and state. Returns None if it is torn or corrupt."""
    body = copy[8 : 12 + int.from_bytes(copy[8:12], "big")]
    if copy[:4] != MAGIC or zlib.crc32(body) != int.from_bytes(copy[4:8], "big"):
        return None
    try:
        return int.from_bytes(body[4:12], "big"), _decoder.decode(body[12:])
    except msgspec.MsgspecError:
        return None
