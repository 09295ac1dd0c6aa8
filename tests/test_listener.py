"""A listener that is about to close: nobody is established only to be reset."""

from __future__ import annotations

import select
import socket

import pytest

from millethead.net.listener import drop_connection_requests

CLOSED_WITHIN_S = 5.0  # the system asks again after about 1 s


def listener() -> socket.socket:
    return socket.create_server(("127.0.0.1", 0), backlog=16)


def connecting(port: int) -> socket.socket:
    client = socket.socket()
    client.setblocking(False)
    client.connect_ex(("127.0.0.1", port))
    return client


def established(client: socket.socket) -> bool:
    """Loopback answers a connection request within the call that sends it."""
    return bool(select.select([], [client], [], 0.05)[1]) and not client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def test_whoever_stands_in_the_queue_is_served() -> None:
    with listener() as served, connecting(served.getsockname()[1]) as before:
        before.send(b"request")
        drop_connection_requests(served)
        taken, _ = served.accept()
        with taken:
            assert taken.recv(16) == b"request"


def test_nobody_is_established_between_the_last_look_at_the_queue_and_the_close() -> None:
    served = listener()
    drop_connection_requests(served)
    served.setblocking(False)
    with pytest.raises(BlockingIOError):
        served.accept()  # the queue is empty
    with connecting(served.getsockname()[1]) as late:  # the crossing, forced
        assert not established(late)
        served.close()
        assert select.select([], [late], [], CLOSED_WITHIN_S)[1]
        assert late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0  # refused, not reset in the middle of a request


def test_a_port_whose_owner_has_closed_it_is_taken_by_the_next_one() -> None:
    served = listener()
    port = served.getsockname()[1]
    drop_connection_requests(served)
    with connecting(port) as late:
        assert not established(late)
        served.close()
        with socket.create_server(("127.0.0.1", port)) as successor:
            successor.settimeout(CLOSED_WITHIN_S)
            taken, _ = successor.accept()
            taken.close()
