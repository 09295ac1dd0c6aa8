"""Consensus on the fleet's state: a dispatcher proposes changes to the voters, and votes if it is a voter itself.

The acceptor and the proposer's rounds are in `register`. This module adds retransmission, time limits and durable
storage of the acceptor's state.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any, Protocol

import structlog

from millethead.rollout import state as agreed
from millethead.rollout.driver import Change
from millethead.rollout.notes import Note
from millethead.rollout.register import ZERO, Acceptor, Refused, Round, Word
from millethead.rollout.state import State
from millethead.rollout.store import Store

log = structlog.get_logger("rollout")
AGAIN, TRY = 0.08, 0.7  # s: until a question is put again, and in which a change must be agreed (the staff wait 1 s)
PAUSE_S = (0.005, 0.06)  # after a round that was superseded by a higher ballot


class NoMajority(Exception):
    """Raised if no majority of the voters answered in time. The text says whether the change may still take effect."""


class AgreementPorts(Protocol):
    """What `Agreement` needs from its surroundings."""

    @property
    def voters(self) -> tuple[str, ...]:
        """The current voters, as far as this dispatcher knows."""

    def begun(self, state: State) -> State:
        """Returns the state with the configured voters and stewards filled in where none were agreed on yet."""

    def agreed(self, state: State) -> State:
        """Applies an agreed state. Returns the newest state that is known now."""

    def tell(self, name: str, note: Note) -> None:
        """Sends a message to a dispatcher."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs `work` in the background until the program ends."""


def voters_of(value: bytes) -> tuple[str, ...]:
    """Returns the voters named in an encoded state. Returns none if the state is of another version, which this
    dispatcher never changes."""
    try:
        return agreed.read(value).voters
    except ValueError:
        return ()


class Agreement:
    """Proposer and acceptor of one dispatcher.

    `process` identifies this process and must differ from that of any earlier process of this dispatcher.
    `first_voters` decide until other voters are agreed on.
    """

    def __init__(
        self, me: str, process: str, first_voters: tuple[str, ...], store: Store, ports: AgreementPorts
    ) -> None:
        self.me, self._process, self._first_voters, self._ports = me, process, first_voters, ports
        self._store = store  # kept also by dispatchers that are not voters, since they may become voters
        self._acceptor = Acceptor(store.load())
        self._random = random.Random(process)
        self._rounds: dict[int, tuple[Round, asyncio.Event]] = {}
        self._calls: dict[int, asyncio.Event] = {}  # requests of `answers_as_voter` that wait for any answer
        self._seq, self._top = 0, 0
        self._lock, self._disk = asyncio.Lock(), asyncio.Lock()

    @property
    def accepted_voters(self) -> tuple[str, ...]:
        """The voters named in the value that this dispatcher accepted last, if any."""
        return voters_of(self._acceptor.kept.value)

    # ---- proposing -----------------------------------------------------------------------------------------

    async def change(self, change: Change, seconds: float = TRY) -> State:
        """Proposes a change until it is agreed on, and returns the resulting state. Raises ChangeRefused with the
        reason if the change does not apply, and NoMajority."""
        until = time.monotonic() + seconds
        try:
            async with asyncio.timeout(seconds):
                await self._lock.acquire()
        except TimeoutError:
            raise NoMajority("no majority of the voters answered; nothing was changed") from None
        try:
            return await self._agree(change, until)
        finally:
            self._lock.release()

    async def _agree(self, change: Change, until: float) -> State:
        def renew(old: bytes) -> bytes:
            try:
                return agreed.write(change(self._ports.begun(agreed.read(old))))
            except ValueError as why:  # a state of another version is not changed
                raise Refused(str(why)) from None

        asked = False
        while time.monotonic() < until:
            self._top += 1
            one = Round((self._top, self._process), self._first_voters, renew, voters_of)
            asked = await self._play(one, until) or asked
            if one.agreed:
                state = self._ports.agreed(agreed.read(one.value or b""))
                if one.refused is not None:
                    raise one.refused
                return state
            if one.lost is not None:
                self._top = max(self._top, one.lost[0])
                await asyncio.sleep(self._random.uniform(*PAUSE_S))
        raise NoMajority(
            "no majority of the voters answered in time; "
            + ("the change may still come to be: see GET /fleet" if asked else "nothing was changed")
        )

    async def _play(self, one: Round, until: float) -> bool:
        """Repeats the requests of one round until it ends or the deadline passes. Returns whether a voter may have
        accepted the change."""
        self._seq += 1
        seq, news, asked = self._seq, asyncio.Event(), False
        self._rounds[seq] = one, news
        try:
            while not one.agreed and one.lost is None and (left := until - time.monotonic()) > 0:
                self._ask(seq, one)
                asked = asked or (one.value is not None and one.refused is None)
                news.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(min(AGAIN, left)):
                        await news.wait()
        finally:
            del self._rounds[seq]
        return asked

    def _ask(self, seq: int, one: Round) -> None:
        word = one.ask()
        # The initial voters may all be gone. The currently known voters can answer with the newest value.
        for voter in one.voters if one.value is not None else dict.fromkeys((*one.voters, *self._ports.voters)):
            self._ask_one(voter, seq, word)

    def _ask_one(self, voter: str, seq: int, word: Word) -> None:
        if voter == self.me:
            self._ports.spawn(self.vote(voter, seq, word))
        else:
            self._ports.tell(voter, Note("ask", seq, self.me, word))

    async def votes(self, name: str, seconds: float = TRY) -> bool:
        """Returns whether a dispatcher answers requests to voters. Checked before it becomes a voter."""
        self._seq += 1
        seq, news = self._seq, asyncio.Event()
        self._calls[seq] = news
        try:
            async with asyncio.timeout(seconds):
                while not news.is_set():
                    self._ask_one(name, seq, Word("prepare", ZERO))  # the zero ballot adds no promise
                    with suppress(TimeoutError):
                        async with asyncio.timeout(AGAIN):
                            await news.wait()
        except TimeoutError:
            return False
        finally:
            del self._calls[seq]
        return True

    def answered(self, voter: str, seq: int, word: Word) -> None:
        """Handles an answer of a voter."""
        if seq in self._calls:
            self._calls[seq].set()
        one, news = self._rounds.get(seq, (None, None))
        if one is not None and news is not None:
            if one.take(voter, word):
                self._ask(seq, one)
            if one.agreed or one.lost is not None:
                news.set()

    # ---- voting --------------------------------------------------------------------------------------------

    async def vote(self, asker: str, seq: int, word: Word) -> None:
        """Answers a proposer's request as a voter, after the acceptor's state is on disk."""
        async with self._disk:
            before = self._acceptor.kept
            answer, changed = self._acceptor.take(word)
            if changed:
                try:
                    await asyncio.get_running_loop().run_in_executor(None, self._store.save, self._acceptor.kept)
                except OSError as error:
                    self._acceptor.kept = before
                    log.error("rollout_not_stored", why=str(error))
                    return
        if asker == self.me:
            self.answered(self.me, seq, answer)
        else:
            self._ports.tell(asker, Note("answer", seq, self.me, answer))
