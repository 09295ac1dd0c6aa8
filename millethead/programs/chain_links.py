"""The connections (links) of a control process to its neighbours in the chain.

Opens links and reopens lost ones. If a link is lost and the neighbour's port refuses connections, the neighbour's
process has ended. This detects the failure at once, without waiting for a heartbeat timeout.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from millethead.replication.replica import Replica
from millethead.replication.view import ChainMember
from millethead.rpc.codec import Record
from millethead.rpc.connection import Connection, connect

LINK_CONNECT_TIMEOUT_S = 0.4
LINK_RETRY_INTERVAL_S = 0.05


class ChainLinks:
    """Opens and accepts links. `replica` returns the current replica, which changes when the disk is reopened."""

    def __init__(self, replica: Callable[[], Replica]) -> None:
        self._replica = replica
        self._links: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def __contains__(self, connection: Connection) -> bool:
        return connection in self._links

    def open(self) -> None:
        """Open a link to the successor in the current epoch, if there is one."""
        chain = self._replica().chain
        if chain.successor is not None:
            self._spawn(self._open(chain.successor, chain.epoch))

    def accepted(self, link: Connection) -> None:
        """Register a link that a predecessor has opened."""
        self._links.add(link)

    def received(self, link: Connection, record: Record) -> None:
        """Pass a record from a link to the replica."""
        if not self._replica().link_record(_now(), link, record):
            link.close()

    def closed(self, link: Connection) -> None:
        """Handle the loss of a link."""
        self._links.discard(link)
        chain = self._replica().chain
        neighbour = chain.neighbour_of(link)
        if chain.link_lost(link) and chain.successor is not None:
            self._spawn(self._reopen(chain.successor, chain.epoch))
        elif neighbour is not None:
            self._spawn(self._probe(neighbour))

    def close_all(self) -> None:
        """Close all links."""
        for link in list(self._links):
            link.close()

    async def _open(self, successor: ChainMember, epoch: int) -> None:
        while self._replica().chain.epoch == epoch:
            link = await self._connect(successor)
            if link is None:
                await asyncio.sleep(LINK_RETRY_INTERVAL_S)
                continue
            if self._replica().chain.epoch != epoch:
                link.close()
                return
            self._links.add(link)
            self._replica().chain.link_opened(link, successor.member.address)
            return

    async def _reopen(self, successor: ChainMember, epoch: int) -> None:
        await self._probe(successor)
        await asyncio.sleep(LINK_RETRY_INTERVAL_S)
        await self._open(successor, epoch)

    async def _probe(self, neighbour: ChainMember) -> None:
        """Check whether a neighbour whose link was lost still accepts connections."""
        link = await self._connect(neighbour)
        if link is not None:
            link.close()

    async def _connect(self, neighbour: ChainMember) -> Connection | None:
        try:
            return await connect(neighbour.member.address, self.received, self.closed, LINK_CONNECT_TIMEOUT_S)
        except ConnectionRefusedError:
            self._replica().process_ended(_now(), neighbour)
        except OSError:
            pass
        return None

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now() -> float:
    return asyncio.get_running_loop().time()
