"""Unusual and invalid configurations: each is rejected with a one-line error, or works."""

import asyncio
import copy
import json
from unittest import mock

import pytest
from dispatcher_fixture import SETTINGS, TIMEOUT_S, DispatcherFixture

from millethead.config import ConfigError, load_config
from millethead.console.excluded_workers import ExcludedWorkersFile
from millethead.decide import interface as api
from millethead.exchange import Exchange, Order, WorkerListing
from millethead.lab.clock import VirtualClock
from millethead.net.timeouts import list_timeouts

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
    """Returns the configuration with the value `odd` at the path `at`."""
    document = copy.deepcopy(CONFIG)
    parent = document
    for key in at[:-1]:
        parent = parent[key]
    parent[at[-1]] = odd
    return document


def config(tmp_path, document):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    return load_config({"BALANCER_CONFIG": str(path)})


class BoundedClock(VirtualClock):
    """A clock that fails the test if timers are set endlessly."""

    timers_set = 0

    def later(self, delay, call):
        self.timers_set += 1
        assert self.timers_set < 50_000, "endless timers"
        return super().later(delay, call)


class FailingTransport:
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
def test_odd_value_is_rejected_in_one_line_or_works(folder, at, odd):
    """An empty list of classes, a tick of 0 or a list as a quota made the start fail with a traceback or hang."""
    try:
        made = config(folder, changed(at, odd))
    except ConfigError as error:
        assert "\n" not in str(error)
        return
    clock, answers, names = BoundedClock(1000.0), [], made.names("classes")
    exchange = Exchange(made.settings, made.seed, clock)
    assert list_timeouts(made.settings).next_call_s > 0 and made.state_owner
    with mock.patch("millethead.exchange.module_queue.log.exception") as failed:
        exchange.listed(
            FailingTransport(exchange),
            api.ListForm.FULL,
            [WorkerListing("w", started=1500.0, confirms=True), WorkerListing("x")],
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
def test_invalid_value_is_rejected(tmp_path, at, odd):
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
def test_state_of_another_deployment_of_the_same_name_is_ignored(tmp_path, change, same):
    """Its indexes of classes, zones and tenants have other meanings."""
    ours = config(tmp_path, CONFIG)
    theirs = config(tmp_path, {**CONFIG, "settings": {**SETTINGS, **change}})
    ExcludedWorkersFile(tmp_path, theirs.name, theirs.state_owner).store(["w1"])
    assert ExcludedWorkersFile(tmp_path, ours.name, ours.state_owner).load() == (["w1"] if same else [])


async def test_duplicate_name_is_rejected(tmp_path):
    for key in ("azs", "kinds", "classes", "tenants"):
        with pytest.raises(ConfigError, match=f"{key}: a name stands there twice"):
            config(tmp_path, {**CONFIG, "settings": {**SETTINGS, key: SETTINGS[key][:1] * 2}})


async def test_second_reload_does_not_apply_settings_that_need_a_restart():
    """The second reload was compared with the settings of the first, which waited for a restart. Its values were then
    applied to other classes."""
    async with DispatcherFixture() as dispatcher:

        def reload(quota, classes):
            tenants = [{"name": "rustaveli-desks", "quota_rps": quota}, {"name": "rioni-hub", "quota_rps": quota}]
            dispatcher.path.write_text(
                json.dumps({**dispatcher.config, "settings": {**SETTINGS, "tenants": tenants, "classes": classes}})
            )
            dispatcher.program.reload()
            return [flow.total_reservation for flow in dispatcher.program.exchange._module.flows]

        classes = SETTINGS["classes"]
        assert reload(8.0, classes) == [0.008, 0.008]
        for quota in (2.0, 3.0):
            assert reload(quota, classes[::-1]) == [0.008, 0.008]
        assert dispatcher.program.exchange.settings.classes[1].effect is api.Effect.UNSAFE
        assert reload(4.0, classes) == [0.004, 0.004]
        report = {**SETTINGS["family_info"], "report_x0": "free memory"}
        dispatcher.path.write_text(json.dumps({**dispatcher.config, "settings": {**SETTINGS, "family_info": report}}))
        dispatcher.program.reload()
        assert dispatcher.program.exchange.settings.tenants[0].reservation == 4.0


async def test_pending_list_request_is_dropped_on_a_move(monkeypatch):
    """The request was sent to the new address besides the new watch, whose timeout it restarted."""
    async with DispatcherFixture() as dispatcher:
        discovery, resume, sleep = dispatcher.program.discovery, asyncio.Event(), asyncio.sleep
        reached = asyncio.Event()

        async def sleep_or_pause(seconds, *more):
            if seconds == 0.625:
                reached.set()
                await resume.wait()
            else:
                await sleep(seconds, *more)

        await asyncio.wait_for(dispatcher.discovery.accepted.get(), TIMEOUT_S)
        monkeypatch.setattr("millethead.net.discovery.REQUEST_PAUSE_S", 0.3125)
        monkeypatch.setattr(asyncio, "sleep", sleep_or_pause)
        discovery._unusable_watches = 2
        discovery.watch(True)
        await asyncio.wait_for(reached.wait(), TIMEOUT_S)
        with mock.patch.object(discovery, "_request_list") as request_list:
            discovery.move(("127.0.0.1", dispatcher.workers[0].port))
            resume.set()
            await asyncio.wait_for(dispatcher.workers[0].accepted.get(), TIMEOUT_S)
            for _ in range(20):
                await sleep(0)
        request_list.assert_not_called()
        assert dispatcher.workers[0].accepted.empty()
