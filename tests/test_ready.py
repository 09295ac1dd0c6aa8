"""A process becomes ready despite problems at start-up.

Covers unreachable or silent discovery, torn or foreign files, and many processes starting at once.
"""

import asyncio
import json
import os
import socket
import sys
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

import pytest
from dispatcher_fixture import SETTINGS, TIMEOUT_S, PeerListener, endpoint

from millethead.lab.pack import free_port

ROOT = Path(__file__).parent.parent
OUT_FILE, HANDOVER_SOCKET = "millethead-n1.out", "millethead-n1"


@asynccontextmanager
async def started(folder, discovery, known=None):
    """Start a process and wait until it is ready; yields its log output so far."""
    port, console = free_port(), free_port()
    known = known or {"index": 1, "snapshot": True, "endpoints": [endpoint(1, 9)]}
    path = folder / f"config{port}.json"
    path.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{port}",
                "console": f"127.0.0.1:{console}",
                "seed": "1",
                "known": known,
                "discovery": f"127.0.0.1:{discovery}",
                "limits": {"sockets": 256},
                "settings": SETTINGS,
            }
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "millethead",
        "serve",
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(folder)},
    )
    try:
        output = b""
        async with asyncio.timeout(TIMEOUT_S):
            while b"event=serving" not in output:
                line = await process.stdout.readline()
                assert line, output
                output += line
            for where, what in ((port, b"/up"), (console, b"/ops/readiness")):
                reader, writer = await asyncio.open_connection("127.0.0.1", where)
                writer.write(b"GET " + what + b" HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                writer.close()
        yield output.decode()
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


@pytest.mark.parametrize("silent", [False, True])
async def test_process_starts_with_known_endpoints_if_discovery_is_down_or_silent(tmp_path, silent):
    peers = await PeerListener().open()
    async with started(tmp_path, peers.port if silent else free_port()) as output:
        assert "warning" not in output and "error" not in output
    peers.close()


async def test_many_processes_start_at_once_with_silent_discovery(tmp_path):
    peers = await PeerListener().open()
    async with AsyncExitStack() as stack:
        folders = [tmp_path / str(n) for n in range(20)]
        for folder in folders:
            folder.mkdir()
        await asyncio.gather(*(stack.enter_async_context(started(folder, peers.port)) for folder in folders))
    peers.close()


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\x00" * 99,
        b'{"version": 1, "whose": "n1 at ',
        b"[]",
        b'{"version": 1, "whose": "others", "out": ["s-00000001"]}',
        b"9" * (2 << 20),
    ],
    ids=["empty", "zeros", "torn", "a list", "others", "too large"],
)
async def test_unusable_file_is_ignored_with_one_warning(tmp_path, content):
    (tmp_path / OUT_FILE).write_bytes(content)
    async with started(tmp_path, free_port()) as output:
        assert output.count("level=warning") == output.count("event=out_file_unusable") == 1
    assert (tmp_path / OUT_FILE).read_bytes() == content


async def test_stale_handover_socket_is_ignored(tmp_path):
    """A socket without answers, a socket without a listener, or a plain file in place of the socket."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.bind(str(tmp_path / HANDOVER_SOCKET))
    sock.listen(4)
    async with started(tmp_path, free_port()) as output:
        assert output.count("level=warning") == output.count("event=predecessor_unusable") == 1
    sock.close()
    async with started(tmp_path, free_port()) as output:  # the socket file of a killed process
        assert "level=warning" not in output
    (tmp_path / HANDOVER_SOCKET).unlink()
    (tmp_path / HANDOVER_SOCKET).write_bytes(b"not a socket")
    async with started(tmp_path, free_port()) as output:
        assert "level=warning" not in output
