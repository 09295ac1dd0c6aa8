"""A refused call has no effect, even if a copy of it arrives late on a connection that its caller has replaced."""

from __future__ import annotations

from random import Random

import pytest
from test_head import NAME, FakeLink, HeadHarness, document, job

from millethead.control import caller_fence
from millethead.control.caller_fence import CallerFence
from millethead.control.calls import CallAnswer, CallerHello, HeadCall, JobCall, caller_id, new_call_numbers
from millethead.control.configuration_stream import CallerSession
from millethead.replication.log_position import NO_POSITION
from millethead.replication.view import View
from millethead.rpc.codec import encode_any

CALLER = 7 << 32
NOT_FOUND = 404


class Caller:
    """One program that calls the head on one connection after another."""

    def __init__(self, harness: HeadHarness, node: str = "d9") -> None:
        self._harness, self._node = harness, node
        self.connect()

    def connect(self) -> CallerSession:
        """Open a connection, in place of the one before."""
        self.link = FakeLink()
        self.session = self._harness.head.caller_hello(self.link, CallerHello(self._node, 0, 0, NO_POSITION, True))
        return self.session

    def post(self, number: int, path: str, session: CallerSession | None = None, epoch: int = 1) -> list[int]:
        """Hand a job in; return the status codes that come on the newest connection."""
        call = JobCall(number, "POST", "jobs.example", path + NAME, job())
        self._harness.head.caller_record(session or self.session, HeadCall(epoch, encode_any(call)))
        self._harness.settle()
        return [answer.status for answer in self.link.take(CallAnswer)]


def refused_on_a_new_connection(harness: HeadHarness, number: int) -> tuple[Caller, CallerSession]:
    """A caller whose call was refused on its second connection; its first one, where a copy is still on its way."""
    caller = Caller(harness)
    replaced = caller.session
    caller.connect()
    assert caller.post(number, "/new/") == [NOT_FOUND]
    assert harness.configure(document(2, new={}), 1) == 200
    return caller, replaced


def test_copy_of_a_refused_call_on_a_replaced_connection_is_ignored() -> None:
    """Guards against REFUSED: a job ran although its only hand-in was answered 404."""
    harness = HeadHarness()
    caller, replaced = refused_on_a_new_connection(harness, CALLER + 1)
    assert caller.post(CALLER + 1, "/new/", replaced) == []
    assert not harness.state.jobs.jobs


def test_the_fence_holds_in_the_next_views_of_the_same_head() -> None:
    """Guards against a copy that the head takes since it led in the epoch of the copy too."""
    harness = HeadHarness()
    caller, replaced = refused_on_a_new_connection(harness, CALLER + 1)
    harness.head.continue_in_view(View(2, (), ()))
    caller.post(CALLER + 1, "/new/", replaced, epoch=1)
    assert not harness.state.jobs.jobs


def test_new_call_on_the_new_connection_is_taken() -> None:
    harness = HeadHarness()
    caller, _ = refused_on_a_new_connection(harness, CALLER + 1)
    assert caller.post(CALLER + 2, "/new/") == [200]


def test_connections_of_different_callers_do_not_replace_each_other() -> None:
    """A dispatcher and a control process of one machine call under the same node name."""
    harness = HeadHarness()
    first, second = Caller(harness), Caller(harness)
    assert second.post(CALLER + (1 << 32) + 1, "/slow/") == [200]
    assert first.post(CALLER + 1, "/slow/") == [200]


def test_callers_from_before_caller_ids_are_not_fenced() -> None:
    harness = HeadHarness()
    first, second = Caller(harness), Caller(harness)
    assert second.post(1, "/slow/") == [200]
    assert first.post(1, "/slow/") == [200]


def test_number_of_remembered_callers_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_fence, "MAX_CALLERS", 2)
    fence = CallerFence()
    for caller in (1, 2, 1, 3):
        assert fence.admits(caller, 5)
    assert not fence.admits(1, 4) and not fence.admits(3, 4)
    assert fence.admits(2, 4)  # forgotten: the least recently heard of three


def test_caller_ids_are_never_zero() -> None:
    assert all(caller_id(new_call_numbers(Random(seed))) for seed in range(100))
