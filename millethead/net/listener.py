"""Closing a listener without resetting whoever connects at that moment.

The system resets what stands in the queue of a listener that is closed. Taking the queue empty first leaves a moment,
between the last look and the close, in which a connection can be established and is then reset: a client that has sent
its request sees it lost. So connection requests are dropped before the queue is emptied. Whoever is dropped asks again
after a second, and finds the port closed or its next owner.
"""

from __future__ import annotations

import socket
import struct
from array import array
from contextlib import suppress

SO_ATTACH_FILTER = 26  # Linux, asm-generic/socket.h; not named by the standard library
FLAGS_OFFSET, SYN = 13, 0x02  # of a TCP header, where the filter of a TCP socket begins to read
LOAD_BYTE, JUMP_IF_SET, RETURN = 0x30, 0x45, 0x06  # opcodes of classic BPF
WHOLE_PACKET = 0x40000

# (opcode, instructions skipped if true, if false, operand)
DROP_CONNECTION_REQUESTS = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (JUMP_IF_SET, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_PACKET),
)


def drop_connection_requests(listener: socket.socket) -> None:
    """From now on no further connection is established; those in the queue stay. Where the system has no such filter,
    nothing happens."""
    code = array("B", b"".join(struct.pack("HBBI", *instruction) for instruction in DROP_CONNECTION_REQUESTS))
    program = struct.pack("HP", len(DROP_CONNECTION_REQUESTS), code.buffer_info()[0])
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
