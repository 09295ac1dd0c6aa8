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

from millethead.rollout import state as fleet_state
from millethead.rollout.driver import Change
from millethead.rollout.messages import RolloutMessage
from millethead.rollout.register import ZERO_BALLOT, Acceptor, ChangeRefused, RegisterMessage, Round
from millethead.rollout.state import State
from millethead.rollout.store import AcceptorStore

log = structlog.get_logger("rollout")
RETRY_INTERVAL_S = 0.08  # until an unanswered request is repeated
CHANGE_TIMEOUT_S = 0.7  # a change must be agreed on within this time; the operator waits for one second
BACKOFF_S = (0.005, 0.06)  # after a round that was superseded by a higher ballot


class NoMajority(Exception):
    """Raised if no majority of the voters answered in time. The text says whether the change may still take effect."""


class AgreementPorts(Protocol):
    """What `Agreement` needs from its surroundings."""

    @property
    def voters(self) -> tuple[str, ...]:
        """The current voters, as far as this dispatcher knows."""

    def with_initial_roles(self, state: State) -> State:
        """Returns the state with the configured voters and stewards filled in where none were agreed on yet."""

    def apply_agreed(self, state: State) -> State:
        """Applies an agreed state. Returns the newest state that is known now."""

    def send(self, name: str, message: RolloutMessage) -> None:
        """Sends a message to a dispatcher."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs `work` in the background until the program ends."""


def decode_voters(value: bytes) -> tuple[str, ...]:
    """Returns the voters named in an encoded state. Returns none if the state is of another version, which this
    dispatcher never changes."""
    try:
        return fleet_state.decode_state(value).voters
    except ValueError:
        return ()


class Agreement:
    """Proposer and acceptor of one dispatcher.

    `process` identifies this process and must differ from that of any earlier process of this dispatcher.
    `first_voters` decide until other voters are agreed on.
    """

    def __init__(
        self, me: str, process: str, first_voters: tuple[str, ...], store: AcceptorStore, ports: AgreementPorts
    ) -> None:
        self.me, self._process, self._first_voters, self._ports = me, process, first_voters, ports
        self._store = store  # kept also by dispatchers that are not voters, since they may become voters
        self._acceptor = Acceptor(store.load())
        self._random = random.Random(process)
        self._rounds: dict[int, tuple[Round, asyncio.Event]] = {}
        self._voter_checks: dict[int, asyncio.Event] = {}  # requests of `answers_as_voter` that wait for any answer
        self._seq, self._highest_ballot = 0, 0
        self._change_lock, self._disk_lock = asyncio.Lock(), asyncio.Lock()

    @property
    def accepted_voters(self) -> tuple[str, ...]:
        """The voters named in the value that this dispatcher accepted last, if any."""
        return decode_voters(self._acceptor.state.value)

    # ---- proposing -----------------------------------------------------------------------------------------

    async def change(self, change: Change, seconds: float = CHANGE_TIMEOUT_S) -> State:
        """Proposes a change until it is agreed on, and returns the resulting state. Raises ChangeRefused with the
        reason if the change does not apply, and NoMajority."""
        deadline = time.monotonic() + seconds
        try:
            async with asyncio.timeout(seconds):
                await self._change_lock.acquire()
        except TimeoutError:
            raise NoMajority("no majority of the voters answered; nothing was changed") from None
        try:
            return await self._propose(change, deadline)
        finally:
            self._change_lock.release()

    async def _propose(self, change: Change, deadline: float) -> State:
        def apply_change(old_value: bytes) -> bytes:
            try:
                return fleet_state.encode_state(
                    change(self._ports.with_initial_roles(fleet_state.decode_state(old_value)))
                )
            except ValueError as error:  # a state of another version is not changed
                raise ChangeRefused(str(error)) from None

        may_be_accepted = False
        while time.monotonic() < deadline:
            self._highest_ballot += 1
            paxos_round = Round((self._highest_ballot, self._process), self._first_voters, apply_change, decode_voters)
            may_be_accepted = await self._run_round(paxos_round, deadline) or may_be_accepted
            if paxos_round.is_chosen:
                state = self._ports.apply_agreed(fleet_state.decode_state(paxos_round.value or b""))
                if paxos_round.refusal is not None:
                    raise paxos_round.refusal
                return state
            if paxos_round.superseded_by is not None:
                self._highest_ballot = max(self._highest_ballot, paxos_round.superseded_by[0])
                await asyncio.sleep(self._random.uniform(*BACKOFF_S))
        raise NoMajority(
            "no majority of the voters answered in time; "
            + ("the change may still come to be: see GET /fleet" if may_be_accepted else "nothing was changed")
        )

    async def _run_round(self, paxos_round: Round, deadline: float) -> bool:
        """Repeats the requests of one round until it ends or the deadline passes. Returns whether a voter may have
        accepted the change."""
        self._seq += 1
        seq, progress, may_be_accepted = self._seq, asyncio.Event(), False
        self._rounds[seq] = paxos_round, progress
        try:
            while (
                not paxos_round.is_chosen
                and paxos_round.superseded_by is None
                and (left := deadline - time.monotonic()) > 0
            ):
                self._send_requests(seq, paxos_round)
                may_be_accepted = may_be_accepted or (paxos_round.value is not None and paxos_round.refusal is None)
                progress.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(min(RETRY_INTERVAL_S, left)):
                        await progress.wait()
        finally:
            del self._rounds[seq]
        return may_be_accepted

    def _send_requests(self, seq: int, paxos_round: Round) -> None:
        message = paxos_round.request()
        # The initial voters may all be gone. The currently known voters can answer with the newest value.
        for voter in (
            paxos_round.voters
            if paxos_round.value is not None
            else dict.fromkeys((*paxos_round.voters, *self._ports.voters))
        ):
            self._send_request(voter, seq, message)

    def _send_request(self, voter: str, seq: int, message: RegisterMessage) -> None:
        if voter == self.me:
            self._ports.spawn(self.handle_request(voter, seq, message))
        else:
            self._ports.send(voter, RolloutMessage("ask", seq, self.me, message))

    async def answers_as_voter(self, name: str, seconds: float = CHANGE_TIMEOUT_S) -> bool:
        """Returns whether a dispatcher answers requests to voters. Checked before it becomes a voter."""
        self._seq += 1
        seq, answered = self._seq, asyncio.Event()
        self._voter_checks[seq] = answered
        try:
            async with asyncio.timeout(seconds):
                while not answered.is_set():
                    # the zero ballot adds no promise
                    self._send_request(name, seq, RegisterMessage("prepare", ZERO_BALLOT))
                    with suppress(TimeoutError):
                        async with asyncio.timeout(RETRY_INTERVAL_S):
                            await answered.wait()
        except TimeoutError:
            return False
        finally:
            del self._voter_checks[seq]
        return True

    def handle_answer(self, voter: str, seq: int, message: RegisterMessage) -> None:
        """Handles an answer of a voter."""
        if seq in self._voter_checks:
            self._voter_checks[seq].set()
        paxos_round, progress = self._rounds.get(seq, (None, None))
        if paxos_round is not None and progress is not None:
            if paxos_round.handle(voter, message):
                self._send_requests(seq, paxos_round)
            if paxos_round.is_chosen or paxos_round.superseded_by is not None:
                progress.set()

    # ---- voting --------------------------------------------------------------------------------------------

    async def handle_request(self, proposer: str, seq: int, message: RegisterMessage) -> None:
        """Answers a proposer's request as a voter, after the acceptor's state is on disk."""
        async with self._disk_lock:
            previous_state = self._acceptor.state
            answer, changed = self._acceptor.handle(message)
            if changed:
                try:
                    await asyncio.get_running_loop().run_in_executor(None, self._store.save, self._acceptor.state)
                except OSError as error:
                    self._acceptor.state = previous_state
                    log.error("rollout_not_stored", why=str(error))
                    return
        if proposer == self.me:
            self.handle_answer(self.me, seq, answer)
        else:
            self._ports.send(proposer, RolloutMessage("answer", seq, self.me, answer))
