"""Sessions of the connections that other programs open to a control process, and dispatch of their records.

While this member is not the head, the hello of a caller or an agent is kept here. It is passed to the head when this
member becomes head, and taken back when the head is deposed.
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

# Frame size limits by kind of sender, which is known from the first record.
MAX_MEMBER_FRAME_BYTES, MAX_CALLER_FRAME_BYTES, MAX_AGENT_FRAME_BYTES = 16 << 20, (8 << 20) + (64 << 10), 4 << 20

Session = CallerSession | AgentSession | CallerHello | AgentHello | None  # None before the first record


class CoreSessions:
    """The incoming connections. `replica` returns the current replica, which changes when the disk is reopened."""

    def __init__(self, replica: Callable[[], Replica], links: ChainLinks) -> None:
        self._replica, self._links = replica, links
        self._head: Head | None = None
        self._sessions: dict[Connection, Session] = {}

    # ---- the head ----------------------------------------------------------------------------------------

    def start_serving(self, head: Head) -> None:
        """Open the sessions of waiting callers and agents; this member is the head now."""
        self._head = head
        for connection, session in list(self._sessions.items()):
            if isinstance(session, CallerHello):
                self._sessions[connection] = head.caller_hello(connection, session)
            elif isinstance(session, AgentHello):
                self._sessions[connection] = head.agent_hello(connection, session)

    def stop_serving(self) -> None:
        """Turn the sessions back into waiting hellos; this member is not the head any more."""
        self._head = None
        for connection, session in list(self._sessions.items()):
            if isinstance(session, CallerSession):
                self._sessions[connection] = session.to_hello()
            elif isinstance(session, AgentSession):
                self._sessions[connection] = session.hello

    def view_changed(self, view: View) -> None:
        """Announce the view to waiting callers, and redirect waiting agents to the head."""
        for connection, session in list(self._sessions.items()):
            if isinstance(session, CallerHello):
                connection.send(CallerWelcome(view, False))
            elif isinstance(session, AgentHello):
                self._redirect_agent(connection)

    # ---- connections -------------------------------------------------------------------------------------

    def opened(self, connection: Connection) -> None:
        self._sessions[connection] = None

    def received(self, connection: Connection, record: Record) -> None:
        """Dispatch a record from an incoming connection."""
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
                connection.max_frame_bytes, connection.urgent = MAX_MEMBER_FRAME_BYTES, True
                self._sessions.pop(connection, None)
                self._links.accepted(connection)
                self._links.received(connection, record)
            case CallerHello():
                connection.max_frame_bytes = MAX_CALLER_FRAME_BYTES
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
        connection.max_frame_bytes = MAX_AGENT_FRAME_BYTES
        if self._head is not None:
            self._sessions[connection] = self._head.agent_hello(connection, hello)
            return
        self._sessions[connection] = hello
        self._redirect_agent(connection)

    def _redirect_agent(self, connection: Connection) -> None:
        """Redirect an agent to the head and close the connection, unless this member is about to serve as the head."""
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
