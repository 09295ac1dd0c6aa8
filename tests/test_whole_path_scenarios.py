"""The scenarios of features/whole_path.feature: head, agents, workers and clients in one process, without sockets."""

from __future__ import annotations

from pytest_bdd import given, parsers, scenarios, then, when

from millethead.lab.system_world import History, WorldSettings, play

scenarios("features/whole_path.feature")

SEED = 7


@given("a system without troubles", target_fixture="settings")
def without_troubles() -> WorldSettings:
    return WorldSettings(kinds=())


@given(parsers.parse('a system with troubles of the kind "{kind}"'), target_fixture="settings")
def with_troubles(kind: str) -> WorldSettings:
    return WorldSettings(kinds=(kind,))


@when("clients hand in jobs until all is calm", target_fixture="history")
def hand_in(settings: WorldSettings) -> History:
    return play(SEED, settings)


@then("no rule is broken")
def no_rule_broken(history: History) -> None:
    assert (history.rule, history.fault) == ("", "")


@then(parsers.parse("at least {count:d} jobs are shown as done"))
def jobs_done(history: History, count: int) -> None:
    assert history.done >= count
    assert history.starts >= history.done


@then("the same head has served all the time")
def one_head(history: History) -> None:
    assert history.epochs == 1


@then("more than one head has served")
def more_heads(history: History) -> None:
    assert history.epochs > 1
