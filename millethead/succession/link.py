"""The link between a process and its successor: whole messages, with descriptors, over a Unix socket.

A message is a line of JSON and raw bytes after it. SOCK_SEQPACKET keeps messages apart, so that a descriptor belongs
to the message it came with (unix(7)).
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from array import array
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import structlog

log = structlog.get_logger()
MESSAGE = 160 << 10  # bytes of one message: less than the system's least send buffer
QUEUE = 4096  # messages that wait to be sent
Take = Callable[[dict[str, Any], bytes, int | None], None]


class Link:
    """One end. `take` gets each message, with the descriptor that came (it owns it); `lost` is called once, when
    the other process is gone."""

    def __init__(self, sock: socket.socket, take: Take, lost: Callable[[], None]) -> None:
        sock.setblocking(False)
        self.sock, self.take, self.lost = sock, take, lost
        self.open = True
        self._out: deque[tuple[bytes, int | None]] = deque()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read)

    def send(
        self, what: str, fields: dict[str, Any] | None = None, body: bytes = b"", handed: int | None = None
    ) -> bool:
        """Queue a message; `handed` is a descriptor that goes with it, and is closed here once it has. False if the
        link is gone or the message too large (the descriptor is then left to the caller)."""
        message = json.dumps({**(fields or {}), "what": what}).encode() + b"\n" + body
        if not self.open or len(message) > MESSAGE or len(self._out) >= QUEUE:
            return False
        self._out.append((message, handed))
        if len(self._out) == 1:
            self._write()
        return True

    @property
    def sent(self) -> bool:
        """Whether all that was queued has gone."""
        return not self._out

    def close(self) -> None:
        """End the link; `lost` is not called for that."""
        if self.open:
            self.open = False
            self._loop.remove_reader(self.sock.fileno())
            self._loop.remove_writer(self.sock.fileno())
            self.sock.close()
            for _, handed in self._out:
                if handed is not None:
                    os.close(handed)
            self._out.clear()

    def _break(self) -> None:
        if self.open:
            self.close()
            self.lost()

    def _write(self) -> None:
        while self._out and self.open:
            message, handed = self._out[0]
            rights = [] if handed is None else [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array("i", [handed]))]
            try:
                self.sock.sendmsg([message], rights)
            except BlockingIOError:
                self._loop.add_writer(self.sock.fileno(), self._write)
                return
            except OSError:
                self._break()
                return
            self._out.popleft()
            if handed is not None:
                os.close(handed)
        if self.open:
            self._loop.remove_writer(self.sock.fileno())

    def _read(self) -> None:
        for _ in range(16):  # then others have their turn
            try:
                data, rights, _, _ = self.sock.recvmsg(MESSAGE + 1, socket.CMSG_SPACE(8 * 4))
            except BlockingIOError:
                return
            except OSError:
                data, rights = b"", []
            handed = [
                fd
                for _, kind, raw in rights
                if kind == socket.SCM_RIGHTS
                for fd in array("i", raw[: len(raw) // 4 * 4])
            ]
            for extra in handed[1:]:
                os.close(extra)
            if not data:
                self._break()
                return
            head, _, body = data.partition(b"\n")
            try:
                fields = json.loads(head)
                if not isinstance(fields, dict):
                    raise ValueError("no object")
            except ValueError as error:
                log.warning("successor_bad_message", why=str(error))
                for fd in handed[:1]:
                    os.close(fd)
                self._break()
                return
            try:
                self.take(fields, body, handed[0] if handed else None)
            except Exception:
                log.exception("succession_broke", what=fields.get("what"))
            if not self.open:
                return


class Meeting:
    """The Unix socket's place in the folder that both processes share. Long folder names are no matter: the
    folder is reached by a descriptor."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder, self.name = folder, name
        self._sock: socket.socket | None = None

    def _at(self, folder: int, name: str) -> str:
        return f"/proc/self/fd/{folder}/{name}"

    def connect(self) -> socket.socket | None:
        """A connection to the process that listens there; None without one."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.settimeout(1.0)
            sock.connect(self._at(folder, self.name))
            return sock
        except OSError:
            sock.close()
            return None
        finally:
            os.close(folder)

    def listen(self, came: Callable[[socket.socket], None]) -> None:
        """Take the place over from whoever has it; raises OSError."""
        self.close()
        folder, new = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY), f"{self.name}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with suppress(FileNotFoundError):
                os.unlink(new, dir_fd=folder)
            sock.bind(self._at(folder, new))
            sock.listen(4)
            sock.setblocking(False)
            os.rename(new, self.name, src_dir_fd=folder, dst_dir_fd=folder)
        except OSError:
            sock.close()
            raise
        finally:
            os.close(folder)
        self._sock = sock

        def accept() -> None:
            with suppress(OSError):
                came(sock.accept()[0])

        asyncio.get_running_loop().add_reader(sock.fileno(), accept)

    def close(self) -> None:
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
