"""Settings of other deployments, and such as cannot be meant: refused with one line, or they work."""

import asyncio
import copy
import json
from unittest import mock

import pytest
from dispatcher_fixture import SETTINGS, TIMEOUT_S, DispatcherFixture

from millethead.config import ConfigError, load_config
from millethead.console.store import OutFile
from millethead.decide import interface as api
from millethead.exchange import Exchange, Order, WorkerListing
from millethead.lab.clock import VirtualClock
from millethead.net.terms import list_terms

CONFIG = {
    "name": "n1",
    "listen": "127.0.0.1:80",
    "discovery": "127.0.0.1:9",
    "seed": "1",
    "limits": {"sockets": 256},
    "known": None,
    "settings": SETTINGS,
}
ODD = [None, "x", -1, 0, 1.5, 1e308, -1e308, float("nan"), float("inf"), True, [], [1], {}, {"a": 1}]


def places(value, at=()):
    yield at
    items = value.items() if isinstance(value, dict) else enumerate(value[:1]) if isinstance(value, list) else ()
    for key, inner in items:
        yield from places(inner, (*at, key))


def changed(at, odd):
    """The configuration with an odd value in one place."""
    said = copy.deepcopy(CONFIG)
    where = said
    for key in at[:-1]:
        where = where[key]
    where[at[-1]] = odd
    return said


def config(tmp_path, said):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(said))
    return load_config({"BALANCER_CONFIG": str(path)})


class Bounded(VirtualClock):
    """A clock on which timers without end fail the test."""

    set = 0

    def later(self, delay, call):
        self.set += 1
        assert self.set < 50_000, "it sets timers for ever"
        return super().later(delay, call)


class Side:
    def __init__(self, exchange):
        self.exchange = exchange

    def start(self, attempt):
        self.exchange.ended(attempt, api.Outcome.RESET)

    def give_up(self, attempt):
        pass

    def probe(self, worker):
        pass


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("config")


@pytest.mark.parametrize("at", [at for at in places(CONFIG) if at], ids=lambda at: ".".join(map(str, at)))
@pytest.mark.parametrize("odd", ODD, ids=repr)
def test_an_odd_value_is_refused_in_one_line_or_can_be_worked_with(folder, at, odd):
    """No classes, a tick of 0 or a list for a quota once ended the start with a traceback, or never ended it."""
    try:
        made = config(folder, changed(at, odd))
    except ConfigError as error:
        assert "\n" not in str(error)
        return
    clock, answers, names = Bounded(1000.0), [], made.names("classes")
    exchange = Exchange(made.settings, made.seed, clock)
    assert list_terms(made.settings).again > 0 and made.whose
    with mock.patch("millethead.exchange.module_queue.log.exception") as failed:
        exchange.listed(
            Side(exchange), api.ListForm.FULL, [WorkerListing("w", started=1500.0, confirms=True), WorkerListing("x")]
        )
        for n in range(len(names)):
            exchange.arrive(Order(f"a{n}", n, min(5000.0, made.settings.classes[n].deadline)), answers.append)
        clock.run(9000)
    failed.assert_not_called()
    assert len(answers) == len(names) > 0


@pytest.mark.parametrize(
    ("at", "odd"),
    [
        (("limits", "sockets"), float("inf")),
        (("settings", "classes"), []),
        (("settings", "tick"), -1),
        (("settings", "tenants", 0, "quota_rps"), []),
        (("settings", "tenants", 0), {"a": 1}),
        (("settings", "classes", 0, "deadline"), 0),
        (("settings", "classes", 0, "window"), float("nan")),
        (("settings", "rules", "drain_grace"), "750"),
        (("settings", "rules"), [1]),
    ],
)
def test_what_cannot_be_meant_is_refused(tmp_path, at, odd):
    with pytest.raises(ConfigError):
        config(tmp_path, changed(at, odd))


@pytest.mark.parametrize(
    ("change", "same"),
    [
        ({}, True),
        ({"rules": {}}, True),
        ({"azs": ["kutaisi", "tbilisi"]}, False),
        ({"kinds": ["newer-box"]}, False),
        ({"classes": SETTINGS["classes"][:2]}, False),
        ({"tenants": []}, False),
    ],
)
def test_what_another_deployment_left_under_the_same_name_is_not_used(tmp_path, change, same):
    """Its numbers of classes, zones and tenants mean something else."""
    ours = config(tmp_path, CONFIG)
    theirs = config(tmp_path, {**CONFIG, "settings": {**SETTINGS, **change}})
    OutFile(tmp_path, theirs.name, theirs.whose).store(["w1"])
    assert OutFile(tmp_path, ours.name, ours.whose).load() == (["w1"] if same else [])


async def test_a_name_twice_is_refused(tmp_path):
    for key in ("azs", "kinds", "classes", "tenants"):
        with pytest.raises(ConfigError, match=f"{key}: a name stands there twice"):
            config(tmp_path, {**CONFIG, "settings": {**SETTINGS, key: SETTINGS[key][:1] * 2}})


async def test_figures_of_other_classes_are_not_put_in_force_by_a_second_signal():
    """The first says that it needs a restart; the second was held against it, and its figures went to other classes."""
    async with DispatcherFixture() as stage:

        def reload(quota, classes):
            tenants = [{"name": "rustaveli-desks", "quota_rps": quota}, {"name": "rioni-hub", "quota_rps": quota}]
            stage.path.write_text(
                json.dumps({**stage.config, "settings": {**SETTINGS, "tenants": tenants, "classes": classes}})
            )
            stage.program.reload()
            return [flow.total_reservation for flow in stage.program.exchange._module.flows]

        classes = SETTINGS["classes"]
        assert reload(8.0, classes) == [0.008, 0.008]
        for quota in (2.0, 3.0):
            assert reload(quota, classes[::-1]) == [0.008, 0.008]
        assert stage.program.exchange.settings.classes[1].effect is api.Effect.UNSAFE
        assert reload(4.0, classes) == [0.004, 0.004]
        report = {**SETTINGS["family_info"], "report_x0": "free memory"}
        stage.path.write_text(json.dumps({**stage.config, "settings": {**SETTINGS, "family_info": report}}))
        stage.program.reload()
        assert stage.program.exchange.settings.tenants[0].reservation == 4.0


async def test_a_call_for_the_whole_list_does_not_outlive_a_move(monkeypatch):
    """It went to the new address beside the new watch, and began that one's time limit anew."""
    async with DispatcherFixture() as stage:
        discovery, park, sleep = stage.program.discovery, asyncio.Event(), asyncio.sleep
        here = asyncio.Event()

        async def parked(seconds, *more):
            if seconds == 0.625:
                here.set()
                await park.wait()
            else:
                await sleep(seconds, *more)

        await asyncio.wait_for(stage.discovery.accepted.get(), TIMEOUT_S)
        monkeypatch.setattr("millethead.net.discovery.PAUSE", 0.3125)
        monkeypatch.setattr(asyncio, "sleep", parked)
        discovery._unread = 2
        discovery.watch(True)
        await asyncio.wait_for(here.wait(), TIMEOUT_S)
        with mock.patch.object(discovery, "_ask") as ask:
            discovery.move(("127.0.0.1", stage.workers[0].port))
            park.set()
            await asyncio.wait_for(stage.workers[0].accepted.get(), TIMEOUT_S)
            for _ in range(20):
                await sleep(0)
        ask.assert_not_called()
        assert stage.workers[0].accepted.empty()
