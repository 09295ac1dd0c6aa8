"""Closing a listener: no connection is established that is then reset."""

from __future__ import annotations

import select
import socket

import pytest

from millethead.net.listener import drop_connection_requests

CLOSED_WITHIN_S = 5.0  # the system repeats a connection request after about 1 s


def listener() -> socket.socket:
    return socket.create_server(("127.0.0.1", 0), backlog=16)


def connecting(port: int) -> socket.socket:
    client = socket.socket()
    client.setblocking(False)
    client.connect_ex(("127.0.0.1", port))
    return client


def established(client: socket.socket) -> bool:
    """Returns whether the connection is established. On loopback the handshake completes within `connect`."""
    return bool(select.select([], [client], [], 0.05)[1]) and not client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def test_queued_connection_is_served() -> None:
    with listener() as served, connecting(served.getsockname()[1]) as queued:
        queued.send(b"request")
        drop_connection_requests(served)
        accepted, _ = served.accept()
        with accepted:
            assert accepted.recv(16) == b"request"


def test_no_connection_is_established_between_the_last_accept_and_the_close() -> None:
    served = listener()
    drop_connection_requests(served)
    served.setblocking(False)
    with pytest.raises(BlockingIOError):
        served.accept()  # the queue is empty
    with connecting(served.getsockname()[1]) as late:
        assert not established(late)
        served.close()
        assert select.select([], [late], [], CLOSED_WITHIN_S)[1]
        assert late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0  # refused, not reset in the middle of a request


def test_pending_client_connects_to_the_next_owner_of_the_port() -> None:
    served = listener()
    port = served.getsockname()[1]
    drop_connection_requests(served)
    with connecting(port) as late:
        assert not established(late)
        served.close()
        with socket.create_server(("127.0.0.1", port)) as successor:
            successor.settimeout(CLOSED_WITHIN_S)
            accepted, _ = successor.accept()
            accepted.close()
