"""A process is ready whatever it finds at its start: discovery down or silent, files torn or others', many at once."""

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
OUT, MEETING = "millethead-n1.out", "millethead-n1"


@asynccontextmanager
async def started(folder, discovery, known=None):
    """A process that says yes; gives what it has logged since its start."""
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
        said = b""
        async with asyncio.timeout(TIMEOUT_S):
            while b"event=serving" not in said:
                line = await process.stdout.readline()
                assert line, said
                said += line
            for where, what in ((port, b"/up"), (console, b"/ops/readiness")):
                reader, writer = await asyncio.open_connection("127.0.0.1", where)
                writer.write(b"GET " + what + b" HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                writer.close()
        yield said.decode()
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


@pytest.mark.parametrize("silent", [False, True])
async def test_the_last_list_will_do_while_discovery_is_down_or_says_nothing(tmp_path, silent):
    peers = await PeerListener().open()
    async with started(tmp_path, peers.port if silent else free_port()) as said:
        assert "warning" not in said and "error" not in said
    peers.close()


async def test_many_at_once_with_a_discovery_that_answers_nobody(tmp_path):
    peers = await PeerListener().open()
    async with AsyncExitStack() as all_of_them:
        folders = [tmp_path / str(n) for n in range(20)]
        for folder in folders:
            folder.mkdir()
        await asyncio.gather(*(all_of_them.enter_async_context(started(folder, peers.port)) for folder in folders))
    peers.close()


@pytest.mark.parametrize(
    "left",
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
async def test_a_file_that_cannot_be_used_is_passed_over_with_one_line(tmp_path, left):
    (tmp_path / OUT).write_bytes(left)
    async with started(tmp_path, free_port()) as said:
        assert said.count("level=warning") == said.count("event=out_file_unusable") == 1
    assert (tmp_path / OUT).read_bytes() == left


async def test_what_another_deployment_left_of_its_meeting_is_passed_over(tmp_path):
    """A socket at which nobody answers, one that nobody listens at, or a plain file in its place."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.bind(str(tmp_path / MEETING))
    sock.listen(4)
    async with started(tmp_path, free_port()) as said:
        assert said.count("level=warning") == said.count("event=predecessor_unusable") == 1
    sock.close()
    async with started(tmp_path, free_port()) as said:  # where the one before left it as it was killed
        assert "level=warning" not in said
    (tmp_path / MEETING).unlink()
    (tmp_path / MEETING).write_bytes(b"not a socket")
    async with started(tmp_path, free_port()) as said:
        assert "level=warning" not in said
