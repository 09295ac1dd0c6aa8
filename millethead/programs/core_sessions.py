"""Connections that other programs have opened to a control process: whose they are, and who takes what they send.

A caller's or an agent's hello waits here while this member is not the head; the head that begins gets it, and one that
is deposed gives it back.
"""

from __future__ import annotations

from collections.abc import Callable

from millethead.control.agents import AgentSession
from millethead.control.calls import CallerHello, CallerPing, CallerPong, CallerWelcome
from millethead.control.configuration_stream import CallerSession
from millethead.control.head import Head
from millethead.execution.messages import AgentHello, AgentTurnedAway
from millethead.programs.chain_links import ChainLinks
from millethead.replication.chain_ports import Role
from millethead.replication.messages import ChainHello
from millethead.replication.replica import Replica
from millethead.replication.view import View
from millethead.rpc.codec import Record
from millethead.rpc.connection import Connection

# Bytes of the largest frame by who sends it, once its first record has told.
MEMBER_FRAME, CALLER_FRAME, AGENT_FRAME = 16 << 20, (8 << 20) + (64 << 10), 4 << 20

Session = CallerSession | AgentSession | CallerHello | AgentHello | None  # None: nothing has come yet


class CoreSessions:
    """`replica` gives the one that is in place: a disk that was read anew brings another."""

    def __init__(self, replica: Callable[[], Replica], links: ChainLinks) -> None:
        self._replica, self._links = replica, links
        self._head: Head | None = None
        self._sessions: dict[Connection, Session] = {}

    # ---- the head ----------------------------------------------------------------------------------------

    def begin(self, head: Head) -> None:
        """This member serves as the head: whoever waits is told."""
        self._head = head
        for connection, session in list(self._sessions.items()):
            if isinstance(session, CallerHello):
                self._sessions[connection] = head.caller_hello(connection, session)
            elif isinstance(session, AgentHello):
                self._sessions[connection] = head.agent_hello(connection, session)

    def end(self) -> None:
        """It is the head no more."""
        self._head = None
        for connection, session in list(self._sessions.items()):
            if isinstance(session, CallerSession):
                self._sessions[connection] = session.to_hello()
            elif isinstance(session, AgentSession):
                self._sessions[connection] = session.hello

    def view_changed(self, view: View) -> None:
        """Tell those who wait where the head is."""
        for connection, session in list(self._sessions.items()):
            if isinstance(session, CallerHello):
                connection.send(CallerWelcome(view, False))
            elif isinstance(session, AgentHello):
                self._turn_agent_away(connection)

    # ---- connections -------------------------------------------------------------------------------------

    def opened(self, connection: Connection) -> None:
        self._sessions[connection] = None

    def received(self, connection: Connection, record: Record) -> None:
        """A record on a connection that another program has opened."""
        if connection in self._links:
            self._links.received(connection, record)
            return
        session = self._sessions.get(connection)
        if session is None:
            self._first_record(connection, record)
        elif self._head is not None and isinstance(session, CallerSession):
            self._head.caller_record(session, record)
        elif self._head is not None and isinstance(session, AgentSession):
            self._head.agent_record(session, record)
        elif isinstance(session, CallerHello) and isinstance(record, CallerPing):
            view = self._replica().view
            current = record.epoch == view.epoch and not record.serving
            connection.send(CallerPong() if current else CallerWelcome(view, False))

    def _first_record(self, connection: Connection, record: Record) -> None:
        match record:
            case ChainHello():
                connection.max_frame_bytes, connection.urgent = MEMBER_FRAME, True
                self._sessions.pop(connection, None)
                self._links.taken(connection)
                self._links.received(connection, record)
            case CallerHello():
                connection.max_frame_bytes = CALLER_FRAME
                if self._head is not None:
                    self._sessions[connection] = self._head.caller_hello(connection, record)
                else:
                    self._sessions[connection] = record
                    connection.send(CallerWelcome(self._replica().view, False))
            case AgentHello():
                self._agent_hello(connection, record)
            case _:
                connection.close()

    def _agent_hello(self, connection: Connection, hello: AgentHello) -> None:
        connection.max_frame_bytes = AGENT_FRAME
        if self._head is not None:
            self._sessions[connection] = self._head.agent_hello(connection, hello)
            return
        self._sessions[connection] = hello
        self._turn_agent_away(connection)

    def _turn_agent_away(self, connection: Connection) -> None:
        """Unless this member is to be the head in a moment, name the one that is."""
        if self._replica().chain.role is Role.HEAD:
            return
        view = self._replica().view
        connection.send(AgentTurnedAway(view.epoch, self._replica().head_address, view.addresses()))
        connection.close()

    def closed(self, connection: Connection) -> None:
        if connection in self._links:
            self._links.closed(connection)
            return
        session = self._sessions.pop(connection, None)
        if self._head is None:
            return
        if isinstance(session, CallerSession):
            self._head.caller_disconnected(session)
        elif isinstance(session, AgentSession):
            self._head.agent_disconnected(session)
