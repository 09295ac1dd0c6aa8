"""Tests of consensus, slots and releases: a model check, state machines, and damage to stored files."""

import asyncio
import copy
import os
import random
import tempfile
import unittest
from functools import partial
from itertools import combinations
from pathlib import Path
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from millethead.config import ConfigError
from millethead.members.setup import MembersSetup
from millethead.members.shell import Members
from millethead.members.steward_role import StewardAssignment
from millethead.operators import load_operator
from millethead.rollout import state as fleet_state
from millethead.rollout.driver import Driver, SubjectView
from millethead.rollout.health import Counts, counts_since, find_regression, sum_counts
from millethead.rollout.register import Acceptor, AcceptorState, ChangeRefused, RegisterMessage, Round
from millethead.rollout.setup import RolloutSetup, max_out_of
from millethead.rollout.shell import Rollout
from millethead.rollout.state import (
    DISPATCHERS,
    DONE,
    HALTED,
    RUNNING,
    UNDOING,
    UNDONE,
    HealthLimits,
    Release,
    Slot,
    State,
)
from millethead.rollout.store import STATE_COPY_BYTES, AcceptorStore
from millethead.tables import LoopbackAddress

EXAMPLES = int(os.environ.get("ROLLOUT_EXAMPLES", "60"))
VOTERS = ("v0", "v1", "v2")


def on_bytes(change):
    return lambda old: fleet_state.encode_state(change(fleet_state.decode_state(old)))


class Model:
    """Explores breadth first every order in which the messages of some proposers can reach the voters.

    A sent message stays in the network. One that is never delivered is lost, was sent into a partition, or its receiver
    was killed; one that is delivered after others is delayed. A voter's state is on disk before it answers, so a crash
    of a voter changes nothing. A proposer that crashes and restarts is one more entry in `attempts`, under its own
    ballot.
    """

    def __init__(self, attempts, first=b"", short=False, alike=(VOTERS,)):
        """With `short`, fewer states with the same outcomes are explored: an answer is delivered at once or lost. An
        answer that is delivered later makes its proposer send `accept` later, which equals a late delivery of `accept`.
        A proposer uses the set of promises, not their order. A nack only ends a proposer, which equals no further
        delivery to it.

        `alike` groups all current and future voters that no value distinguishes.
        """
        self.names = sorted(name for group in alike for name in group)
        self.alike = [[self.names.index(name) for name in group] for group in alike]
        self.attempts, self.short = attempts, short  # (ballot, change) of each proposer, which may start at any time
        stored = AcceptorState((1, ""), (1, ""), first) if first else AcceptorState()
        voters = tuple(stored if name in VOTERS else AcceptorState() for name in self.names)
        self.start = voters, (None,) * len(attempts), frozenset()

    def key(self, state):
        """Returns the same key for states that differ only by the names of `alike` voters: everything about a voter is
        one record, and a proposer only counts them."""
        voters, rounds, network = state
        about = [[] for _ in voters]
        for n, v, message in network:
            about[v].append((n, message))
        records = [
            hash(
                (
                    stored,
                    frozenset(about[v]),
                    tuple(
                        paxos_round and (self.names[v] in paxos_round._promised, self.names[v] in paxos_round._accepted)
                        for paxos_round in rounds
                    ),
                )
            )
            for v, stored in enumerate(voters)
        ]
        return hash(
            (
                *(tuple(sorted(records[v] for v in group)) for group in self.alike),
                *(
                    paxos_round
                    and (
                        paxos_round.value,
                        paxos_round._newest_accepted,
                        paxos_round.superseded_by,
                        paxos_round.refusal is None,
                        paxos_round.voters,
                    )
                    for paxos_round in rounds
                ),
            )
        )

    def next(self, state):
        voters, rounds, network = state
        for n, paxos_round in enumerate(rounds):
            if paxos_round is None:
                made = Round(
                    self.attempts[n][0],
                    VOTERS,
                    on_bytes(self.attempts[n][1]),
                    lambda old: fleet_state.decode_state(old).voters,
                )
                yield voters, self._with(rounds, n, made), network | self.asks(n, made)
        for n, v, message in network:
            if message.kind in ("prepare", "accept"):
                acceptor = Acceptor(voters[v])
                answer, _ = acceptor.handle(message)
                if self.short:
                    left, moved = network - {(n, v, message)}, self._with(voters, v, acceptor.state)
                    if answer.kind == "promise":
                        yield moved, rounds, left
                    if answer.kind != "nack":
                        paxos_round = copy.copy(rounds[n])
                        more = paxos_round.handle(self.names[v], answer)
                        asked = self.asks(n, paxos_round) if more else set()
                        yield moved, self._with(rounds, n, paxos_round), left | asked
                    continue
                yield self._with(voters, v, acceptor.state), rounds, (network - {(n, v, message)}) | {(n, v, answer)}
            else:
                paxos_round = copy.copy(rounds[n])
                more = paxos_round.handle(self.names[v], message)
                asked = self.asks(n, paxos_round) if more else set()
                yield voters, self._with(rounds, n, paxos_round), (network - {(n, v, message)}) | asked

    def asks(self, n, paxos_round):
        return {(n, self.names.index(name), paxos_round.request()) for name in paxos_round.voters}

    @staticmethod
    def _with(entries, n, entry):
        return (*entries[:n], entry, *entries[n + 1 :])

    @staticmethod
    def settle(state):
        """Drops messages that can have no effect any more. The possible futures stay the same with fewer states."""
        voters, rounds, network = state
        useful = set()
        for n, v, message in network:
            paxos_round = rounds[n]
            over = paxos_round.is_chosen or paxos_round.superseded_by is not None
            if over and message.kind not in ("prepare", "accept"):
                continue
            if (
                (message.kind == "promise" or message.kind == "prepare")
                and paxos_round.value is not None
                and (message.kind == "promise" or message.ballot < voters[v].promised)
            ):
                continue
            useful.add((n, v, message))
        return voters, rounds, frozenset(useful)

    def explore(self, check, most=10**6, enough=10**9):
        """Returns the number of states and of outcomes. `check` is called with the chosen rounds of each state with a
        new outcome. Exploration stops after `enough` states, those with the fewest steps."""
        todo = [self.settle(self.start)]
        seen, ends = set(), set()
        while todo:
            fresh = []
            for state in todo:
                for made in self.next(state):
                    made = self.settle(made)
                    key = self.key(made)
                    if key in seen:
                        continue
                    seen.add(key)
                    fresh.append(made)
                    end = tuple(r and r.is_chosen and (r.value, r.refusal is None) for r in made[1])
                    if any(end) and end not in ends:
                        ends.add(end)
                        check([r for r in made[1] if r and r.is_chosen])
                    if len(seen) >= enough:
                        return len(seen), len(ends)
                    if len(seen) > most:
                        raise AssertionError(f"more than {most} states")
            todo = fresh
        return len(seen), len(ends)


class ModelCheck(unittest.TestCase):
    def one_history(self, rounds):
        """All agreed states form one history: no two states of the same revision differ, and nothing agreed is lost."""
        states = sorted((fleet_state.decode_state(r.value) for r in rounds), key=lambda s: s.rev)
        for old, new in combinations(states, 2):
            if old.rev == new.rev:
                self.assertEqual(old, new)
            self.assertTrue({s.token for s in old.slots} <= {s.token for s in new.slots}, (old, new))
        self.assertTrue(all(s.out_count(DISPATCHERS) <= 2 for s in states))
        done = [r for r in rounds if r.refusal is None]
        self.assertLessEqual(len(done), 2)  # two slots: each accepted proposer has its own
        self.assertEqual(len({fleet_state.decode_state(r.value).last_token for r in done}), len(done))

    def test_three_members_compete_for_two_slots_in_every_order_of_messages(self):
        first = fleet_state.encode_state(fleet_state.take_slot(State(), DISPATCHERS, "d9", 2, "v0"))
        attempts = [
            ((2, "v0"), lambda s: fleet_state.take_slot(s, DISPATCHERS, "d0", 2, "v0")),
            ((2, "v1"), lambda s: fleet_state.take_slot(s, DISPATCHERS, "d1", 2, "v1")),
        ]
        for start in (first, b""):  # one slot left, and both left
            found = set(), set()
            for short in (False, True):

                def check(rounds, ends=found[short]):
                    self.one_history(rounds)
                    ends.add(tuple((r.ballot, r.value, r.refusal is None) for r in rounds))

                states, ends = Model(attempts, start, short).explore(check)
                print(f"two at once, {1 if start else 2} left, short={short}: {states} states, {ends} ends")
                self.assertGreater(states, 200)
            self.assertEqual(*found)  # the short exploration finds every outcome
        attempts.append(((2, "v2"), lambda s: fleet_state.take_slot(s, DISPATCHERS, "d2", 2, "v2")))
        states, ends = Model(attempts, b"", short=True).explore(self.one_history)
        print(f"three at once, two slots left: {states} states, {ends} ends")

    def voters_change(self, change, *alike, enough=10**9):
        """Two proposers compete for the last slot while the voters change. All of them start from the first list of
        voters."""

        def check(rounds):
            self.one_history(rounds)
            self.assertTrue(all(fleet_state.decode_state(r.value).out_count(DISPATCHERS) <= 1 for r in rounds))

        attempts = [
            ((2, f"v{n}"), change)
            for n, change in enumerate(
                (
                    change,
                    lambda s: fleet_state.take_slot(s, DISPATCHERS, "d0", 1, "v0"),
                    lambda s: fleet_state.take_slot(s, DISPATCHERS, "d1", 1, "v1"),
                )
            )
        ]
        return Model(attempts, fleet_state.encode_state(State(voters=VOTERS)), True, alike).explore(
            check, enough=enough
        )

    def test_a_voter_is_removed_while_two_compete_for_the_last_slot(self):
        states, ends = self.voters_change(
            partial(fleet_state.remove_voter, name="v2", present=VOTERS), ("v0", "v1"), ("v2",)
        )
        print(f"a voter removed while two want the last slot: {states} states, {ends} ends")

    def test_a_voter_is_added_while_two_compete_for_the_last_slot(self):
        """Explores the first states only. All states take minutes: run manually with ROLLOUT_EXAMPLES=2000."""
        enough = 10**9 if EXAMPLES >= 1000 else 60_000
        states, ends = self.voters_change(partial(fleet_state.add_voter, name="v3"), VOTERS, ("v3",), enough=enough)
        print(f"a voter added while two want the last slot: {states} states, {ends} ends")
        self.assertGreaterEqual(states, min(enough, 400_000))
        self.assertGreater(ends, 1)

    def test_the_check_detects_the_unsafe_change_of_two_voters_at_a_time(self):
        with self.assertRaises(AssertionError) as found:
            two = partial(fleet_state._with_changes, voters=("v0", "v3", "v4"))
            self.voters_change(two, ("v0",), ("v1", "v2"), ("v3", "v4"))
        self.assertNotIn("more than", str(found.exception))

    def test_a_proposer_that_restarts_and_tries_again_takes_no_second_slot(self):
        take = lambda s: fleet_state.take_slot(s, DISPATCHERS, "d0", 2, "v0")  # noqa: E731
        states, ends = Model([((2, "v0@1"), take), ((3, "v0@2"), take)]).explore(self.one_slot)
        print(f"killed and started anew: {states} states, {ends} ends")

    def one_slot(self, rounds):
        self.one_history(rounds)
        self.assertLessEqual(sum(r.refusal is None for r in rounds), 1)
        self.assertTrue(all(fleet_state.decode_state(r.value).out_count(DISPATCHERS) <= 1 for r in rounds))

    def test_a_restart_is_begun_once_with_two_drivers(self):
        first = fleet_state.encode_state(fleet_state.take_slot(State(), DISPATCHERS, "d0", 2, "v0", 7.0))
        begin = partial(fleet_state.begin_restart, token=1, process_start=7.0)
        states, _ = Model([((2, "v0"), begin), ((2, "v1"), begin)], first).explore(self.restart_begun_once)
        print(f"begun by two at once: {states} states")

    def restart_begun_once(self, rounds):
        self.assertLessEqual(sum(r.refusal is None for r in rounds), 1)
        self.assertTrue(all(fleet_state.decode_state(r.value).slots[0].restart_begun for r in rounds))


class RandomRuns(unittest.TestCase):
    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.integers(0, 2**32))
    def test_five_voters_and_many_changes_over_a_network_that_loses_duplicates_and_delays(self, seed):
        """Random runs in which members take, begin and free slots, drive a release, are partitioned and killed. Run
        manually with many examples: ROLLOUT_EXAMPLES=2000."""
        rng = random.Random(seed)
        names = tuple(f"v{n}" for n in range(5))
        voters = {name: Acceptor() for name in names}
        network, rounds, top, history, begun_tokens = [], {}, 0, {}, []
        plan = Release(0, DISPATCHERS, "2", (("d0",), ("d1", "d2")), 1, 0.0, 9.0)
        most = 2
        for _ in range(rng.randrange(50, 300)):
            what = rng.random()
            if what < 0.12:
                who = rng.choice(names)
                subject, token = f"d{rng.randrange(4)}", rng.randrange(1, 9)
                change = rng.choice(
                    (
                        partial(fleet_state.take_slot, group=DISPATCHERS, subject=subject, max_out=most, by=who),
                        partial(fleet_state.begin_restart, token=token, process_start=1.0),
                        partial(fleet_state.free_slot, token=token),
                        partial(fleet_state.start_release, plan=plan),
                        partial(fleet_state.halt_release, reason="x"),
                        fleet_state.resume_release,
                        fleet_state.undo_release,
                        partial(
                            fleet_state.take_update_slot,
                            subject=subject,
                            max_out=most,
                            by=who,
                            process_start=0.0,
                            previous_version="1",
                        ),
                        partial(fleet_state.finish_step, step_index=rng.randrange(2)),
                    )
                )
                top = max(1, top + rng.choice((0, 1, 1, 2)))
                # each attempt is a process of its own, so ballots are never shared
                ballot = (top, f"{who}@{len(rounds)}")
                rounds[ballot] = paxos_round = Round(ballot, names, on_bytes(change)), change
                network += [(ballot, v, paxos_round[0].request()) for v in names]
            elif what < 0.15 and rounds:
                rounds.pop(rng.choice(sorted(rounds)))  # the proposer is killed and loses its state
            elif network:
                ballot, v, message = network[rng.randrange(len(network))]
                if rng.random() < 0.8:
                    network.remove((ballot, v, message))
                if rng.random() < 0.15 or ballot not in rounds:
                    continue
                paxos_round, change = rounds[ballot]
                if message.kind in ("prepare", "accept"):
                    stored = Acceptor(voters[v].state)  # as loaded from its file
                    network.append((ballot, v, stored.handle(message)[0]))
                    voters[v] = stored
                    continue
                before = paxos_round.is_chosen
                if paxos_round.handle(v, message):
                    network += [(ballot, voter, paxos_round.request()) for voter in names]
                if paxos_round.is_chosen and not before:
                    state = fleet_state.decode_state(paxos_round.value)
                    self.assertEqual(history.setdefault(state.rev, state), state, seed)
                    self.assertLessEqual(state.out_count(DISPATCHERS), most)
                    if state.release is not None:
                        ours = [s for s in state.slots if abs(s.release) == state.release.id]
                        self.assertLessEqual(len(ours), plan.max_out)
                    if paxos_round.refusal is None and getattr(change, "func", None) is fleet_state.begin_restart:
                        begun_tokens.append(change.keywords["token"])
        self.assertEqual(len(begun_tokens), len(set(begun_tokens)), seed)
        tokens = [(s.token, s.subject) for state in history.values() for s in state.slots]
        self.assertEqual(len({t for t, _ in tokens}), len(set(tokens)))  # a token identifies one step only


class Fleet:
    """Members that execute agreed steps, and a driver that may be replaced at any time."""

    def __init__(self, names, most=1, lease=30.0):
        self.state, self.now, self.most, self.lease = State(), 0.0, most, lease
        self.views = {name: SubjectView(True, True, 1.0, "1") for name in names}
        self.driver, self.unhealthy, self.restarted, self.worst = Driver("d0", lease), "", [], 0

    def turn(self, seconds=1.0, restarts=True):
        self.now += seconds
        tick = self.driver.tick(self.now, self.state, self.views, lambda group: self.most, lambda r: self.unhealthy)
        for _, change in tick:
            try:
                self.state = change(self.state)
            except ChangeRefused:
                continue
            self.worst = max(self.worst, self.state.out_count(DISPATCHERS))
        for slot in self.state.slots if restarts else ():
            if not slot.restart_begun:
                self.state = fleet_state.begin_restart(self.state, slot.token, self.views[slot.subject].process_start)
                self.restarted.append((slot.subject, slot.version))
                version = slot.version or self.views[slot.subject].version
                self.views[slot.subject] = SubjectView(True, True, self.now + 0.5, version)

    def plan(self, *steps, soak=2.0, max_out=1, back=20.0):
        self.state = fleet_state.start_release(self.state, Release(0, DISPATCHERS, "2", steps, max_out, soak, back))

    @property
    def release(self):
        return self.state.release


class Releases(unittest.TestCase):
    def test_a_release_runs_step_by_step_with_soaks_and_changing_drivers(self):
        fleet = Fleet(["d0", "d1", "d2"])
        fleet.plan(("d0",), ("d1", "d2"))
        for _ in range(60):
            if fleet.now % 5 == 0:
                fleet.driver = Driver("d1", 30.0)  # another dispatcher takes over and measures from zero
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.restarted), (DONE, [("d0", "2"), ("d1", "2"), ("d2", "2")]))
        self.assertEqual(fleet.worst, 1)

    def test_undo_restores_the_last_updated_first_within_the_same_budget(self):
        fleet = Fleet(["d0", "d1", "d2"], most=2)
        fleet.plan(("d0",), ("d1", "d2"), max_out=2)
        while fleet.release.status == RUNNING:
            fleet.turn()
        fleet.restarted.clear()
        fleet.state = fleet_state.undo_release(fleet.state)
        for _ in range(20):
            fleet.turn()
        self.assertEqual(fleet.release.status, UNDONE)
        self.assertEqual(fleet.restarted, [("d2", "1"), ("d1", "1"), ("d0", "1")])
        self.assertLessEqual(fleet.worst, 2)

    def test_an_unhealthy_release_halts_and_can_be_resumed_and_undone(self):
        fleet = Fleet(["d0", "d1"])
        fleet.plan(("d0",), ("d1",), soak=5.0)
        fleet.turn()
        fleet.turn()
        fleet.unhealthy = "bad"
        fleet.turn()
        self.assertEqual((fleet.release.status, fleet.release.reason), (HALTED, "bad"))
        for _ in range(20):
            fleet.turn()
        self.assertEqual(fleet.restarted, [("d0", "2")])
        fleet.unhealthy = ""
        fleet.state = fleet_state.resume_release(fleet.state)
        self.assertEqual(fleet.release.status, RUNNING)
        fleet.state = fleet_state.halt_release(fleet.state, "by hand")
        fleet.state = fleet_state.undo_release(fleet.state)
        for _ in range(5):
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.restarted[-1]), (UNDONE, ("d0", "1")))

    def test_a_member_that_never_returns_halts_the_release_and_keeps_its_slot_for_a_lease(self):
        fleet = Fleet(["d0", "d1"], lease=60.0)
        fleet.plan(("d0",), ("d1",))
        fleet.turn()
        fleet.views["d0"] = SubjectView(False, False, 1.0, "1")
        for _ in range(25):
            fleet.turn(restarts=False)
        self.assertEqual(fleet.release.status, HALTED)
        self.assertIn("d0 is not back", fleet.release.reason)
        self.assertEqual(fleet.state.out_count(DISPATCHERS), 1)
        with self.assertRaisesRegex(ChangeRefused, "no slot: 1 of dispatchers are out, and max_out is 1"):
            fleet_state.take_slot(fleet.state, DISPATCHERS, "d1", 1, "d1")
        for _ in range(60):
            fleet.turn(restarts=False)
        self.assertEqual(fleet.state.slots, ())

    def test_a_member_killed_before_it_stored_its_version_restarts_again_after_a_resume(self):
        """Guards against a release that no resume can finish (seed 1097 of benchmarks/rollout). A dispatcher that is
        killed between the begin of its restart and the write of its version file comes back with the old version."""
        fleet = Fleet(["d0", "d1"])
        fleet.plan(("d0",), ("d1",), back=5.0)
        fleet.turn(restarts=False)
        slot = fleet.state.slots[0]
        fleet.state = fleet_state.begin_restart(fleet.state, slot.token, 1.0)
        fleet.views["d0"] = SubjectView(True, True, 1.5, "1")
        for _ in range(8):
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.restarted), (HALTED, []))
        fleet.state = fleet_state.resume_release(fleet.state)
        self.assertGreater(fleet.state.slots[0].token, slot.token)
        with self.assertRaises(ChangeRefused):  # the old token is no longer valid
            fleet_state.begin_restart(fleet.state, slot.token, 1.0)
        for _ in range(12):
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.restarted), (DONE, [("d0", "2"), ("d1", "2")]))
        self.assertEqual(fleet.worst, 1)

    def test_a_partitioned_member_does_not_restart_after_a_halt(self):
        fleet = Fleet(["d0", "d1"])
        fleet.plan(("d0",), ("d1",))
        fleet.turn(restarts=False)
        token = fleet.state.slots[0].token
        fleet.state = fleet_state.halt_release(fleet.state, "by hand")
        self.assertEqual((fleet.state.slots, fleet.release.updated), ((), ()))
        with self.assertRaises(ChangeRefused):  # a late message has no effect
            fleet_state.begin_restart(fleet.state, token, 1.0)
        fleet.state = fleet_state.undo_release(fleet.state)
        self.assertEqual(fleet.release.status, UNDONE)

    def test_undo_during_an_update_waits_for_its_return(self):
        fleet = Fleet(["d0", "d1"])
        fleet.plan(("d0",), ("d1",))
        fleet.turn()
        fleet.views["d0"] = SubjectView(False, False, 1.0, "1")
        fleet.state = fleet_state.undo_release(fleet.state)
        fleet.turn()
        self.assertEqual(fleet.release.status, UNDOING)
        fleet.views["d0"] = SubjectView(True, True, fleet.now, "2")
        for _ in range(5):
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.restarted), (UNDONE, [("d0", "2"), ("d0", "1")]))

    def test_refusals_state_the_reason_and_change_nothing(self):
        state = fleet_state.start_release(State(), Release(0, DISPATCHERS, "2", (("d0",),), 1, 0.0, 9.0))
        for change, why in (
            (partial(fleet_state.start_release, plan=state.release), "is running"),
            (fleet_state.resume_release, "no release is halted"),
            (
                partial(
                    fleet_state.take_update_slot, subject="d9", max_out=1, by="", process_start=0.0, previous_version=""
                ),
                "not to be moved now",
            ),
            (
                partial(
                    fleet_state.take_update_slot, subject="d0", max_out=0, by="", process_start=0.0, previous_version=""
                ),
                "max_out is 0",
            ),
            (partial(fleet_state.finish_step, step_index=0), "not over"),
            (partial(fleet_state.free_slot, token=99), "no such slot"),
            (partial(fleet_state.cancel_drain, subject="d0"), "not out by a drain"),
        ):
            with self.assertRaisesRegex(ChangeRefused, why):
                change(state)
        with self.assertRaisesRegex(ChangeRefused, "no release"):
            fleet_state.undo_release(State())
        with self.assertRaisesRegex(ChangeRefused, "would take"):
            fleet_state.encode_state(State(slots=tuple(fleet_state.Slot("g", "x" * 200, n) for n in range(100))))
        with self.assertRaises(ValueError):
            fleet_state.decode_state(b"\x93\x03\x00\x00")
        with self.assertRaises(ValueError):
            fleet_state.decode_state(b"torn")

    def test_a_release_of_booking_workers_waits_for_each_to_restart(self):
        fleet = Fleet([])
        fleet.views |= {f"s-{n}": SubjectView(True, True, 5.0) for n in range(3)}
        fleet.state = fleet_state.start_release(
            State(), Release(0, "workers:box", "", (("s-0",), ("s-1", "s-2")), 1, 1.0, 9.0)
        )
        seen = []
        for _ in range(40):
            fleet.turn(restarts=False)
            for slot in fleet.state.slots:
                if slot.subject not in seen:
                    seen.append(slot.subject)
                elif len(seen) < 3 or fleet.now % 2:  # its supervisor restarts it
                    fleet.views[slot.subject] = SubjectView(True, True, fleet.now)
            self.assertLessEqual(fleet.state.out_count("workers:box"), 1)
        self.assertEqual((fleet.release.status, seen), (DONE, ["s-0", "s-1", "s-2"]))
        # A worker that is not restarted halts the release and stays out. Its drain can be cancelled by hand.
        fleet.state = fleet_state.start_release(
            fleet.state, Release(0, "workers:box", "", (("s-0",), ("s-1",)), 1, 1.0, 9.0)
        )
        for _ in range(15):
            fleet.turn(restarts=False)
        self.assertEqual((fleet.release.status, fleet.state.out_count("workers:box")), (HALTED, 1))
        fleet.state = fleet_state.cancel_drain(fleet.state, "s-0")
        self.assertEqual((fleet.state.slots, fleet.release.updated), ((), ()))

    def test_the_drain_of_a_worker_ends_when_it_has_restarted_and_answers(self):
        fleet = Fleet([])
        fleet.views["s-1"] = SubjectView(True, True, 5.0)
        fleet.state = fleet_state.take_slot(fleet.state, "workers:box", "s-1", 1, "d0", 5.0)
        for view, out in (
            (SubjectView(True, True, 5.0), 1),
            (SubjectView(False, False, 5.0), 1),
            (SubjectView(True, False, 9.0), 1),
            (SubjectView(True, True, 9.0), 0),
        ):
            fleet.views["s-1"] = view
            fleet.turn(restarts=False)
            self.assertEqual(fleet.state.out_count("workers:box"), out)


class Voters(unittest.TestCase):
    def test_voters_change_one_at_a_time_and_keep_a_live_majority(self):
        state = State(voters=VOTERS)
        for change, why in (
            (partial(fleet_state.add_voter, name="v1"), "v1 is a voter already"),
            (partial(fleet_state.remove_voter, name="d9", present=VOTERS), "d9 is no voter"),
            (partial(fleet_state.remove_voter, name="v0", present=("v0", "v1")), r"\(v1, v2\) no majority"),
            (lambda s: fleet_state.remove_voter(State(voters=("v0",)), "v0", VOTERS), r"\(none\) no majority"),
            (lambda s: fleet_state.add_voter(State(voters=tuple("abcdefghijklmno")), "p"), "no more than 15"),
        ):
            with self.assertRaisesRegex(ChangeRefused, why):
                change(state)
        state = fleet_state.add_voter(fleet_state.remove_voter(state, "v0", ("v1", "v2")), "v7")
        self.assertEqual((state.voters, state.rev), (("v1", "v2", "v7"), 2))
        self.assertEqual(fleet_state.decode_state(fleet_state.encode_state(state)), state)

    def test_a_proposer_with_the_initial_voters_finds_the_current_ones(self):
        """v0 and v1 are gone for good and were replaced. A process with the old configuration asks v2 and the voters it
        has learned of."""
        now = ("v2", "v3", "v4")
        value = fleet_state.encode_state(State(rev=4, voters=now))
        paxos_round = Round(
            (9, "d9"),
            VOTERS,
            on_bytes(partial(fleet_state.add_voter, name="v5")),
            lambda b: fleet_state.decode_state(b).voters,
        )
        # new voters to ask
        self.assertTrue(paxos_round.handle("v2", RegisterMessage("promise", (9, "d9"), (4, "d0"), value)))
        self.assertEqual(paxos_round.voters, now)
        self.assertFalse(paxos_round.handle("v1", RegisterMessage("promise", (9, "d9"))))  # no longer a voter
        self.assertIsNone(paxos_round.value)
        self.assertTrue(paxos_round.handle("v4", RegisterMessage("promise", (9, "d9"), (4, "d0"), value)))
        self.assertFalse(paxos_round.handle("v1", RegisterMessage("accepted", (9, "d9"))) or paxos_round.is_chosen)
        paxos_round.handle("v2", RegisterMessage("accepted", (9, "d9")))
        paxos_round.handle("v3", RegisterMessage("accepted", (9, "d9")))
        self.assertTrue(paxos_round.is_chosen)

    def test_a_refused_first_change_keeps_the_configured_voters_and_stewards(self):
        """Guards against stewards that stop granting. A refused first change confirmed an empty value, and a steward
        that learned this value found no assignment for itself."""
        with tempfile.TemporaryDirectory() as folder:
            rollout = self.rollout(folder)
            rollout._apply_state(State())
            self.assertEqual(
                (rollout.state.voters, rollout.state.stewards),
                (("d0", "d1", "d2"), (StewardAssignment("d0"), StewardAssignment("d1"))),
            )
            rollout.members.swim.steward_role.confirm(5.0, rollout.state.stewards)
            self.assertEqual(rollout.members.swim.steward.grants_until, 65.0)

    def test_a_restart_begun_without_a_confirmation_is_carried_out(self):
        """Guards against a slot that is never used. The begin of a restart was agreed on, but its proposer received no
        majority in time, or was refused in a later round because it had begun already. The dispatcher kept running, and
        its slot was out until the release halted."""
        for begun_by, version, restarts in (("me", "2", True), ("before", "2", False), ("me", "", True)):
            with self.subTest(begun_by=begun_by, version=version), tempfile.TemporaryDirectory() as folder:
                rollout = self.rollout(folder)
                start = rollout.members.swim.me.start - (begun_by == "before")
                slot = Slot(DISPATCHERS, "d0", 1, "d1", True, start, version)
                rollout.state = State(rev=1, last_token=1, slots=(slot,))
                for _ in range(2):
                    asyncio.run(rollout._restart_if_due())
                self.assertEqual(rollout.host.leave.call_count, int(restarts))
                self.assertEqual(Path(folder, "d0.wanted").exists(), restarts and bool(version))

    def test_a_version_file_that_cannot_be_written_is_tried_once_for_each_token(self):
        with tempfile.TemporaryDirectory() as folder:
            rollout = self.rollout(folder)
            Path(folder, "d0.wanted").mkdir()
            slot = Slot(DISPATCHERS, "d0", 1, "d1", True, rollout.members.swim.me.start, "2")
            rollout.state = State(rev=1, last_token=1, slots=(slot,))
            asyncio.run(rollout._restart_if_due())
            Path(folder, "d0.wanted").rmdir()
            asyncio.run(rollout._restart_if_due())
            self.assertFalse(rollout.host.leave.called)
            rollout.state = State(rev=2, last_token=2, slots=(msgspec.structs.replace(slot, token=2),))
            asyncio.run(rollout._restart_if_due())
            self.assertTrue(rollout.host.leave.called)

    @staticmethod
    def rollout(folder: str) -> Rollout:
        """Returns the rollout of dispatcher d0 in a fleet of three."""
        key = Path(folder, "key")
        key.write_bytes(b"k" * 16)
        members = Members(
            MembersSetup(listen=LoopbackAddress(("127.0.0.1", 1)), key_file=str(key), stewards=["d0", "d1"]),
            "d0",
            "",
            1,
            print,
            steward_confirmation_s=60.0,
        )
        return Rollout(RolloutSetup(folder=folder, voters=["d0", "d1", "d2"]), members, mock.Mock(), [], [])

    def test_a_state_of_the_previous_version_has_no_voters_and_can_be_decoded(self):
        self.assertEqual(fleet_state.decode_state(b"\x95\x01\x07\x02\x90\xc0"), State(rev=7, last_token=2))

    def test_the_part_of_a_steward_absent_for_a_lease_goes_to_a_live_dispatcher(self):
        driver, state = Driver("d1", 10.0), State(stewards=tuple(StewardAssignment(f"d{n}") for n in range(3)))
        present = {"d1", "d2", "d4", "d5"}
        self.assertEqual(driver.replace_absent_steward(0.0, state, present), [])
        self.assertEqual(driver.replace_absent_steward(9.0, state, present), [])
        # present for a moment: measured from zero again
        self.assertEqual(driver.replace_absent_steward(9.5, state, present | {"d0"}), [])
        self.assertEqual(
            driver.replace_absent_steward(10.5, state, present) + driver.replace_absent_steward(20.0, state, present),
            [],
        )
        self.assertEqual(driver.replace_absent_steward(30.0, state, {"d1", "d2"}), [])  # no successor
        ((what, change),) = driver.replace_absent_steward(31.0, state, present)
        self.assertEqual(what, "the part of d0 goes to d4")
        state = change(state)
        self.assertEqual(state.stewards, (StewardAssignment("d4", 1), StewardAssignment("d1"), StewardAssignment("d2")))
        for old, new, why in (("d0", "d5", "d0 is no steward"), ("d1", "d4", "d4 is a steward already")):
            with self.assertRaisesRegex(ChangeRefused, why):
                fleet_state.replace_steward(state, old, new)


class HealthComparison(unittest.TestCase):
    LIMITS = HealthLimits(min_answers=20)

    def test_fractions_times_and_too_few_answers(self):
        good, limits = [Counts(100, 2, 1, 1000.0)], self.LIMITS
        self.assertEqual(find_regression({"d0": good}, [good], limits), "")
        self.assertIn("failed", find_regression({"d0": [Counts(90, 0, 10, 900.0)]}, [good], limits, ["paid-booking"]))
        self.assertIn("refused", find_regression({"d0": [Counts(80, 20, 0, 800.0)]}, [good], limits))
        self.assertIn("takes 30 ms", find_regression({"d0": [Counts(100, 0, 0, 3000.0)]}, [good], limits))
        self.assertEqual(find_regression({"d0": [Counts(1, 0, 9, 9.0)]}, [good], limits), "")
        self.assertEqual(find_regression({}, [], limits), "")
        # One of several updated members is bad: the sum hides it, its own counts do not.
        moved = {f"d{n}": [Counts(1000, 0, 0, 10_000.0)] for n in range(3)} | {"d9": [Counts(90, 0, 10, 900.0)]}
        self.assertIn("d9", find_regression(moved, [good], limits))
        # without members to compare with, the limits apply alone
        self.assertIn("the others 0%", find_regression({"d0": [Counts(90, 0, 10, 900.0)]}, [], limits))

    def test_counts_since_a_baseline_and_of_a_restarted_process(self):
        self.assertEqual(counts_since([Counts(9, 1, 0, 50.0)], [Counts(4, 1, 0, 20.0)]), [Counts(5, 0, 0, 30.0)])
        self.assertEqual(counts_since([Counts(3, 0, 0, 5.0)], [Counts(4, 1, 0, 20.0)]), [Counts(3, 0, 0, 5.0)])
        self.assertEqual(
            sum_counts([[Counts(1, 1, 1, 1.0)], [Counts(2, 0, 0, 2.0), Counts(1)]]), [Counts(3, 1, 1, 3.0), Counts(1)]
        )


class Files(unittest.TestCase):
    def test_a_torn_write_keeps_the_previous_state_and_an_unreadable_file_stops_the_start(self):
        with tempfile.TemporaryDirectory() as folder:
            store = AcceptorStore(Path(folder), "d/0")
            self.assertEqual(store.load(), AcceptorState())
            for n in range(1, 6):
                store.save(AcceptorState((n, "d0"), (n, "d0"), b"x" * n))
            self.assertEqual(AcceptorStore(Path(folder), "d/0").load().promised, (5, "d0"))
            raw = bytearray(store.path.read_bytes())
            raw[STATE_COPY_BYTES * (5 % 2) + 20] ^= 1  # the last write was interrupted
            store.path.write_bytes(raw)
            again = AcceptorStore(Path(folder), "d/0")
            self.assertEqual(again.load().promised, (4, "d0"))
            again.save(AcceptorState((6, "d0")))
            self.assertEqual(AcceptorStore(Path(folder), "d/0").load().promised, (6, "d0"))
            with mock.patch("os.pwrite", side_effect=OSError("full")), self.assertRaises(OSError):
                again.save(AcceptorState((7, "d0")))
            self.assertEqual(AcceptorStore(Path(folder), "d/0").load().promised, (6, "d0"))
            store.path.write_bytes(b"MHR9" + bytes(2 * STATE_COPY_BYTES))
            with self.assertRaisesRegex(ConfigError, "had promised cannot be read"):
                AcceptorStore(Path(folder), "d/0").load()

    def test_an_acceptor_answers_old_ballots_with_its_promise(self):
        acceptor = Acceptor()
        self.assertEqual(acceptor.handle(RegisterMessage("prepare", (2, "a")))[1], True)
        self.assertEqual(
            acceptor.handle(RegisterMessage("prepare", (1, "a")))[0], RegisterMessage("nack", (1, "a"), (2, "a"))
        )
        self.assertEqual(acceptor.handle(RegisterMessage("accept", (1, "a"), value=b"x"))[0].kind, "nack")
        self.assertEqual(acceptor.handle(RegisterMessage("accept", (2, "a"), value=b"x"))[0].kind, "accepted")
        self.assertEqual(
            acceptor.handle(RegisterMessage("accept", (2, "a"), value=b"x")),
            (RegisterMessage("accepted", (2, "a")), False),
        )


class SetupTable(unittest.TestCase):
    def test_budgets(self):
        self.assertEqual([max_out_of(b, 40) for b in (0, 2, "0%", "1%", "20%")], [0, 2, 0, 1, 8])

    def test_invalid_settings_are_rejected_at_startup(self):
        with tempfile.TemporaryDirectory() as folder:
            key, file = Path(folder, "key"), Path(folder, "op.toml")
            key.write_bytes(b"k" * 32)
            members = f'[members]\nlisten = "127.0.0.1:1"\nkey_file = "{key}"\n'
            for head, more, wanted in (
                ("", f'folder = "{folder}"\nvoters = ["a"]', "needs the table members"),
                (members, 'folder = "/none"\nvoters = ["a"]', "rollout.folder: a folder"),
                (members, f'folder = "{folder}"\nvoters = []', "rollout.voters"),
                (members, f'folder = "{folder}"\nvoters = ["a", "a"]', "each name once"),
                (members, f'folder = "{folder}"\nvoters = ["a"]\ndispatchers = "200%"', "rollout.dispatchers"),
                (members, f'folder = "{folder}"\nvoters = ["a"]\ndispatchers = -1', "rollout.dispatchers"),
                (members, f'folder = "{folder}"\nvoters = ["a"]\nmost = 1', "unknown key 'most'"),
            ):
                file.write_text(f"{head}[rollout]\n{more}\n")
                with self.subTest(more=more), self.assertRaisesRegex(ConfigError, wanted):
                    load_operator(str(file), [], [])
