"""Agreeing, slots and releases, as pure decisions: a model check, state machines, and what a file must survive."""

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
from millethead.members.offices import StewardAssignment
from millethead.members.setup import MembersSetup
from millethead.members.shell import Members
from millethead.operators import load_operator
from millethead.rollout import state as agreed
from millethead.rollout.driver import Driver, View
from millethead.rollout.health import Counts, add, judge, since
from millethead.rollout.register import Acceptor, Kept, Refused, Round, Word
from millethead.rollout.setup import RolloutSetup, most_out
from millethead.rollout.shell import Rollout
from millethead.rollout.state import DISPATCHERS, DONE, HALTED, RUNNING, UNDOING, UNDONE, Health, Release, Slot, State
from millethead.rollout.store import PLACE, Store
from millethead.tables import Local

EXAMPLES = int(os.environ.get("ROLLOUT_EXAMPLES", "60"))
VOTERS = ("v0", "v1", "v2")


def on_bytes(change):
    return lambda old: agreed.write(change(agreed.read(old)))


class Model:
    """Every order in which the messages of some proposers can reach three voters, explored breadth first.

    A message stays in the network once it is sent: one that is never delivered is lost, or behind a cut, or its reader
    was killed; one delivered after others is late. A voter's state is on disk before it answers, so that its kill
    changes nothing. A proposer that is killed and started anew is one more entry in `tries`, under a ballot of its own.
    """

    def __init__(self, tries, first=b"", short=False, alike=(VOTERS,)):
        """`short` looks at fewer states that lead to the same ends: an answer is delivered at once or lost. One that is
        delivered later makes its proposer send `accept` later, which is an `accept` delivered later; of what was
        promised a proposer uses the set, not the order; a nack only ends a proposer, as if nothing more reached it.
        `alike`: all that are or may become voters, those together whom no value tells apart."""
        self.names = sorted(name for group in alike for name in group)
        self.alike = [[self.names.index(name) for name in group] for group in alike]
        self.tries, self.short = tries, short  # (ballot, change) of each proposer, which may start at any time
        kept = Kept((1, ""), (1, ""), first) if first else Kept()
        voters = tuple(kept if name in VOTERS else Kept() for name in self.names)
        self.start = voters, (None,) * len(tries), frozenset()

    def key(self, state):
        """The same for states that differ by the names of voters that are `alike`: all that is known of a voter is one
        record, and a proposer only counts them."""
        voters, rounds, post = state
        about = [[] for _ in voters]
        for n, v, word in post:
            about[v].append((n, word))
        records = [
            hash(
                (
                    kept,
                    frozenset(about[v]),
                    tuple(one and (self.names[v] in one._promised, self.names[v] in one._accepted) for one in rounds),
                )
            )
            for v, kept in enumerate(voters)
        ]
        return hash(
            (
                *(tuple(sorted(records[v] for v in group)) for group in self.alike),
                *(one and (one.value, one._found, one.lost, one.refused is None, one.voters) for one in rounds),
            )
        )

    def next(self, state):
        voters, rounds, post = state
        for n, one in enumerate(rounds):
            if one is None:
                made = Round(self.tries[n][0], VOTERS, on_bytes(self.tries[n][1]), lambda old: agreed.read(old).voters)
                yield voters, self._with(rounds, n, made), post | self.asks(n, made)
        for n, v, word in post:
            if word.kind in ("prepare", "accept"):
                acceptor = Acceptor(voters[v])
                answer, _ = acceptor.take(word)
                if self.short:
                    left, moved = post - {(n, v, word)}, self._with(voters, v, acceptor.kept)
                    if answer.kind == "promise":
                        yield moved, rounds, left
                    if answer.kind != "nack":
                        one = copy.copy(rounds[n])
                        more = one.take(self.names[v], answer)
                        asked = self.asks(n, one) if more else set()
                        yield moved, self._with(rounds, n, one), left | asked
                    continue
                yield self._with(voters, v, acceptor.kept), rounds, (post - {(n, v, word)}) | {(n, v, answer)}
            else:
                one = copy.copy(rounds[n])
                more = one.take(self.names[v], word)
                asked = self.asks(n, one) if more else set()
                yield voters, self._with(rounds, n, one), (post - {(n, v, word)}) | asked

    def asks(self, n, one):
        return {(n, self.names.index(name), one.ask()) for name in one.voters}

    @staticmethod
    def _with(entries, n, entry):
        return (*entries[:n], entry, *entries[n + 1 :])

    @staticmethod
    def settle(state):
        """Leave out messages that can change nothing any more: the same future, fewer states."""
        voters, rounds, post = state
        useful = set()
        for n, v, word in post:
            one = rounds[n]
            over = one.agreed or one.lost is not None
            if over and word.kind not in ("prepare", "accept"):
                continue
            if (
                (word.kind == "promise" or word.kind == "prepare")
                and one.value is not None
                and (word.kind == "promise" or word.ballot < voters[v].promised)
            ):
                continue
            useful.add((n, v, word))
        return voters, rounds, frozenset(useful)

    def explore(self, check, most=10**6, enough=10**9):
        """Returns how many states there are; `check` is called with the rounds of each that brings a new end. It stops
        once it has seen `enough` of them, those that the fewest steps lead to."""
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
                    end = tuple(r and r.agreed and (r.value, r.refused is None) for r in made[1])
                    if any(end) and end not in ends:
                        ends.add(end)
                        check([r for r in made[1] if r and r.agreed])
                    if len(seen) >= enough:
                        return len(seen), len(ends)
                    if len(seen) > most:
                        raise AssertionError(f"more than {most} states")
            todo = fresh
        return len(seen), len(ends)


class ModelCheck(unittest.TestCase):
    def one_history(self, rounds):
        """What was agreed is one history: no two of the same revision differ, and nothing agreed is lost."""
        states = sorted((agreed.read(r.value) for r in rounds), key=lambda s: s.rev)
        for old, new in combinations(states, 2):
            if old.rev == new.rev:
                self.assertEqual(old, new)
            self.assertTrue({s.token for s in old.slots} <= {s.token for s in new.slots}, (old, new))
        self.assertTrue(all(s.out(DISPATCHERS) <= 2 for s in states))
        done = [r for r in rounds if r.refused is None]
        self.assertLessEqual(len(done), 2)  # two slots: whoever was told yes has one of its own
        self.assertEqual(len({agreed.read(r.value).tokens for r in done}), len(done))

    def test_three_members_that_want_two_slots_in_every_order_of_messages(self):
        first = agreed.write(agreed.take(State(), DISPATCHERS, "d9", 2, "v0"))
        tries = [
            ((2, "v0"), lambda s: agreed.take(s, DISPATCHERS, "d0", 2, "v0")),
            ((2, "v1"), lambda s: agreed.take(s, DISPATCHERS, "d1", 2, "v1")),
        ]
        for start in (first, b""):  # the last slot, and both
            found = set(), set()
            for short in (False, True):

                def check(rounds, ends=found[short]):
                    self.one_history(rounds)
                    ends.add(tuple((r.ballot, r.value, r.refused is None) for r in rounds))

                states, ends = Model(tries, start, short).explore(check)
                print(f"two at once, {1 if start else 2} left, short={short}: {states} states, {ends} ends")
                self.assertGreater(states, 200)
            self.assertEqual(*found)  # the short way misses none
        tries.append(((2, "v2"), lambda s: agreed.take(s, DISPATCHERS, "d2", 2, "v2")))
        states, ends = Model(tries, b"", short=True).explore(self.one_history)
        print(f"three at once, two slots left: {states} states, {ends} ends")

    def voters_change(self, change, *alike, enough=10**9):
        """Two that want the last slot while voters change, each from the first list."""

        def check(rounds):
            self.one_history(rounds)
            self.assertTrue(all(agreed.read(r.value).out(DISPATCHERS) <= 1 for r in rounds))

        tries = [
            ((2, f"v{n}"), change)
            for n, change in enumerate(
                (
                    change,
                    lambda s: agreed.take(s, DISPATCHERS, "d0", 1, "v0"),
                    lambda s: agreed.take(s, DISPATCHERS, "d1", 1, "v1"),
                )
            )
        ]
        return Model(tries, agreed.write(State(voters=VOTERS)), True, alike).explore(check, enough=enough)

    def test_a_voter_that_is_removed_while_two_want_the_last_slot(self):
        states, ends = self.voters_change(partial(agreed.drop_voter, name="v2", there=VOTERS), ("v0", "v1"), ("v2",))
        print(f"a voter removed while two want the last slot: {states} states, {ends} ends")

    def test_a_voter_that_is_added_while_two_want_the_last_slot(self):
        """All states take minutes: by hand, with ROLLOUT_EXAMPLES=2000; the first of them each time."""
        enough = 10**9 if EXAMPLES >= 1000 else 60_000
        states, ends = self.voters_change(partial(agreed.add_voter, name="v3"), VOTERS, ("v3",), enough=enough)
        print(f"a voter added while two want the last slot: {states} states, {ends} ends")
        self.assertGreaterEqual(states, min(enough, 400_000))
        self.assertGreater(ends, 1)

    def test_two_voters_at_a_time_which_the_check_must_find(self):
        with self.assertRaises(AssertionError) as found:
            two = partial(agreed._next, voters=("v0", "v3", "v4"))
            self.voters_change(two, ("v0",), ("v1", "v2"), ("v3", "v4"))
        self.assertNotIn("more than", str(found.exception))

    def test_one_that_is_killed_and_tries_again_takes_no_second_slot(self):
        take = lambda s: agreed.take(s, DISPATCHERS, "d0", 2, "v0")  # noqa: E731
        states, ends = Model([((2, "v0@1"), take), ((3, "v0@2"), take)]).explore(self.one_slot)
        print(f"killed and started anew: {states} states, {ends} ends")

    def one_slot(self, rounds):
        self.one_history(rounds)
        self.assertLessEqual(sum(r.refused is None for r in rounds), 1)
        self.assertTrue(all(agreed.read(r.value).out(DISPATCHERS) <= 1 for r in rounds))

    def test_a_step_is_begun_once_whoever_drives(self):
        first = agreed.write(agreed.take(State(), DISPATCHERS, "d0", 2, "v0", 7.0))
        begin = partial(agreed.begin, token=1, start=7.0)
        states, _ = Model([((2, "v0"), begin), ((2, "v1"), begin)], first).explore(self.begun_once)
        print(f"begun by two at once: {states} states")

    def begun_once(self, rounds):
        self.assertLessEqual(sum(r.refused is None for r in rounds), 1)
        self.assertTrue(all(agreed.read(r.value).slots[0].begun for r in rounds))


class Runs(unittest.TestCase):
    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.integers(0, 2**32))
    def test_five_voters_and_many_changes_over_a_network_that_loses_doubles_and_delays(self, seed):
        """Random runs: members take, begin and free slots, drive a release, are cut off and killed. By hand with many:
        ROLLOUT_EXAMPLES=2000."""
        rng = random.Random(seed)
        names = tuple(f"v{n}" for n in range(5))
        voters = {name: Acceptor() for name in names}
        post, rounds, top, history, begun = [], {}, 0, {}, []
        plan = Release(0, DISPATCHERS, "2", (("d0",), ("d1", "d2")), 1, 0.0, 9.0)
        most = 2
        for _ in range(rng.randrange(50, 300)):
            what = rng.random()
            if what < 0.12:
                who = rng.choice(names)
                subject, token = f"d{rng.randrange(4)}", rng.randrange(1, 9)
                change = rng.choice(
                    (
                        partial(agreed.take, group=DISPATCHERS, subject=subject, most=most, by=who),
                        partial(agreed.begin, token=token, start=1.0),
                        partial(agreed.free, token=token),
                        partial(agreed.start, plan=plan),
                        partial(agreed.halt, why="x"),
                        agreed.resume,
                        agreed.undo,
                        partial(agreed.move, subject=subject, most=most, by=who, begun=0.0, before="1"),
                        partial(agreed.advance, at=rng.randrange(2)),
                    )
                )
                top = max(1, top + rng.choice((0, 1, 1, 2)))
                ballot = (top, f"{who}@{len(rounds)}")  # each try is a process of its own: ballots are never shared
                rounds[ballot] = one = Round(ballot, names, on_bytes(change)), change
                post += [(ballot, v, one[0].ask()) for v in names]
            elif what < 0.15 and rounds:
                rounds.pop(rng.choice(sorted(rounds)))  # killed with what it knew
            elif post:
                ballot, v, word = post[rng.randrange(len(post))]
                if rng.random() < 0.8:
                    post.remove((ballot, v, word))
                if rng.random() < 0.15 or ballot not in rounds:
                    continue
                one, change = rounds[ballot]
                if word.kind in ("prepare", "accept"):
                    kept = Acceptor(voters[v].kept)  # as from its file
                    post.append((ballot, v, kept.take(word)[0]))
                    voters[v] = kept
                    continue
                before = one.agreed
                if one.take(v, word):
                    post += [(ballot, w, one.ask()) for w in names]
                if one.agreed and not before:
                    state = agreed.read(one.value)
                    self.assertEqual(history.setdefault(state.rev, state), state, seed)
                    self.assertLessEqual(state.out(DISPATCHERS), most)
                    if state.release is not None:
                        ours = [s for s in state.slots if abs(s.release) == state.release.id]
                        self.assertLessEqual(len(ours), plan.max_out)
                    if one.refused is None and getattr(change, "func", None) is agreed.begin:
                        begun.append(change.keywords["token"])
        self.assertEqual(len(begun), len(set(begun)), seed)
        tokens = [(s.token, s.subject) for state in history.values() for s in state.slots]
        self.assertEqual(len({t for t, _ in tokens}), len(set(tokens)))  # a token names one step for ever


class Fleet:
    """Members that do as they are told, and a driver that may be another one at any time."""

    def __init__(self, names, most=1, lease=30.0):
        self.state, self.now, self.most, self.lease = State(), 0.0, most, lease
        self.views = {name: View(True, True, 1.0, "1") for name in names}
        self.driver, self.unhealthy, self.went, self.worst = Driver("d0", lease), "", [], 0

    def turn(self, seconds=1.0, goes=True):
        self.now += seconds
        tick = self.driver.tick(self.now, self.state, self.views, lambda group: self.most, lambda r: self.unhealthy)
        for _, change in tick:
            try:
                self.state = change(self.state)
            except Refused:
                continue
            self.worst = max(self.worst, self.state.out(DISPATCHERS))
        for slot in self.state.slots if goes else ():
            if not slot.begun:
                self.state = agreed.begin(self.state, slot.token, self.views[slot.subject].start)
                self.went.append((slot.subject, slot.version))
                version = slot.version or self.views[slot.subject].version
                self.views[slot.subject] = View(True, True, self.now + 0.5, version)

    def plan(self, *steps, soak=2.0, max_out=1, back=20.0):
        self.state = agreed.start(self.state, Release(0, DISPATCHERS, "2", steps, max_out, soak, back))

    @property
    def release(self):
        return self.state.release


class Releases(unittest.TestCase):
    def test_step_by_step_with_soaks_and_another_driver_at_every_turn(self):
        fleet = Fleet(["d0", "d1", "d2"])
        fleet.plan(("d0",), ("d1", "d2"))
        for _ in range(60):
            if fleet.now % 5 == 0:
                fleet.driver = Driver("d1", 30.0)  # taken over: it measures anew
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.went), (DONE, [("d0", "2"), ("d1", "2"), ("d2", "2")]))
        self.assertEqual(fleet.worst, 1)

    def test_undo_goes_back_last_first_and_by_the_same_budget(self):
        fleet = Fleet(["d0", "d1", "d2"], most=2)
        fleet.plan(("d0",), ("d1", "d2"), max_out=2)
        while fleet.release.status == RUNNING:
            fleet.turn()
        fleet.went.clear()
        fleet.state = agreed.undo(fleet.state)
        for _ in range(20):
            fleet.turn()
        self.assertEqual(fleet.release.status, UNDONE)
        self.assertEqual(fleet.went, [("d2", "1"), ("d1", "1"), ("d0", "1")])
        self.assertLessEqual(fleet.worst, 2)

    def test_halts_when_unhealthy_and_resumes_and_undoes(self):
        fleet = Fleet(["d0", "d1"])
        fleet.plan(("d0",), ("d1",), soak=5.0)
        fleet.turn()
        fleet.turn()
        fleet.unhealthy = "bad"
        fleet.turn()
        self.assertEqual((fleet.release.status, fleet.release.why), (HALTED, "bad"))
        for _ in range(20):
            fleet.turn()
        self.assertEqual(fleet.went, [("d0", "2")])
        fleet.unhealthy = ""
        fleet.state = agreed.resume(fleet.state)
        self.assertEqual(fleet.release.status, RUNNING)
        fleet.state = agreed.halt(fleet.state, "by hand")
        fleet.state = agreed.undo(fleet.state)
        for _ in range(5):
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.went[-1]), (UNDONE, ("d0", "1")))

    def test_one_that_never_comes_back_halts_the_release_and_keeps_its_slot_for_a_lease(self):
        fleet = Fleet(["d0", "d1"], lease=60.0)
        fleet.plan(("d0",), ("d1",))
        fleet.turn()
        fleet.views["d0"] = View(False, False, 1.0, "1")
        for _ in range(25):
            fleet.turn(goes=False)
        self.assertEqual(fleet.release.status, HALTED)
        self.assertIn("d0 is not back", fleet.release.why)
        self.assertEqual(fleet.state.out(DISPATCHERS), 1)
        with self.assertRaisesRegex(Refused, "no slot: 1 of dispatchers are out, and max_out is 1"):
            agreed.take(fleet.state, DISPATCHERS, "d1", 1, "d1")
        for _ in range(60):
            fleet.turn(goes=False)
        self.assertEqual(fleet.state.slots, ())

    def test_one_killed_before_it_said_what_it_wants_goes_again_after_a_resume(self):
        """Seed 1097 of benchmarks/rollout: killed between its step's begin and the file with the version it came back
        as before, and no resume could end that."""
        fleet = Fleet(["d0", "d1"])
        fleet.plan(("d0",), ("d1",), back=5.0)
        fleet.turn(goes=False)
        slot = fleet.state.slots[0]
        fleet.state = agreed.begin(fleet.state, slot.token, 1.0)
        fleet.views["d0"] = View(True, True, 1.5, "1")
        for _ in range(8):
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.went), (HALTED, []))
        fleet.state = agreed.resume(fleet.state)
        self.assertGreater(fleet.state.slots[0].token, slot.token)
        with self.assertRaises(Refused):  # the old word is worth nothing any more
            agreed.begin(fleet.state, slot.token, 1.0)
        for _ in range(12):
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.went), (DONE, [("d0", "2"), ("d1", "2")]))
        self.assertEqual(fleet.worst, 1)

    def test_who_is_cut_off_before_its_step_need_not_go_after_a_halt(self):
        fleet = Fleet(["d0", "d1"])
        fleet.plan(("d0",), ("d1",))
        fleet.turn(goes=False)
        token = fleet.state.slots[0].token
        fleet.state = agreed.halt(fleet.state, "by hand")
        self.assertEqual((fleet.state.slots, fleet.release.moved), ((), ()))
        with self.assertRaises(Refused):  # the word that reaches it late changes nothing
            agreed.begin(fleet.state, token, 1.0)
        fleet.state = agreed.undo(fleet.state)
        self.assertEqual(fleet.release.status, UNDONE)

    def test_undo_while_one_is_on_its_way_lets_it_come_back_first(self):
        fleet = Fleet(["d0", "d1"])
        fleet.plan(("d0",), ("d1",))
        fleet.turn()
        fleet.views["d0"] = View(False, False, 1.0, "1")
        fleet.state = agreed.undo(fleet.state)
        fleet.turn()
        self.assertEqual(fleet.release.status, UNDOING)
        fleet.views["d0"] = View(True, True, fleet.now, "2")
        for _ in range(5):
            fleet.turn()
        self.assertEqual((fleet.release.status, fleet.went), (UNDONE, [("d0", "2"), ("d0", "1")]))

    def test_refusals_say_why_and_change_nothing(self):
        state = agreed.start(State(), Release(0, DISPATCHERS, "2", (("d0",),), 1, 0.0, 9.0))
        for change, why in (
            (partial(agreed.start, plan=state.release), "is running"),
            (agreed.resume, "no release is halted"),
            (partial(agreed.move, subject="d9", most=1, by="", begun=0.0, before=""), "not to be moved now"),
            (partial(agreed.move, subject="d0", most=0, by="", begun=0.0, before=""), "max_out is 0"),
            (partial(agreed.advance, at=0), "not over"),
            (partial(agreed.free, token=99), "no such slot"),
            (partial(agreed.call_back, subject="d0"), "not out by a drain"),
        ):
            with self.assertRaisesRegex(Refused, why):
                change(state)
        with self.assertRaisesRegex(Refused, "no release"):
            agreed.undo(State())
        with self.assertRaisesRegex(Refused, "would take"):
            agreed.write(State(slots=tuple(agreed.Slot("g", "x" * 200, n) for n in range(100))))
        with self.assertRaises(ValueError):
            agreed.read(b"\x93\x03\x00\x00")
        with self.assertRaises(ValueError):
            agreed.read(b"torn")

    def test_a_release_of_booking_workers_waits_for_each_to_start_anew(self):
        fleet = Fleet([])
        fleet.views |= {f"s-{n}": View(True, True, 5.0) for n in range(3)}
        fleet.state = agreed.start(State(), Release(0, "workers:box", "", (("s-0",), ("s-1", "s-2")), 1, 1.0, 9.0))
        seen = []
        for _ in range(40):
            fleet.turn(goes=False)
            for slot in fleet.state.slots:
                if slot.subject not in seen:
                    seen.append(slot.subject)
                elif len(seen) < 3 or fleet.now % 2:  # whoever runs it starts it anew
                    fleet.views[slot.subject] = View(True, True, fleet.now)
            self.assertLessEqual(fleet.state.out("workers:box"), 1)
        self.assertEqual((fleet.release.status, seen), (DONE, ["s-0", "s-1", "s-2"]))
        # one that nobody starts anew halts it, stays out, and can be called back by hand
        fleet.state = agreed.start(fleet.state, Release(0, "workers:box", "", (("s-0",), ("s-1",)), 1, 1.0, 9.0))
        for _ in range(15):
            fleet.turn(goes=False)
        self.assertEqual((fleet.release.status, fleet.state.out("workers:box")), (HALTED, 1))
        fleet.state = agreed.call_back(fleet.state, "s-0")
        self.assertEqual((fleet.state.slots, fleet.release.moved), ((), ()))

    def test_a_workers_drain_ends_when_it_has_started_anew_and_answers(self):
        fleet = Fleet([])
        fleet.views["s-1"] = View(True, True, 5.0)
        fleet.state = agreed.take(fleet.state, "workers:box", "s-1", 1, "d0", 5.0)
        for view, out in (
            (View(True, True, 5.0), 1),
            (View(False, False, 5.0), 1),
            (View(True, False, 9.0), 1),
            (View(True, True, 9.0), 0),
        ):
            fleet.views["s-1"] = view
            fleet.turn(goes=False)
            self.assertEqual(fleet.state.out("workers:box"), out)


class Voters(unittest.TestCase):
    def test_one_at_a_time_and_never_without_a_majority_that_is_there(self):
        state = State(voters=VOTERS)
        for change, why in (
            (partial(agreed.add_voter, name="v1"), "v1 is a voter already"),
            (partial(agreed.drop_voter, name="d9", there=VOTERS), "d9 is no voter"),
            (partial(agreed.drop_voter, name="v0", there=("v0", "v1")), r"\(v1, v2\) no majority"),
            (lambda s: agreed.drop_voter(State(voters=("v0",)), "v0", VOTERS), r"\(none\) no majority"),
            (lambda s: agreed.add_voter(State(voters=tuple("abcdefghijklmno")), "p"), "no more than 15"),
        ):
            with self.assertRaisesRegex(Refused, why):
                change(state)
        state = agreed.add_voter(agreed.drop_voter(state, "v0", ("v1", "v2")), "v7")
        self.assertEqual((state.voters, state.rev), (("v1", "v2", "v7"), 2))
        self.assertEqual(agreed.read(agreed.write(state)), state)

    def test_whoever_starts_from_the_first_list_is_led_to_those_who_decide_now(self):
        """v0 and v1 are gone for good and were replaced; a process with the old file asks v2 and who it heard of."""
        now = ("v2", "v3", "v4")
        value = agreed.write(State(rev=4, voters=now))
        one = Round((9, "d9"), VOTERS, on_bytes(partial(agreed.add_voter, name="v5")), lambda b: agreed.read(b).voters)
        self.assertTrue(one.take("v2", Word("promise", (9, "d9"), (4, "d0"), value)))  # somebody else to ask
        self.assertEqual(one.voters, now)
        self.assertFalse(one.take("v1", Word("promise", (9, "d9"))))  # it decides nothing any more
        self.assertIsNone(one.value)
        self.assertTrue(one.take("v4", Word("promise", (9, "d9"), (4, "d0"), value)))
        self.assertFalse(one.take("v1", Word("accepted", (9, "d9"))) or one.agreed)
        one.take("v2", Word("accepted", (9, "d9")))
        one.take("v3", Word("accepted", (9, "d9")))
        self.assertTrue(one.agreed)

    def test_a_refusal_before_anything_was_agreed_leaves_voters_and_stewards_as_the_file_has_them(self):
        """It confirmed an empty value, and a steward that learned this found its office nowhere, and lent nothing."""
        with tempfile.TemporaryDirectory() as folder:
            rollout = self.rollout(folder)
            rollout._learn(State())
            self.assertEqual(
                (rollout.state.voters, rollout.state.offices),
                (("d0", "d1", "d2"), (StewardAssignment("d0"), StewardAssignment("d1"))),
            )
            rollout.members.swim.steward_role.confirm(5.0, rollout.state.offices)
            self.assertEqual(rollout.members.swim.steward.grants_until, 65.0)

    def test_a_step_that_was_begun_without_word_of_it_is_gone_on_with(self):
        """The begin was agreed on, but its proposer found no majority in time, or a ballot later it was refused as
        done: the dispatcher stayed, and its slot was out for as long as the release let it."""
        for begun_by, version, goes in (("me", "2", True), ("before", "2", False), ("me", "", True)):
            with self.subTest(begun_by=begun_by, version=version), tempfile.TemporaryDirectory() as folder:
                rollout = self.rollout(folder)
                start = rollout.members.swim.me.start - (begun_by == "before")
                slot = Slot(DISPATCHERS, "d0", 1, "d1", True, start, version)
                rollout.state = State(rev=1, tokens=1, slots=(slot,))
                for _ in range(2):
                    asyncio.run(rollout._go())
                self.assertEqual(rollout.host.leave.call_count, int(goes))
                self.assertEqual(Path(folder, "d0.wanted").exists(), goes and bool(version))

    def test_a_wanted_version_that_cannot_be_written_is_tried_once_for_each_token(self):
        with tempfile.TemporaryDirectory() as folder:
            rollout = self.rollout(folder)
            Path(folder, "d0.wanted").mkdir()
            slot = Slot(DISPATCHERS, "d0", 1, "d1", True, rollout.members.swim.me.start, "2")
            rollout.state = State(rev=1, tokens=1, slots=(slot,))
            asyncio.run(rollout._go())
            Path(folder, "d0.wanted").rmdir()
            asyncio.run(rollout._go())
            self.assertFalse(rollout.host.leave.called)
            rollout.state = State(rev=2, tokens=2, slots=(msgspec.structs.replace(slot, token=2),))
            asyncio.run(rollout._go())
            self.assertTrue(rollout.host.leave.called)

    @staticmethod
    def rollout(folder: str) -> Rollout:
        """The dispatcher d0 of three."""
        key = Path(folder, "key")
        key.write_bytes(b"k" * 16)
        members = Members(
            MembersSetup(listen=Local(("127.0.0.1", 1)), key_file=str(key), stewards=["d0", "d1"]),
            "d0",
            "",
            1,
            print,
            steward_confirmation_s=60.0,
        )
        return Rollout(RolloutSetup(folder=folder, voters=["d0", "d1", "d2"]), members, mock.Mock(), [], [])

    def test_a_state_of_the_version_before_has_no_voters_and_can_be_read(self):
        self.assertEqual(agreed.read(b"\x95\x01\x07\x02\x90\xc0"), State(rev=7, tokens=2))

    def test_the_part_of_a_steward_that_is_gone_for_a_lease_goes_to_one_that_is_there(self):
        driver, state = Driver("d1", 10.0), State(offices=tuple(StewardAssignment(f"d{n}") for n in range(3)))
        there = {"d1", "d2", "d4", "d5"}
        self.assertEqual(driver.offices(0.0, state, there), [])
        self.assertEqual(driver.offices(9.0, state, there), [])
        self.assertEqual(driver.offices(9.5, state, there | {"d0"}), [])  # back for a moment: it counts anew
        self.assertEqual(driver.offices(10.5, state, there) + driver.offices(20.0, state, there), [])
        self.assertEqual(driver.offices(30.0, state, {"d1", "d2"}), [])  # nobody to give it to
        ((what, change),) = driver.offices(31.0, state, there)
        self.assertEqual(what, "the part of d0 goes to d4")
        state = change(state)
        self.assertEqual(state.offices, (StewardAssignment("d4", 1), StewardAssignment("d1"), StewardAssignment("d2")))
        for old, new, why in (("d0", "d5", "d0 is no steward"), ("d1", "d4", "d4 is a steward already")):
            with self.assertRaisesRegex(Refused, why):
                agreed.replace_steward(state, old, new)


class HealthOf(unittest.TestCase):
    LIMITS = Health(least=20)

    def test_parts_times_and_too_few_to_judge(self):
        good, limits = [Counts(100, 2, 1, 1000.0)], self.LIMITS
        self.assertEqual(judge({"d0": good}, [good], limits), "")
        self.assertIn("failed", judge({"d0": [Counts(90, 0, 10, 900.0)]}, [good], limits, ["paid-booking"]))
        self.assertIn("refused", judge({"d0": [Counts(80, 20, 0, 800.0)]}, [good], limits))
        self.assertIn("takes 30 ms", judge({"d0": [Counts(100, 0, 0, 3000.0)]}, [good], limits))
        self.assertEqual(judge({"d0": [Counts(1, 0, 9, 9.0)]}, [good], limits), "")
        self.assertEqual(judge({}, [], limits), "")
        # one of several that were moved is bad: the sum hides it, its own figures do not
        moved = {f"d{n}": [Counts(1000, 0, 0, 10_000.0)] for n in range(3)} | {"d9": [Counts(90, 0, 10, 900.0)]}
        self.assertIn("d9", judge(moved, [good], limits))
        # with nobody left to compare with, the limits stand alone
        self.assertIn("the others 0%", judge({"d0": [Counts(90, 0, 10, 900.0)]}, [], limits))

    def test_counts_since_and_of_a_process_started_anew(self):
        self.assertEqual(since([Counts(9, 1, 0, 50.0)], [Counts(4, 1, 0, 20.0)]), [Counts(5, 0, 0, 30.0)])
        self.assertEqual(since([Counts(3, 0, 0, 5.0)], [Counts(4, 1, 0, 20.0)]), [Counts(3, 0, 0, 5.0)])
        self.assertEqual(
            add([[Counts(1, 1, 1, 1.0)], [Counts(2, 0, 0, 2.0), Counts(1)]]), [Counts(3, 1, 1, 3.0), Counts(1)]
        )


class Files(unittest.TestCase):
    def test_the_last_state_survives_a_torn_write_and_a_file_that_says_nothing_stops_the_start(self):
        with tempfile.TemporaryDirectory() as folder:
            store = Store(Path(folder), "d/0")
            self.assertEqual(store.load(), Kept())
            for n in range(1, 6):
                store.save(Kept((n, "d0"), (n, "d0"), b"x" * n))
            self.assertEqual(Store(Path(folder), "d/0").load().promised, (5, "d0"))
            raw = bytearray(store.path.read_bytes())
            raw[PLACE * (5 % 2) + 20] ^= 1  # the write of the last one was cut short
            store.path.write_bytes(raw)
            again = Store(Path(folder), "d/0")
            self.assertEqual(again.load().promised, (4, "d0"))
            again.save(Kept((6, "d0")))
            self.assertEqual(Store(Path(folder), "d/0").load().promised, (6, "d0"))
            with mock.patch("os.pwrite", side_effect=OSError("full")), self.assertRaises(OSError):
                again.save(Kept((7, "d0")))
            self.assertEqual(Store(Path(folder), "d/0").load().promised, (6, "d0"))
            store.path.write_bytes(b"MHR9" + bytes(2 * PLACE))
            with self.assertRaisesRegex(ConfigError, "had promised cannot be read"):
                Store(Path(folder), "d/0").load()

    def test_an_acceptor_answers_old_ballots_with_what_it_promised(self):
        acceptor = Acceptor()
        self.assertEqual(acceptor.take(Word("prepare", (2, "a")))[1], True)
        self.assertEqual(acceptor.take(Word("prepare", (1, "a")))[0], Word("nack", (1, "a"), (2, "a")))
        self.assertEqual(acceptor.take(Word("accept", (1, "a"), value=b"x"))[0].kind, "nack")
        self.assertEqual(acceptor.take(Word("accept", (2, "a"), value=b"x"))[0].kind, "accepted")
        self.assertEqual(acceptor.take(Word("accept", (2, "a"), value=b"x")), (Word("accepted", (2, "a")), False))


class Setup(unittest.TestCase):
    def test_budgets(self):
        self.assertEqual([most_out(b, 40) for b in (0, 2, "0%", "1%", "20%")], [0, 2, 0, 1, 8])

    def test_what_cannot_be_used_is_refused_at_the_start(self):
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
