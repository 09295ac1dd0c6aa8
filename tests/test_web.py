"""The HTTP server on real sockets: exact exchanges, limits, deferred responses, drain and arbitrary input."""

from __future__ import annotations

import asyncio
import errno
import json
import select
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import bottle
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millethead.net.accept import Server
from millethead.web import dispatch as dispatch_module
from millethead.web import server as server_module
from millethead.web.responses import serialize_response
from millethead.web.server import DeferredResponse, HttpLimits, HttpServer, Response, json_response, request_body

TIMEOUT_S = 10.0  # a test that waits longer fails
SHORT_LIMIT_S = 0.05  # for limits that a test is to reach
GET = b"GET /state/1 HTTP/1.1\r\nHost: h\r\n\r\n"
STATE = b'HTTP/1.1 200 OK\r\nContent-Length: 19\r\nContent-Type: application/json\r\n\r\n{"state":"running"}'


class Site:
    """An application with handlers of all kinds, its server and its clients."""

    def __init__(self, limits: HttpLimits) -> None:
        self.clients: list[Client] = []
        self.deferred: list[DeferredResponse] = []
        self.handler_called = asyncio.Event()
        self.app = bottle.Bottle()
        self.app.get("/state/<number:int>", callback=lambda number: json_response(200, {"state": "running"}))
        self.app.post("/echo", callback=lambda: Response(200, request_body(), "text/plain"))
        self.app.post("/json", callback=lambda: json_response(200, bottle.request.json))
        self.app.get("/later", callback=self._later)
        self.app.get("/fails", callback=lambda: 1 // 0)
        self.app.get("/split", callback=lambda: Response(200, headers=(("X-A", "1\r\nX-B: 2"),)))
        self.app.get("/odd", callback=lambda: object())
        self.app.get("/dict", callback=lambda: {"a": 1})
        self.app.get("/abort", callback=lambda: bottle.abort(422, "not so"))
        self.app.get("/none", callback=lambda: Response(204))
        self.app.get("/name/<name>", callback=lambda name: json_response(200, [name, bottle.request.query.q]))
        self.app.get("/big", callback=lambda: Response(200, b"x" * (3 << 20), "text/plain"))
        self.app.get("/host", callback=lambda: Response(200, bottle.request.get_header("Host").encode()))
        self.server = HttpServer(self.app, limits)

    def _later(self) -> DeferredResponse:
        self.deferred.append(DeferredResponse())
        self.handler_called.set()
        return self.deferred[-1]

    @property
    def port(self) -> int:
        return self.server.addresses[0][1]

    async def connect(self) -> Client:
        self.clients.append(Client(*await asyncio.open_connection("127.0.0.1", self.port)))
        return self.clients[-1]

    async def exchange(self, data: bytes) -> bytes:
        """Sends `data` and returns everything that the server sends until it closes the connection."""
        client = await self.connect()
        client.writer.write(data)
        received = await client.rest()
        client.writer.close()
        return received


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes) -> tuple[int, bytes]:
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes]:
        """Reads the next response and returns its status and body."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = next((int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length")), 0)
            return int(head.split()[1]), await self.reader.readexactly(length)

    async def close(self) -> None:
        self.writer.close()
        with suppress(ConnectionError):
            await self.writer.wait_closed()

    async def rest(self) -> bytes:
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()


@asynccontextmanager
async def running(**limits: Any) -> AsyncIterator[Site]:
    site = Site(HttpLimits(**limits))
    await site.server.listen("127.0.0.1", 0)
    try:
        yield site
    finally:
        for client in site.clients:
            await client.close()
        await site.server.drain(0.0)


def error_bytes(status_line: str, message: str) -> bytes:
    body = json.dumps({"error": message}, separators=(",", ":"))
    return (
        f"HTTP/1.1 {status_line}\r\nContent-Length: {len(body)}\r\nContent-Type: application/json\r\n"
        f"Connection: close\r\n\r\n{body}"
    ).encode()


BAD = "400 Bad Request"
LARGE = "413 Request Entity Too Large"
POST = b"POST /echo HTTP/1.1\r\nHost: h\r\n"
EXCHANGES = {
    "zeros": (b"\0\0\0\0", error_bytes(BAD, "a malformed request line")),
    "tls": (b"\x16\x03\x01\x02\0\x01\0", error_bytes(BAD, "a malformed request line")),
    "words": (b"hello there\r\n", error_bytes(BAD, "a malformed request line")),
    "line feeds alone": (b"GET / HTTP/1.1\nHost: h\n\n", error_bytes(BAD, "a malformed request line")),
    "http/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", error_bytes(BAD, "not HTTP/1.1")),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", error_bytes(BAD, "no host")),
    "two hosts": (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", error_bytes(BAD, "host is given twice")),
    "folded field": (b"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", error_bytes(BAD, "a malformed field")),
    "control in a field": (b"GET / HTTP/1.1\r\nHost: a\0\r\n\r\n", error_bytes(BAD, "a malformed field")),
    "no path": (b"GET h HTTP/1.1\r\nHost: h\r\n\r\n", error_bytes(BAD, "the target is neither a path nor a URL")),
    "path not in utf-8": (b"GET /%ff HTTP/1.1\r\nHost: h\r\n\r\n", error_bytes(BAD, "the path is not in UTF-8")),
    "lower-case method": (b"get / HTTP/1.1\r\nHost: h\r\n\r\n", error_bytes(BAD, "the method is not in upper case")),
    "length of letters": (POST + b"Content-Length: x\r\n\r\n", error_bytes(BAD, "a malformed content-length")),
    "length below 0": (POST + b"Content-Length: -1\r\n\r\n", error_bytes(BAD, "a malformed content-length")),
    "length and chunks": (
        POST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        error_bytes(BAD, "both content-length and transfer-encoding"),
    ),
    "unknown coding": (
        POST + b"Transfer-Encoding: gzip\r\n\r\n",
        error_bytes(BAD, "a transfer-encoding other than chunked"),
    ),
    "bad chunk size": (POST + b"Transfer-Encoding: chunked\r\n\r\nx\r\n", error_bytes(BAD, "a malformed chunk size")),
    "bad chunk end": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
        error_bytes(BAD, "a chunk does not end where it says"),
    ),
    "bad trailer": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n0\r\nx y\r\n\r\n",
        error_bytes(BAD, "a malformed field"),
    ),
    "body too large": (POST + b"Content-Length: 1001\r\n\r\n", error_bytes(LARGE, "the body exceeds 1000 bytes")),
    "length beyond numbers": (
        POST + b"Content-Length: " + b"9" * 300 + b"\r\n\r\n",
        error_bytes(LARGE, "the body exceeds 1000 bytes"),
    ),
    "chunk too large": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n",
        error_bytes(LARGE, "the body exceeds 1000 bytes"),
    ),
    "chunks too large": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + b"x" * 1000 + b"\r\n1\r\n",
        error_bytes(LARGE, "the body exceeds 1000 bytes"),
    ),
    "head too large": (
        b"GET / HTTP/1.1\r\nX: " + b"x" * 2000,
        error_bytes("431 Request Header Fields Too Large", "the head of the request exceeds 2000 bytes"),
    ),
    "whole head too large": (
        b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000 + b"\r\n\r\n",
        error_bytes("431 Request Header Fields Too Large", "the head of the request exceeds 2000 bytes"),
    ),
    "expectation": (
        POST + b"Expect: more\r\nContent-Length: 1\r\n\r\n",
        error_bytes("417 Expectation Failed", "an expectation that cannot be met"),
    ),
    "old version": (
        b"GET /state/1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        STATE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
    ),
    "close": (
        b"GET /state/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        STATE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
    ),
}


@pytest.mark.parametrize(("data", "expected"), EXCHANGES.values(), ids=EXCHANGES.keys())
async def test_exchange_that_closes_the_connection(data: bytes, expected: bytes) -> None:
    async with running(max_header_bytes=2000, max_body_bytes=1000) as site:
        assert await site.exchange(data) == expected


async def test_pipelined_requests_on_one_connection_are_answered_in_order() -> None:
    async with running() as site:
        client = await site.connect()
        client.writer.write(b"\r\n" + GET + GET + POST + b"Content-Length: 2\r\n\r\nhi" + GET)
        answers = [await client.answer() for _ in range(4)]
        assert [body for _, body in answers] == [b'{"state":"running"}'] * 2 + [b"hi"] + [b'{"state":"running"}']


async def test_request_may_arrive_byte_by_byte() -> None:
    async with running() as site:
        client = await site.connect()
        for at in range(len(GET)):
            client.writer.write(GET[at : at + 1])
            await asyncio.sleep(0)
        assert await client.answer() == (200, b'{"state":"running"}')


async def test_unknown_path_and_wrong_method_keep_the_connection_open() -> None:
    async with running() as site:
        client = await site.connect()
        assert await client.ask(GET.replace(b"state/1", b"x")) == (404, b'{"error":"no such path"}')
        client.writer.write(GET.replace(b"GET", b"PATCH"))
        expected = b'{"error":"the path does not take this method"}'
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 405 ") and b"Allow: GET\r\n" in head
        assert await client.reader.readexactly(len(expected)) == expected


async def test_response_to_head_request_has_the_length_but_no_body() -> None:
    async with running() as site:
        client = await site.connect()
        client.writer.write(GET.replace(b"GET", b"HEAD") + GET)
        assert (await client.reader.readexactly(len(STATE) - 19)) == STATE[:-19]
        assert await client.reader.readexactly(len(STATE)) == STATE


async def test_chunked_body_is_assembled() -> None:
    async with running() as site:
        client = await site.connect()
        data = POST + b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: 1\r\n\r\n"
        assert await client.ask(data + GET) == (200, b"abcd")
        assert (await client.answer())[0] == 200


async def test_body_of_the_maximum_size_is_read_and_parsed_as_json() -> None:
    async with running() as site:
        client = await site.connect()
        body = json.dumps("x" * (262144 - 2)).encode()
        head = b"POST /json HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 262144\r\n\r\n"
        assert await client.ask(head + body) == (200, body)


async def test_expect_100_continue_is_answered_before_the_body() -> None:
    async with running() as site:
        client = await site.connect()
        client.writer.write(POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert await client.ask(b"hi") == (200, b"hi")


async def test_expect_100_continue_for_a_body_too_large_is_rejected_at_once() -> None:
    async with running(max_body_bytes=1) as site:
        received = await site.exchange(POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 413 ")


async def test_path_is_decoded_and_target_may_be_a_url() -> None:
    async with running() as site:
        client = await site.connect()
        request = b"GET /name/%C3%A4%2Bb?q=%2B HTTP/1.1\r\nHost: h\r\n\r\n"
        assert await client.ask(request) == (200, '["ä+b","+"]'.encode())
        request = b"GET http://h/name/n?q=1 HTTP/1.1\r\nHost: h\r\n\r\n"
        assert await client.ask(request) == (200, b'["n","1"]')


async def test_header_with_an_underscore_is_not_confused_with_one_with_a_hyphen() -> None:
    async with running() as site:
        client = await site.connect()
        environ: list[object] = []
        site.app.get("/seen", callback=lambda: json_response(200, environ.append(bottle.request.get_header("X-A"))))
        await client.ask(b"GET /seen HTTP/1.1\r\nHost: h\r\nX_A: 1\r\n\r\n")
        assert environ == [None]


async def test_other_results_of_bottle_handlers() -> None:
    async with running() as site:
        client = await site.connect()
        assert await client.ask(GET.replace(b"state/1", b"dict")) == (200, b'{"a": 1}')
        assert await client.ask(GET.replace(b"state/1", b"abort")) == (422, b'{"error":"not so"}')
        assert await client.ask(GET.replace(b"state/1", b"host")) == (200, b"h")
        client.writer.write(GET.replace(b"state/1", b"none"))
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 204 No Content\r\n\r\n"


@pytest.mark.parametrize("path", [b"fails", b"odd", b"split"])
async def test_error_response_of_a_failing_handler_contains_the_id_of_its_log_line(
    path: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[dict[str, object]] = []

    class Log:
        def exception(self, event: str, **values: object) -> None:
            lines.append({"event": event, **values})

    monkeypatch.setattr(dispatch_module, "log", Log())
    async with running() as site:
        client = await site.connect()
        status, body = await client.ask(GET.replace(b"state/1", path))
        assert status == 500 and lines[0]["event"] == "handler_failed" and lines[0]["path"] == "/" + path.decode()
        assert json.loads(body) == {"error": f"internal error {lines[0]['error_id']}"}
        assert (await client.ask(GET))[0] == 200


async def test_response_larger_than_any_buffer_is_complete() -> None:
    async with running() as site:
        client = await site.connect()
        assert await client.ask(GET.replace(b"state/1", b"big")) == (200, b"x" * (3 << 20))
        assert (await client.ask(GET))[0] == 200


# ---- time-outs and limits ----------------------------------------------------------------------------


@pytest.mark.parametrize("data", [b"G", GET[:-2], b"\r"])
async def test_incomplete_head_is_answered_with_a_timeout(data: bytes) -> None:
    async with running(header_timeout_s=SHORT_LIMIT_S) as site:
        received = await site.exchange(data)
        assert received == error_bytes("408 Request Timeout", "the head of the request came too slowly")


async def test_incomplete_body_is_answered_with_a_timeout() -> None:
    async with running(body_timeout_s=SHORT_LIMIT_S) as site:
        received = await site.exchange(POST + b"Content-Length: 2\r\n\r\nh")
        assert received == error_bytes("408 Request Timeout", "the body of the request came too slowly")


async def test_idle_connection_is_closed_without_a_response() -> None:
    async with running(idle_timeout_s=SHORT_LIMIT_S) as site:
        assert await site.exchange(b"") == b""
        assert await site.exchange(GET) == STATE


async def test_limits_can_be_replaced() -> None:
    async with running() as site:
        client = await site.connect()
        assert await client.ask(POST + b"Content-Length: 2\r\n\r\nhi") == (200, b"hi")
        site.server.limits = HttpLimits(max_body_bytes=1)
        assert (await client.ask(POST + b"Content-Length: 2\r\n\r\n"))[0] == 413


async def test_idle_connection_is_closed_for_a_new_one_at_the_limit() -> None:
    async with running(max_connections=2) as site:
        first, second = await site.connect(), await site.connect()
        assert (await first.ask(GET))[0] == (await second.ask(GET))[0] == 200
        third = await site.connect()
        assert (await third.ask(GET))[0] == 200
        assert await first.rest() == b"" and site.server.open_connections == 2


async def test_connection_with_a_pending_response_is_not_closed_for_a_new_one() -> None:
    async with running(max_connections=1) as site:
        first = await site.connect()
        first.writer.write(GET.replace(b"state/1", b"later"))
        await site.handler_called.wait()
        assert await site.exchange(b"") == b""
        site.deferred[0].complete(Response(200, b"now"))
        assert await first.answer() == (200, b"now")


async def test_binding_a_port_in_use_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "BIND_RETRY_S", 0.0)
    async with running() as site:
        await site.server.stop_listening()
        predecessor = socket.create_server(("127.0.0.1", 0))
        listen_task = asyncio.ensure_future(site.server.listen(*predecessor.getsockname()))
        await asyncio.sleep(0)
        assert not listen_task.done()
        predecessor.close()
        await asyncio.wait_for(listen_task, TIMEOUT_S)
        assert (await (await site.connect()).ask(GET))[0] == 200


async def test_port_that_stays_in_use_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "BIND_TIMEOUT_S", 0.0)
    with socket.create_server(("127.0.0.1", 0)) as other, pytest.raises(OSError):
        await Site(HttpLimits()).server.listen(*other.getsockname())


# ---- deferred responses ------------------------------------------------------------------------------


LATER = GET.replace(b"state/1", b"later")


async def test_deferred_response_is_sent_when_it_is_complete() -> None:
    async with running() as site:
        client = await site.connect()
        client.writer.write(LATER + GET)
        await site.handler_called.wait()
        deferred = site.deferred[0]
        deferred.complete(Response(201, b"first"))
        deferred.complete(Response(500, b"second"))
        assert deferred.done and not deferred.disconnected
        assert await client.answer() == (201, b"first")
        assert (await client.answer())[0] == 200


async def test_deferred_response_may_be_complete_when_it_is_returned() -> None:
    async with running() as site:
        deferred = DeferredResponse()
        deferred.complete(Response(202))
        site.app.get("/done", callback=lambda: deferred)
        assert (await (await site.connect()).ask(GET.replace(b"state/1", b"done")))[0] == 202


async def test_handler_is_notified_when_the_client_disconnects() -> None:
    async with running() as site:
        client = await site.connect()
        client.writer.write(LATER)
        await site.handler_called.wait()
        disconnected = asyncio.Event()
        site.deferred[0].on_disconnect = disconnected.set
        client.writer.close()
        await asyncio.wait_for(disconnected.wait(), TIMEOUT_S)
        assert site.deferred[0].disconnected and not site.deferred[0].done
        site.deferred[0].complete(Response(200))
        assert not site.deferred[0].done


async def test_handler_is_not_notified_when_the_client_disconnects_after_the_response() -> None:
    async with running() as site:
        client = await site.connect()
        client.writer.write(LATER)
        await site.handler_called.wait()
        calls: list[bool] = []
        site.deferred[0].on_disconnect = lambda: calls.append(True)
        site.deferred[0].complete(Response(200))
        await client.answer()
        client.writer.close()
        await site.server.drain(TIMEOUT_S)
        assert not calls and not site.deferred[0].disconnected


async def test_exception_in_on_disconnect_does_not_propagate() -> None:
    deferred = DeferredResponse(on_disconnect=lambda: [][0])
    settled: list[bool] = []
    deferred.when_settled(lambda: settled.append(True))
    deferred.client_disconnected()
    assert deferred.disconnected and settled == [True]


# ---- drain -------------------------------------------------------------------------------------------


async def test_drain_closes_idle_connections_and_refuses_new_ones() -> None:
    async with running() as site:
        port, idle = site.port, await site.connect()
        assert (await idle.ask(GET))[0] == 200
        drain = asyncio.ensure_future(site.server.drain(TIMEOUT_S))
        assert await idle.rest() == b""
        idle.writer.close()
        await asyncio.wait_for(drain, TIMEOUT_S)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)


async def test_server_may_listen_again() -> None:
    async with running() as site:
        client = await site.connect()
        await site.server.stop_listening()
        assert site.server.addresses == [] and (await client.ask(GET))[0] == 200
        await site.server.listen("127.0.0.1", 0)
        assert (await (await site.connect()).ask(GET))[0] == 200


async def test_drain_does_not_reset_clients_that_connect_while_the_listener_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Forces the race: clients connect before and after the last check of the accept queue."""
    async with running() as site:
        address, late = ("127.0.0.1", site.port), list[socket.socket]()
        accept_queue = Server._accept_queue

        def connecting() -> socket.socket:
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(address)
            late.append(client)
            return client

        async def crossed(server: Server, listener: socket.socket) -> None:
            connecting()
            await accept_queue(server, listener)
            connecting()

        monkeypatch.setattr(Server, "_accept_queue", crossed)
        early = connecting()
        drain = asyncio.ensure_future(site.server.drain(TIMEOUT_S))
        early.setblocking(True)
        early.settimeout(TIMEOUT_S)
        await asyncio.to_thread(early.sendall, GET)
        assert (await asyncio.to_thread(early.recv, 4096)).startswith(b"HTTP/1.1 200 ")
        early.close()
        await asyncio.wait_for(drain, TIMEOUT_S)
        for client in late[1:]:  # not established: the connection is refused when the client retries
            assert await asyncio.to_thread(select.select, [], [client], [], TIMEOUT_S) == ([], [client], [])
            assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
            client.close()


async def test_listener_shared_with_another_process_continues_to_accept() -> None:
    """A process that stops before its successor takes over must not shut down the shared listener."""
    async with running() as site:
        connections = site.server._connections
        listener = next(iter(connections._sockets.values())).dup()
        connections.shared = True
        await site.server.stop_listening()
        with listener, socket.create_connection(listener.getsockname(), timeout=TIMEOUT_S):
            listener.settimeout(TIMEOUT_S)
            taken, _ = await asyncio.to_thread(listener.accept)
            taken.close()


async def test_drain_completes_requests_that_were_read_or_are_being_read() -> None:
    async with running() as site:
        waiting, sending = await site.connect(), await site.connect()
        assert (await sending.ask(GET))[0] == 200
        sending.writer.write(GET[:20])
        waiting.writer.write(LATER)
        await site.handler_called.wait()
        drain = asyncio.ensure_future(site.server.drain(TIMEOUT_S))
        await asyncio.sleep(0)
        sending.writer.write(GET[20:])
        received = await sending.rest()
        assert received.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in received
        sending.writer.close()
        assert not drain.done()
        site.deferred[0].complete(Response(200, b"late"))
        received = await waiting.rest()
        assert received.endswith(b"late") and b"Connection: close" in received
        waiting.writer.close()
        await asyncio.wait_for(drain, TIMEOUT_S)
        assert site.server.open_connections == 0


async def test_drain_serves_connections_in_the_accept_queue() -> None:
    async with running() as site:
        with socket.create_connection(("127.0.0.1", site.port)) as client:
            client.sendall(GET)
            client.setblocking(False)
            drain = asyncio.ensure_future(site.server.drain(TIMEOUT_S))
            received = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 4096), TIMEOUT_S)
            assert received.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in received
        await asyncio.wait_for(drain, TIMEOUT_S)


async def test_drain_answers_all_pipelined_requests() -> None:
    async with running() as site:
        client = await site.connect()
        client.writer.write(LATER + GET)
        await site.handler_called.wait()
        drain = asyncio.ensure_future(site.server.drain(TIMEOUT_S))
        await asyncio.sleep(0)
        site.deferred[0].complete(Response(200, b"late"))
        received = await client.rest()
        assert received.count(b"HTTP/1.1 200 ") == 2 and received.count(b"Connection: close") == 1
        client.writer.close()
        await asyncio.wait_for(drain, TIMEOUT_S)


async def test_drain_waits_briefly_for_the_first_request_of_a_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "FIRST_REQUEST_GRACE_S", SHORT_LIMIT_S)
    async with running() as site:
        silent = await site.connect()
        async with asyncio.timeout(TIMEOUT_S):
            while not site.server.open_connections:
                await asyncio.sleep(0)
        drain = asyncio.ensure_future(site.server.drain(TIMEOUT_S))
        assert await silent.rest() == b""
        silent.writer.close()
        await asyncio.wait_for(drain, TIMEOUT_S)


async def test_drain_closes_connections_after_its_timeout() -> None:
    async with running() as site:
        client = await site.connect()
        client.writer.write(LATER)
        await site.handler_called.wait()
        disconnected = asyncio.Event()
        site.deferred[0].on_disconnect = disconnected.set
        await site.server.drain(SHORT_LIMIT_S)
        assert await client.rest() == b""
        await asyncio.wait_for(disconnected.wait(), TIMEOUT_S)


# ---- arbitrary input ---------------------------------------------------------------------------------


def test_invalid_responses_are_rejected() -> None:
    for response in (Response(100), Response(999), Response(200, headers=(("a b", "c"),))):
        with pytest.raises(ValueError):
            serialize_response(response, keep_alive=True, head_only=False)


FRAGMENTS = st.sampled_from(
    [
        b"GET ",
        b"POST ",
        b"/echo",
        b"/state/1",
        b" HTTP/1.1",
        b"\r\n",
        b"\r\n\r\n",
        b"Host: h\r\n",
        b"Content-Length: ",
        b"5",
        b"-1",
        b"Transfer-Encoding: chunked\r\n",
        b"0\r\n\r\n",
        b"%",
        b"%zz",
        b"Expect: 100-continue\r\n",
        b"Connection: close\r\n",
        b"http://",
        b"[",
        b"?",
        b"\xff",
        b"\0",
    ]
)
ARBITRARY_INPUT = st.lists(st.one_of(FRAGMENTS, st.binary(max_size=40)), max_size=12).map(b"".join)


PREFIXES = st.sampled_from([b"", GET, GET[:20], POST, POST + b"Transfer-Encoding: chunked\r\n\r\n"])


async def check_server_survives(data: bytes, prefix: bytes) -> None:
    limits = {"header_timeout_s": 0.01, "body_timeout_s": 0.01, "idle_timeout_s": 0.01}
    async with running(max_header_bytes=2000, max_body_bytes=1000, **limits) as site:
        received = await site.exchange(prefix + data)
        assert not received or received.startswith(b"HTTP/1.1 ")
        assert b"HTTP/1.1 5" not in received
        site.server.limits = HttpLimits()
        assert await (await site.connect()).ask(GET) == (200, b'{"state":"running"}')


@settings(max_examples=150, deadline=None)
@given(ARBITRARY_INPUT, PREFIXES)
def test_arbitrary_bytes_lead_to_a_response_or_a_close(data: bytes, prefix: bytes) -> None:
    asyncio.run(check_server_survives(data, prefix))
