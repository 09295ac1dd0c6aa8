"""The client of a worker against a stand-in on loopback: outcomes, kept connections, lanes and the end."""

from __future__ import annotations

import queue
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest

from millethead.execution import call_lane
from millethead.execution.client import CallOutcome, CallResult, Lane, WorkerClient
from millethead.execution.worker_call import Call, WorkerConnection

PATIENCE_S = 10.0  # a test that waits longer has failed
SOON_S = 0.1  # a time-out that a test wants to be reached
ENDLESS_S = 60.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


@dataclass
class Exchange:
    """A request as the stand-in has read it, and the connection to answer on."""

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
        self.sock.shutdown(socket.SHUT_RD)  # the stand-in's own read would put the close off
        self.sock.close()


@dataclass
class StandIn:
    """A worker that hands each request to the test, or answers by itself while `answers` is set."""

    answers: bytes | None = OK
    connections: int = 0
    requests: queue.Queue[Exchange] = field(default_factory=queue.Queue)
    listener: socket.socket = field(default_factory=lambda: socket.create_server(("127.0.0.1", 0)))

    def __post_init__(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def next_request(self) -> Exchange:
        return self.requests.get(timeout=PATIENCE_S)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        came = b""
        try:
            while (exchange := self._read(sock, came)) is not None:
                self.requests.put(exchange)
                if self.answers is not None:
                    exchange.reply(self.answers)
        except OSError:
            pass
        finally:
            sock.close()

    def _read(self, sock: socket.socket, came: bytes) -> Exchange | None:
        while b"\r\n\r\n" not in came:
            if not (part := sock.recv(65536)):
                return None
            came += part
        head, _, body = came.partition(b"\r\n\r\n")
        length = next((int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length")), 0)
        while len(body) < length:
            body += sock.recv(65536)
        return Exchange(sock, head, body)


class Caller:
    """A client whose results come to the test by a queue that stands for the event loop."""

    def __init__(self, address: str, threads: int = 4) -> None:
        self.posted: queue.Queue[Callable[[], None]] = queue.Queue()
        self.client = WorkerClient(address, self.posted.put, threads)
        self.results: list[tuple[str, CallResult]] = []

    def call(self, path: str = "/-/run-start", timeout_s: float = ENDLESS_S, lane: Lane = Lane.ORDERS) -> None:
        self.client.call(
            "POST",
            path,
            b"{}",
            {"Content-Type": "application/json"},
            timeout_s,
            lambda result: self.results.append((path, result)),
            lane,
        )

    def result(self) -> tuple[str, CallResult]:
        """The next result, with the path that it is for."""
        self.posted.get(timeout=PATIENCE_S)()
        return self.results[-1]

    def ask(self, path: str = "/-/run-start", timeout_s: float = ENDLESS_S, lane: Lane = Lane.ORDERS) -> CallResult:
        self.call(path, timeout_s, lane)
        return self.result()[1]


@pytest.fixture
def worker() -> Iterator[StandIn]:
    stand_in = StandIn()
    yield stand_in
    stand_in.listener.close()


@pytest.fixture
def caller(worker: StandIn) -> Iterator[Caller]:
    caller = Caller(worker.address)
    yield caller
    caller.client.close()


@pytest.fixture
def one_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """However busy the machine is, no call waits so long that another connection is opened."""
    monkeypatch.setattr(call_lane, "QUICK_S", ENDLESS_S)


def test_request_goes_out_as_asked_and_its_answer_comes_back(worker: StandIn, caller: Caller) -> None:
    result = caller.ask("/-/run-stop")
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
def test_any_answer_is_final_and_keeps_the_connection(
    worker: StandIn, caller: Caller, one_connection: None, answer: bytes, status: int, body: bytes
) -> None:
    worker.answers = answer
    for _ in range(2):
        result = caller.ask()
        assert (result.outcome, result.status, result.body) == (CallOutcome.ANSWERED, status, body)
    assert worker.connections == 1 and worker.requests.qsize() == 2


def test_calls_in_a_row_share_a_connection(worker: StandIn, caller: Caller, one_connection: None) -> None:
    for number in range(20):
        caller.call(f"/{number}")
    assert [caller.result()[0] for _ in range(20)] == [f"/{number}" for number in range(20)]
    assert worker.connections == 1


def test_closed_port_tells_that_nothing_was_sent(worker: StandIn, caller: Caller) -> None:
    worker.listener.shutdown(socket.SHUT_RDWR)
    worker.listener.close()
    assert caller.ask().outcome is CallOutcome.REFUSED_CONNECTION
    assert caller.ask().outcome is CallOutcome.REFUSED_CONNECTION


def test_time_that_is_over_before_a_call_is_begun_tells_that_nothing_was_sent(worker: StandIn, caller: Caller) -> None:
    caller.ask()
    worker.next_request()
    assert caller.ask(timeout_s=0.0).outcome is CallOutcome.REFUSED_CONNECTION
    assert caller.ask().outcome is CallOutcome.ANSWERED
    assert worker.connections == 1 and worker.requests.qsize() == 1


def test_silence_ends_with_the_time(worker: StandIn, caller: Caller) -> None:
    worker.answers = None
    result = caller.ask(timeout_s=SOON_S)
    assert result.outcome is CallOutcome.NO_ANSWER and result.ended_at > result.sent_at
    worker.answers = OK
    assert caller.ask().outcome is CallOutcome.ANSWERED and worker.connections == 2


@pytest.mark.parametrize("answer", [b"junk\r\n\r\n", b"HTTP/1.1 x\r\n\r\n"])
def test_answer_that_cannot_be_read_is_none(worker: StandIn, caller: Caller, answer: bytes) -> None:
    worker.answers = answer
    assert caller.ask().outcome is CallOutcome.NO_ANSWER


@pytest.mark.parametrize(
    "part", [b"", b"HTTP/1.1 200 OK\r\n", OK[:-1], b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"]
)
@pytest.mark.parametrize("cut", [Exchange.close, Exchange.reset])
def test_cut_after_the_request_is_no_answer_and_nothing_is_sent_again(
    worker: StandIn, caller: Caller, part: bytes, cut: Callable[[Exchange], None]
) -> None:
    caller.ask()
    worker.next_request()
    worker.answers = None
    caller.call()
    request = worker.next_request()
    request.reply(part)
    cut(request)
    assert caller.result()[1].outcome is CallOutcome.NO_ANSWER
    assert worker.connections == 1 and worker.requests.empty()


def test_answer_that_stops_midway_ends_with_the_time(worker: StandIn, caller: Caller) -> None:
    worker.answers = OK[:-1]
    assert caller.ask(timeout_s=SOON_S).outcome is CallOutcome.NO_ANSWER


def test_connection_that_the_worker_closed_meanwhile_is_replaced(worker: StandIn, caller: Caller) -> None:
    caller.ask()
    worker.next_request().close()
    assert caller.ask().outcome is CallOutcome.ANSWERED and worker.connections == 2


def test_connection_ends_where_the_answer_says_so(worker: StandIn, caller: Caller) -> None:
    worker.answers = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    assert [caller.ask().body for _ in range(2)] == [b"hi"] * 2
    assert worker.connections == 2


def test_call_that_waits_behind_a_slow_one_gets_a_connection(worker: StandIn, caller: Caller) -> None:
    worker.answers = None
    caller.call("/slow")
    slow = worker.next_request()
    caller.call("/next")
    worker.next_request().reply(OK)
    assert caller.result()[0] == "/next"
    slow.reply(OK)
    assert caller.result()[0] == "/slow" and worker.connections == 2


def test_connections_are_bounded(worker: StandIn, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(call_lane, "QUICK_S", 0.0)
    caller = Caller(worker.address, threads=2)
    worker.answers = None
    for number in range(4):
        caller.call(f"/{number}")
    begun = [worker.next_request(), worker.next_request()]
    worker.answers = OK
    for request in begun:
        request.reply(OK)
    assert sorted(caller.result()[0] for _ in range(4)) == ["/0", "/1", "/2", "/3"]
    assert worker.connections == 2
    caller.client.close()


def test_hold_keeps_no_order_waiting(worker: StandIn, caller: Caller, one_connection: None) -> None:
    worker.answers = None
    caller.call("/-/hold", lane=Lane.HOLD)
    hold = worker.next_request()
    caller.call()
    worker.next_request().reply(OK)
    assert caller.result()[0] == "/-/run-start"
    hold.reply(OK)
    assert caller.result()[0] == "/-/hold" and worker.connections == 2


def test_close_ends_every_call(worker: StandIn, caller: Caller, one_connection: None) -> None:
    worker.answers = None
    caller.call("/begun")
    worker.next_request()
    caller.call("/waits")
    caller.client.close()
    ended = {path: result.outcome for path, result in (caller.result(), caller.result())}
    assert ended == {"/begun": CallOutcome.NO_ANSWER, "/waits": CallOutcome.REFUSED_CONNECTION}
    assert caller.ask("/after").outcome is CallOutcome.REFUSED_CONNECTION


def test_threads_start_with_the_first_call_and_end_with_the_client(worker: StandIn) -> None:
    def threads() -> list[threading.Thread]:
        return [thread for thread in threading.enumerate() if thread.name == f"worker-call-{worker.address}"]

    caller = Caller(worker.address)
    assert not threads()
    caller.ask()
    (thread,) = threads()
    caller.client.close()
    thread.join(PATIENCE_S)
    assert not thread.is_alive()


def test_loop_that_is_closed_ends_no_thread(worker: StandIn) -> None:
    posted: queue.Queue[Callable[[], None]] = queue.Queue()
    broken = threading.Event()

    def post(call: Callable[[], None]) -> None:
        if not broken.is_set():
            broken.set()
            raise RuntimeError("the loop is closed")
        posted.put(call)

    client = WorkerClient(worker.address, post)
    client.call("GET", "/1", None, {}, ENDLESS_S, lambda result: None)
    assert broken.wait(PATIENCE_S)
    client.call("GET", "/2", None, {}, ENDLESS_S, lambda result: None)
    posted.get(timeout=PATIENCE_S)
    client.close()


def test_connection_has_the_options_that_bound_silence(worker: StandIn) -> None:
    connection = WorkerConnection("127.0.0.1", worker.listener.getsockname()[1])
    assert not connection.is_open and not connection.check()
    for seconds, option in ((1.0, 1000), (0.5, 1000), (2.5, 2500)):
        now = call_lane.time.monotonic()
        connection.exchange(Call("GET", "/", None, {}, now, now + seconds, lambda result: None))
        sock = connection._http.sock
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == option
    assert worker.connections == 1
    connection.close()


@pytest.mark.parametrize("address", ["", "127.0.0.1", ":80", "127.0.0.1:x"])
def test_address_that_is_none_is_refused(address: str) -> None:
    with pytest.raises(ValueError):
        WorkerClient(address, lambda call: None)
