"""Closes a listener without resetting clients that connect at the same time.

When a listener is closed, the system resets the connections in its accept queue. Emptying the queue first is not
enough: a connection that is established between the last accept and the close is still reset, and the client loses its
request. Therefore a socket filter drops connection requests (SYN) before the queue is emptied. The client's system
repeats the request after a second, and finds the port closed or the next owner listening.
"""

from __future__ import annotations

import socket
import struct
from array import array
from contextlib import suppress

SO_ATTACH_FILTER = 26  # Linux, asm-generic/socket.h; not named by the standard library
FLAGS_OFFSET, SYN = 13, 0x02  # in the TCP header, at which the filter of a TCP socket starts
LOAD_BYTE, JUMP_IF_SET, RETURN = 0x30, 0x45, 0x06  # opcodes of classic BPF
WHOLE_PACKET = 0x40000

# Each instruction: opcode, instructions skipped if true, instructions skipped if false, operand.
DROP_CONNECTION_REQUESTS = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (JUMP_IF_SET, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_PACKET),
)


def drop_connection_requests(listener: socket.socket) -> None:
    """Drops further connection requests of `listener`. Connections in its accept queue stay. Has no effect where the
    system does not support socket filters."""
    code = array("B", b"".join(struct.pack("HBBI", *instruction) for instruction in DROP_CONNECTION_REQUESTS))
    program = struct.pack("HP", len(DROP_CONNECTION_REQUESTS), code.buffer_info()[0])
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
