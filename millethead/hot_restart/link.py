"""The link between a process and its successor: messages with file descriptors over a Unix socket.

A message is a line of JSON followed by raw bytes. SOCK_SEQPACKET preserves message boundaries, so that a file
descriptor arrives with the message it was sent with (unix(7)).
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
MAX_MESSAGE_BYTES = 160 << 10  # below the smallest send buffer of the system
MAX_QUEUED_MESSAGES = 4096
MAX_READS = 16  # messages read before other event handlers run
MessageHandler = Callable[[dict[str, Any], bytes, int | None], None]


class Link:
    """One end of the link.

    `on_message` receives each message with the file descriptor sent with it, and owns that descriptor. `on_disconnect`
    is called once if the other process closes the link or the link fails.
    """

    def __init__(self, sock: socket.socket, on_message: MessageHandler, on_disconnect: Callable[[], None]) -> None:
        sock.setblocking(False)
        self.sock, self.on_message, self.on_disconnect = sock, on_message, on_disconnect
        self.open = True
        self._queue: deque[tuple[bytes, int | None]] = deque()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read)

    def send(
        self, kind: str, fields: dict[str, Any] | None = None, body: bytes = b"", descriptor: int | None = None
    ) -> bool:
        """Queues a message. `descriptor` is sent with it and closed here afterwards.

        Returns false if the link is closed, the queue is full or the message is too large. The caller then keeps the
        descriptor.
        """
        message = json.dumps({**(fields or {}), "what": kind}).encode() + b"\n" + body
        if not self.open or len(message) > MAX_MESSAGE_BYTES or len(self._queue) >= MAX_QUEUED_MESSAGES:
            return False
        self._queue.append((message, descriptor))
        if len(self._queue) == 1:
            self._write()
        return True

    @property
    def all_sent(self) -> bool:
        """Whether all queued messages were sent."""
        return not self._queue

    def close(self) -> None:
        """Closes the link without calling `on_disconnect`."""
        if self.open:
            self.open = False
            self._loop.remove_reader(self.sock.fileno())
            self._loop.remove_writer(self.sock.fileno())
            self.sock.close()
            for _, descriptor in self._queue:
                if descriptor is not None:
                    os.close(descriptor)
            self._queue.clear()

    def _disconnect(self) -> None:
        if self.open:
            self.close()
            self.on_disconnect()

    def _write(self) -> None:
        while self._queue and self.open:
            message, descriptor = self._queue[0]
            rights = [] if descriptor is None else [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array("i", [descriptor]))]
            try:
                self.sock.sendmsg([message], rights)
            except BlockingIOError:
                self._loop.add_writer(self.sock.fileno(), self._write)
                return
            except OSError:
                self._disconnect()
                return
            self._queue.popleft()
            if descriptor is not None:
                os.close(descriptor)
        if self.open:
            self._loop.remove_writer(self.sock.fileno())

    def _read(self) -> None:
        for _ in range(MAX_READS):
            try:
                data, rights, _, _ = self.sock.recvmsg(MAX_MESSAGE_BYTES + 1, socket.CMSG_SPACE(8 * 4))
            except BlockingIOError:
                return
            except OSError:
                data, rights = b"", []
            descriptors = [
                descriptor
                for _, right, raw in rights
                if right == socket.SCM_RIGHTS
                for descriptor in array("i", raw[: len(raw) // 4 * 4])
            ]
            for extra in descriptors[1:]:
                os.close(extra)
            if not data:
                self._disconnect()
                return
            header, _, body = data.partition(b"\n")
            try:
                fields = json.loads(header)
                if not isinstance(fields, dict):
                    raise ValueError("message header is not a JSON object")
            except ValueError as error:
                log.warning("successor_bad_message", why=str(error))
                for descriptor in descriptors[:1]:
                    os.close(descriptor)
                self._disconnect()
                return
            try:
                self.on_message(fields, body, descriptors[0] if descriptors else None)
            except Exception:
                log.exception("succession_broke", what=fields.get("what"))
            if not self.open:
                return


class HandoverSocket:
    """The Unix socket at which a process waits for its successor, in a folder that both share.

    The folder is addressed through a file descriptor, so that its path may be longer than a socket address.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.folder, self.name = folder, name
        self._sock: socket.socket | None = None

    def _socket_path(self, folder: int, name: str) -> str:
        return f"/proc/self/fd/{folder}/{name}"

    def connect(self) -> socket.socket | None:
        """Connects to the process that listens at the socket. Returns None if there is none."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.settimeout(1.0)
            sock.connect(self._socket_path(folder, self.name))
            return sock
        except OSError:
            sock.close()
            return None
        finally:
            os.close(folder)

    def listen(self, on_connection: Callable[[socket.socket], None]) -> None:
        """Listens at the socket, in place of any process that listens there. Raises OSError."""
        self.close()
        folder, temporary = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY), f"{self.name}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with suppress(FileNotFoundError):
                os.unlink(temporary, dir_fd=folder)
            sock.bind(self._socket_path(folder, temporary))
            sock.listen(4)
            sock.setblocking(False)
            os.rename(temporary, self.name, src_dir_fd=folder, dst_dir_fd=folder)
        except OSError:
            sock.close()
            raise
        finally:
            os.close(folder)
        self._sock = sock

        def accept() -> None:
            with suppress(OSError):
                on_connection(sock.accept()[0])

        asyncio.get_running_loop().add_reader(sock.fileno(), accept)

    def close(self) -> None:
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
