"""Tests of the client of a worker against a fake worker on loopback."""

from __future__ import annotations

import queue
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest

from millethead.execution import connection_pool
from millethead.execution.client import CallKind, CallOutcome, CallResult, WorkerClient
from millethead.execution.worker_connection import Call, WorkerConnection

TEST_TIMEOUT_S = 10.0  # a test that waits longer fails
SHORT_TIMEOUT_S = 0.1  # of calls that are expected to time out
UNLIMITED_S = 60.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


@dataclass
class Exchange:
    """A request that the fake worker has read, and the connection for the response."""

    sock: socket.socket
    head: bytes
    body: bytes

    def reply(self, data: bytes) -> None:
        self.sock.sendall(data)

    def close(self) -> None:
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.shutdown(socket.SHUT_RD)  # a pending read of the fake worker would delay the close
        self.sock.close()


@dataclass
class FakeWorker:
    """A worker that passes each request to the test and responds by itself while `auto_reply` is set."""

    auto_reply: bytes | None = OK
    connections: int = 0
    requests: queue.Queue[Exchange] = field(default_factory=queue.Queue)
    listener: socket.socket = field(default_factory=lambda: socket.create_server(("127.0.0.1", 0)))

    def __post_init__(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def next_request(self) -> Exchange:
        return self.requests.get(timeout=TEST_TIMEOUT_S)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        received = b""
        try:
            while (exchange := self._read(sock, received)) is not None:
                self.requests.put(exchange)
                if self.auto_reply is not None:
                    exchange.reply(self.auto_reply)
        except OSError:
            pass
        finally:
            sock.close()

    def _read(self, sock: socket.socket, received: bytes) -> Exchange | None:
        while b"\r\n\r\n" not in received:
            if not (part := sock.recv(65536)):
                return None
            received += part
        head, _, body = received.partition(b"\r\n\r\n")
        length = next((int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length")), 0)
        while len(body) < length:
            body += sock.recv(65536)
        return Exchange(sock, head, body)


class ClientHarness:
    """A client whose results are posted to a queue in place of an event loop."""

    def __init__(self, address: str, threads: int = 4) -> None:
        self.posted: queue.Queue[Callable[[], None]] = queue.Queue()
        self.worker_client = WorkerClient(address, self.posted.put, threads)
        self.results: list[tuple[str, CallResult]] = []

    def call(self, path: str = "/-/run-start", timeout_s: float = UNLIMITED_S, kind: CallKind = CallKind.ORDER) -> None:
        self.worker_client.call(
            "POST",
            path,
            b"{}",
            {"Content-Type": "application/json"},
            timeout_s,
            lambda result: self.results.append((path, result)),
            kind,
        )

    def next_result(self) -> tuple[str, CallResult]:
        """Wait for the next result; return it with the path of its call."""
        self.posted.get(timeout=TEST_TIMEOUT_S)()
        return self.results[-1]

    def call_and_wait(
        self, path: str = "/-/run-start", timeout_s: float = UNLIMITED_S, kind: CallKind = CallKind.ORDER
    ) -> CallResult:
        self.call(path, timeout_s, kind)
        return self.next_result()[1]


@pytest.fixture
def worker() -> Iterator[FakeWorker]:
    fake_worker = FakeWorker()
    yield fake_worker
    fake_worker.listener.close()


@pytest.fixture
def client(worker: FakeWorker) -> Iterator[ClientHarness]:
    client = ClientHarness(worker.address)
    yield client
    client.worker_client.close()


@pytest.fixture
def one_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the opening of another connection for calls that wait, however slow the machine is."""
    monkeypatch.setattr(connection_pool, "MAX_QUEUE_DELAY_S", UNLIMITED_S)


def test_request_is_sent_unchanged_and_its_answer_returned(worker: FakeWorker, client: ClientHarness) -> None:
    result = client.call_and_wait("/-/run-stop")
    assert (result.outcome, result.status, result.body) == (CallOutcome.ANSWERED, 200, b"hi")
    assert result.sent_at <= result.ended_at
    request = worker.next_request()
    assert request.head.split(b"\r\n") == [
        b"POST /-/run-stop HTTP/1.1",
        b"Host: " + worker.address.encode(),
        b"Content-Length: 2",
        b"Content-Type: application/json",
    ]
    assert request.body == b"{}"


@pytest.mark.parametrize(
    ("answer", "status", "body"),
    [
        (b"HTTP/1.1 409 Conflict\r\nContent-Length: 1\r\n\r\nx", 409, b"x"),
        (b"HTTP/1.1 503 Later\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n", 503, b""),
        (b"HTTP/1.1 307 There\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", 307, b""),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", 200, b"abc"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 300000, 200, b"x" * 300000),
    ],
)
def test_any_answer_is_final_and_the_connection_is_kept(
    worker: FakeWorker, client: ClientHarness, one_connection: None, answer: bytes, status: int, body: bytes
) -> None:
    worker.auto_reply = answer
    for _ in range(2):
        result = client.call_and_wait()
        assert (result.outcome, result.status, result.body) == (CallOutcome.ANSWERED, status, body)
    assert worker.connections == 1 and worker.requests.qsize() == 2


def test_consecutive_calls_share_a_connection(worker: FakeWorker, client: ClientHarness, one_connection: None) -> None:
    for number in range(20):
        client.call(f"/{number}")
    assert [client.next_result()[0] for _ in range(20)] == [f"/{number}" for number in range(20)]
    assert worker.connections == 1


def test_closed_port_means_that_nothing_was_sent(worker: FakeWorker, client: ClientHarness) -> None:
    worker.listener.shutdown(socket.SHUT_RDWR)
    worker.listener.close()
    assert client.call_and_wait().outcome is CallOutcome.REFUSED_CONNECTION
    assert client.call_and_wait().outcome is CallOutcome.REFUSED_CONNECTION


def test_call_that_expires_in_the_queue_is_not_sent(worker: FakeWorker, client: ClientHarness) -> None:
    client.call_and_wait()
    worker.next_request()
    assert client.call_and_wait(timeout_s=0.0).outcome is CallOutcome.REFUSED_CONNECTION
    assert client.call_and_wait().outcome is CallOutcome.ANSWERED
    assert worker.connections == 1 and worker.requests.qsize() == 1


def test_call_without_an_answer_times_out(worker: FakeWorker, client: ClientHarness) -> None:
    worker.auto_reply = None
    result = client.call_and_wait(timeout_s=SHORT_TIMEOUT_S)
    assert result.outcome is CallOutcome.NO_ANSWER and result.ended_at > result.sent_at
    worker.auto_reply = OK
    assert client.call_and_wait().outcome is CallOutcome.ANSWERED and worker.connections == 2


@pytest.mark.parametrize("answer", [b"junk\r\n\r\n", b"HTTP/1.1 x\r\n\r\n"])
def test_malformed_answer_counts_as_no_answer(worker: FakeWorker, client: ClientHarness, answer: bytes) -> None:
    worker.auto_reply = answer
    assert client.call_and_wait().outcome is CallOutcome.NO_ANSWER


@pytest.mark.parametrize(
    "part", [b"", b"HTTP/1.1 200 OK\r\n", OK[:-1], b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"]
)
@pytest.mark.parametrize("disconnect", [Exchange.close, Exchange.reset])
def test_connection_closed_after_the_request_is_no_answer_and_no_retry(
    worker: FakeWorker, client: ClientHarness, part: bytes, disconnect: Callable[[Exchange], None]
) -> None:
    client.call_and_wait()
    worker.next_request()
    worker.auto_reply = None
    client.call()
    request = worker.next_request()
    request.reply(part)
    disconnect(request)
    assert client.next_result()[1].outcome is CallOutcome.NO_ANSWER
    assert worker.connections == 1 and worker.requests.empty()


def test_incomplete_answer_times_out(worker: FakeWorker, client: ClientHarness) -> None:
    worker.auto_reply = OK[:-1]
    assert client.call_and_wait(timeout_s=SHORT_TIMEOUT_S).outcome is CallOutcome.NO_ANSWER


def test_connection_that_the_worker_closed_while_idle_is_replaced(worker: FakeWorker, client: ClientHarness) -> None:
    client.call_and_wait()
    worker.next_request().close()
    assert client.call_and_wait().outcome is CallOutcome.ANSWERED and worker.connections == 2


def test_connection_is_closed_after_connection_close(worker: FakeWorker, client: ClientHarness) -> None:
    worker.auto_reply = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    assert [client.call_and_wait().body for _ in range(2)] == [b"hi"] * 2
    assert worker.connections == 2


def test_call_queued_behind_a_slow_one_opens_a_connection(worker: FakeWorker, client: ClientHarness) -> None:
    worker.auto_reply = None
    client.call("/slow")
    slow = worker.next_request()
    client.call("/next")
    worker.next_request().reply(OK)
    assert client.next_result()[0] == "/next"
    slow.reply(OK)
    assert client.next_result()[0] == "/slow" and worker.connections == 2


def test_number_of_connections_is_limited(worker: FakeWorker, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "MAX_QUEUE_DELAY_S", 0.0)
    client = ClientHarness(worker.address, threads=2)
    worker.auto_reply = None
    for number in range(4):
        client.call(f"/{number}")
    first_requests = [worker.next_request(), worker.next_request()]
    worker.auto_reply = OK
    for request in first_requests:
        request.reply(OK)
    assert sorted(client.next_result()[0] for _ in range(4)) == ["/0", "/1", "/2", "/3"]
    assert worker.connections == 2
    client.worker_client.close()


def test_poll_does_not_delay_orders(worker: FakeWorker, client: ClientHarness, one_connection: None) -> None:
    worker.auto_reply = None
    client.call("/-/hold", kind=CallKind.POLL)
    poll = worker.next_request()
    client.call()
    worker.next_request().reply(OK)
    assert client.next_result()[0] == "/-/run-start"
    poll.reply(OK)
    assert client.next_result()[0] == "/-/hold" and worker.connections == 2


def test_close_ends_every_call(worker: FakeWorker, client: ClientHarness, one_connection: None) -> None:
    worker.auto_reply = None
    client.call("/in-flight")
    worker.next_request()
    client.call("/queued")
    client.worker_client.close()
    ended = {path: result.outcome for path, result in (client.next_result(), client.next_result())}
    assert ended == {"/in-flight": CallOutcome.NO_ANSWER, "/queued": CallOutcome.REFUSED_CONNECTION}
    assert client.call_and_wait("/after").outcome is CallOutcome.REFUSED_CONNECTION


def test_threads_start_on_the_first_call_and_stop_on_close(worker: FakeWorker) -> None:
    def threads() -> list[threading.Thread]:
        return [thread for thread in threading.enumerate() if thread.name == f"worker-call-{worker.address}"]

    client = ClientHarness(worker.address)
    assert not threads()
    client.call_and_wait()
    (thread,) = threads()
    client.worker_client.close()
    thread.join(TEST_TIMEOUT_S)
    assert not thread.is_alive()


def test_closed_event_loop_does_not_stop_the_threads(worker: FakeWorker) -> None:
    posted: queue.Queue[Callable[[], None]] = queue.Queue()
    broken = threading.Event()

    def post(call: Callable[[], None]) -> None:
        if not broken.is_set():
            broken.set()
            raise RuntimeError("the loop is closed")
        posted.put(call)

    client = WorkerClient(worker.address, post)
    client.call("GET", "/1", None, {}, UNLIMITED_S, lambda result: None)
    assert broken.wait(TEST_TIMEOUT_S)
    client.call("GET", "/2", None, {}, UNLIMITED_S, lambda result: None)
    posted.get(timeout=TEST_TIMEOUT_S)
    client.close()


def test_connection_sets_the_tcp_user_timeout(worker: FakeWorker) -> None:
    connection = WorkerConnection("127.0.0.1", worker.listener.getsockname()[1])
    assert not connection.is_open and not connection.check()
    for seconds, option in ((1.0, 1000), (0.5, 1000), (2.5, 2500)):
        now = connection_pool.time.monotonic()
        connection.exchange(Call("GET", "/", None, {}, now, now + seconds, lambda result: None))
        sock = connection._http.sock
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == option
    assert worker.connections == 1
    connection.close()


@pytest.mark.parametrize("address", ["", "127.0.0.1", ":80", "127.0.0.1:x"])
def test_malformed_address_is_rejected(address: str) -> None:
    with pytest.raises(ValueError):
        WorkerClient(address, lambda call: None)
