"""Configuration: parsing, validation, changes, the register and route lookup; and settings files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millethead.configuration import change as change_module
from millethead.configuration.change import (
    ConfigurationState,
    DamagedState,
    Decision,
    Method,
    Order,
    OrderNotAcceptable,
    Verdict,
    merge,
)
from millethead.configuration.check import parse
from millethead.configuration.model import Configuration, Finding, InvalidConfiguration, Limits, Route, Service
from millethead.configuration.routing import RouteTable, normalize_host
from millethead.configuration.settings import (
    SETTINGS_PATH_VARIABLE,
    Bounds,
    CallerKind,
    InvalidSettings,
    Listen,
    ProcessSettings,
    Tolerate,
    load_settings,
    parse_settings,
)
from millethead.replication.log_position import EARLIEST_POSITION, NO_POSITION, LogPosition


def make_route(name: str = "r-one", **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "timeout_ms": 3000,
        "service": "press",
    } | fields


def make_document(version: Any = 1, **fields: Any) -> dict[str, Any]:
    return {"version": version, "routes": [make_route()], "services": [{"name": "press"}]} | fields


def encode_json(document: Any) -> bytes:
    return json.dumps(document).encode()


def parse_findings(document: Any) -> list[tuple[str, str]]:
    """The findings of an invalid configuration, as (place, problem)."""
    with pytest.raises(InvalidConfiguration) as caught:
        parse(document if isinstance(document, bytes) else encode_json(document))
    assert str(caught.value)
    return [(finding.place, finding.problem) for finding in caught.value.findings]


def parse_finding_places(document: Any) -> list[str]:
    return [place for place, _ in parse_findings(document)]


# Parsing


def test_all_fields_are_read() -> None:
    document = {
        "version": 7,
        "routes": [
            {
                "name": "r-one",
                "host": "shop.example",
                "path_prefix": "/a/",
                "type": "idempotent",
                "timeout_ms": 2500,
                "target_ms": 250,
                "prio": 2,
                "service": "press",
                "retries": 4,
                "skew": 2.2,
            }
        ],
        "services": [
            {"name": "press", "health_path": "/well", "max_conns": 8, "protocol": "h2", "tls": True, "guards": True}
        ],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3, "idle_timeout_ms": 4},
    }
    assert parse(encode_json(document)) == Configuration(
        version=7,
        routes=(
            Route(
                name="r-one",
                host="shop.example",
                path_prefix="/a/",
                type="idempotent",
                timeout_ms=2500,
                target_ms=250,
                prio=2,
                service="press",
                retries=4,
                skew=2.2,
            ),
        ),
        services=(Service(name="press", health_path="/well", max_conns=8, protocol="h2", tls=True, guards=True),),
        limits=Limits(max_header_bytes=1, max_body_bytes=2, header_timeout_ms=3, idle_timeout_ms=4),
    )


def test_fields_that_may_be_absent_have_defaults() -> None:
    configuration = parse(encode_json(make_document()))
    assert configuration.routes == (
        Route(
            name="r-one",
            host="shop.example",
            path_prefix="/r-one/",
            type="non_idempotent",
            timeout_ms=3000,
            target_ms=1000,
            prio=0,
            service="press",
            retries=3,
            skew=1.5,
        ),
    )
    assert configuration.services[0].guards is False
    assert configuration.limits == Limits()


def test_null_stands_for_an_absent_field() -> None:
    assert parse(encode_json(make_document(limits=None, routes=[make_route(skew=None)]))) == parse(
        encode_json(make_document())
    )
    assert parse_findings(make_document(routes=[make_route(timeout_ms=None)])) == [
        ("routes[0].timeout_ms", "is missing")
    ]


def test_unknown_fields_are_tolerated() -> None:
    extra = {"colour": {"deep": [1, 2.5, None, "\ud800"]}}
    document = make_document(routes=[make_route() | extra], services=[{"name": "press"} | extra]) | extra
    assert parse(encode_json(document)) == parse(encode_json(make_document()))


def test_a_configuration_may_be_empty() -> None:
    assert parse(encode_json({"version": 3, "routes": [], "services": []})).routes == ()


def test_whole_numbers_may_be_written_with_a_fraction_of_zero() -> None:
    configuration = parse(b'{"version":7.0,"routes":[],"services":[{"name":"press","max_conns":64.0}]}')
    assert (configuration.version, configuration.services[0].max_conns) == (7, 64)


def test_a_fraction_of_a_millisecond_is_kept() -> None:
    assert parse(encode_json(make_document(routes=[make_route(timeout_ms=2712.5)]))).routes[0].timeout_ms == 2712.5


# Validation


@pytest.mark.parametrize("raw", [
    b"", b"{", b"nonsense", b'{"version":1', b"\xff\xfe", b"\xef\xbb\xbf{}", b'{"a":"\xc3"}', b'{"a":NaN}',
    b'{"a":-Infinity}', b'{"a":1e999}', b'{"a":' + b"9" * 5000 + b"}", b'{"a":1}{"b":2}',
])  # fmt: skip
def test_unreadable_document_is_one_finding(raw: bytes) -> None:
    [(place, problem)] = parse_findings(raw)
    assert place == "" and "cannot be read whole" in problem


@pytest.mark.parametrize("depth", [65, 100, 990, 1000, 100_000])
@pytest.mark.parametrize(("left", "right"), [(b"[", b"]"), (b'{"a":', b"}")])
def test_deep_nesting_is_a_finding(depth: int, left: bytes, right: bytes) -> None:
    raw = b'{"a":' + left * depth + b"1" + right * depth + b"}"
    assert parse_findings(raw) == [("", "is nested too deeply")]


def test_nesting_up_to_the_limit_is_read() -> None:
    raw = encode_json(make_document())[:-1] + b',"deep":' + b"[" * 63 + b"]" * 63 + b"}"
    assert parse(raw) == parse(encode_json(make_document()))


@pytest.mark.parametrize("raw", [b"[]", b"7", b"null", b'"text"', b"true"])
def test_configuration_must_be_an_object(raw: bytes) -> None:
    assert parse_findings(raw) == [("", "is not an object")]


def test_version_routes_and_services_are_required() -> None:
    assert parse_findings({}) == [("version", "is missing"), ("routes", "is missing"), ("services", "is missing")]


@pytest.mark.parametrize("version", [0, -1, 1.5, "7", True, [], 2**63, 10**250, 1e200])
def test_version_must_be_a_positive_integer(version: Any) -> None:
    assert parse_finding_places(make_document(version)) == ["version"]


@pytest.mark.parametrize("timeout", [0, -1, 0.0, "3000", True, {}, 10**250])
def test_timeout_must_be_positive(timeout: Any) -> None:
    assert parse_finding_places(make_document(routes=[make_route(), make_route("r-two", timeout_ms=timeout)])) == [
        "routes[1].timeout_ms"
    ]


@pytest.mark.parametrize("field", ["name", "host", "path_prefix", "service"])
@pytest.mark.parametrize("value", ["", 7, "\ud800", ["a"], {}])
def test_texts_of_a_route_must_not_be_empty(field: str, value: Any) -> None:
    faulty = make_route(path_prefix="/a/") | {field: value}
    assert parse_finding_places(make_document(routes=[faulty])) == [f"routes[0].{field}"]


@pytest.mark.parametrize(("document", "places"), [
    (make_document(routes={}), ["routes"]),
    (make_document(services={}), ["services"]),
    (make_document(routes=[7]), ["routes[0]"]),
    (make_document(services=[{"name": "press"}, []]), ["services[1]"]),
    (make_document(services=[{"name": "press", "max_conns": "64"}]), ["services[0].max_conns"]),
    (make_document(services=[{"name": "press", "guards": 1}]), ["services[0].guards"]),
    (make_document(services=[{"name": "press", "tls": "no"}]), ["services[0].tls"]),
    (make_document(limits=[]), ["limits"]),
    (make_document(limits={"max_body_bytes": -1}), ["limits.max_body_bytes"]),
    (make_document(routes=[make_route(retries=-1)]), ["routes[0].retries"]),
    (make_document(routes=[make_route(prio=0.5)]), ["routes[0].prio"]),
    (make_document(routes=[make_route(skew="1")]), ["routes[0].skew"]),
])  # fmt: skip
def test_wrong_types_are_reported_with_their_location(document: Any, places: list[str]) -> None:
    assert parse_finding_places(document) == places


def test_route_must_have_a_known_service() -> None:
    document = make_document(routes=[make_route(), make_route("r-two", service="mill")])
    assert parse_findings(document) == [("routes[1].service", "there is no service 'mill'")]


def test_two_routes_may_not_share_host_and_prefix() -> None:
    routes = [make_route(), make_route("r-two"), make_route("r-three", host="SHOP.example:80", path_prefix="/r-one/")]
    assert parse_findings(make_document(routes=routes)) == [
        ("routes[2].path_prefix", "routes[0] has the same host and prefix")
    ]


def test_one_prefix_may_be_used_on_two_hosts_and_one_prefix_may_begin_another() -> None:
    routes = [
        make_route(path_prefix="/a/"),
        make_route("r-two", path_prefix="/a/", host="else.example"),
        make_route("r-three", path_prefix="/a/b/"),
    ]
    assert len(parse(encode_json(make_document(routes=routes))).routes) == 3


def test_names_must_be_unique() -> None:
    document = make_document(
        routes=[make_route(), make_route(path_prefix="/b/")], services=[{"name": "press"}, {"name": "press"}]
    )
    assert parse_findings(document) == [
        ("routes[1].name", "'r-one' is the name of routes[0] as well"),
        ("services[1].name", "'press' is the name of services[0] as well"),
    ]


def test_all_findings_are_reported_together() -> None:
    document = make_document(
        0,
        routes=[
            make_route(timeout_ms=0, skew="x"),
            5,
            make_route("r-two", service="mill"),
            make_route("r-two", host="", path_prefix=None),
        ],
        limits={"max_header_bytes": None, "idle_timeout_ms": "x"},
    )
    assert sorted(parse_finding_places(document)) == [
        "limits.idle_timeout_ms",
        "routes[0].skew",
        "routes[0].timeout_ms",
        "routes[1]",
        "routes[2].service",
        "routes[3].host",
        "routes[3].name",
        "routes[3].path_prefix",
        "version",
    ]


def test_long_texts_are_truncated_in_findings() -> None:
    [(_, problem)] = parse_findings(make_document(routes=[make_route(service="m" * 10_000)]))
    assert len(problem) < 200


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)
ITEM = st.fixed_dictionaries(
    {},
    optional={
        name: ANY_JSON | st.sampled_from(["a", "b", "/a/", 1, 0, 3000])
        for name in (
            "name",
            "host",
            "path_prefix",
            "type",
            "timeout_ms",
            "prio",
            "service",
            "retries",
            "skew",
            "guards",
        )
    },
)
LIKELY = st.fixed_dictionaries(
    {},
    optional={
        "version": ANY_JSON | st.integers(-1, 9),
        "limits": ANY_JSON,
        "extra": ANY_JSON,
        "routes": ANY_JSON | st.lists(ITEM | ANY_JSON, max_size=4),
        "services": ANY_JSON | st.lists(ITEM | ANY_JSON, max_size=4),
    },
)
ITEM_LISTS = st.fixed_dictionaries(
    {}, optional={key: ANY_JSON | st.lists(ITEM, max_size=3) for key in ("routes", "services", "version", "extra")}
)
LIKELY_CHANGE = st.fixed_dictionaries(
    {},
    optional={
        "version": ANY_JSON | st.integers(-1, 9),
        "limits": ANY_JSON,
        "upsert": ANY_JSON | ITEM_LISTS,
        "delete": ANY_JSON | st.dictionaries(st.sampled_from(["routes", "services", "extra"]), st.lists(st.text())),
    },
)
ANY_BODY = st.binary(max_size=200) | (ANY_JSON | LIKELY | LIKELY_CHANGE).map(encode_json)


@given(ANY_BODY)
@settings(max_examples=400, deadline=None)
def test_any_bytes_are_valid_or_rejected(raw: bytes) -> None:
    try:
        configuration = parse(raw)
    except InvalidConfiguration as error:
        assert error.findings and str(error).encode()
    else:
        assert parse(raw) == configuration and RouteTable(configuration).version > 0


@given(st.data())
@settings(max_examples=200, deadline=None)
def test_corrupted_configuration_is_valid_or_rejected(data: st.DataObject) -> None:
    raw = bytearray(encode_json(make_document(routes=[make_route(), make_route("r-two")])))
    for _ in range(data.draw(st.integers(1, 4))):
        raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
    try:
        parse(bytes(raw))
    except InvalidConfiguration as error:
        assert error.findings


# Changes


def merge_change(current: dict[str, Any], **change: Any) -> dict[str, Any]:
    return merge(current, {"version": 9} | change)


def places_of_invalid_change(current: dict[str, Any], change: Any) -> list[str]:
    with pytest.raises(InvalidConfiguration) as caught:
        merge(current, change)
    return [finding.place for finding in caught.value.findings]


def test_items_are_replaced_in_place_and_new_ones_follow() -> None:
    current = make_document(routes=[make_route("r-one"), make_route("r-two"), make_route("r-three")])
    merged = merge_change(current, upsert={"routes": [make_route("r-new"), make_route("r-two", prio=5)]})
    assert [item["name"] for item in merged["routes"]] == ["r-one", "r-two", "r-three", "r-new"]
    assert merged["routes"][1] == make_route("r-two", prio=5)
    assert merged["version"] == 9 and current["version"] == 1 and len(current["routes"]) == 3


def test_a_replaced_item_keeps_nothing_of_the_old_one() -> None:
    merged = merge_change(make_document(routes=[make_route(skew=4, colour="red")]), upsert={"routes": [make_route()]})
    assert merged["routes"] == [make_route()]


def test_names_are_removed_and_unknown_names_ignored() -> None:
    current = make_document(
        routes=[make_route("r-one"), make_route("r-two")], services=[{"name": "press"}, {"name": "mill"}]
    )
    merged = merge_change(current, delete={"routes": ["r-one", "r-gone"], "services": ["mill"], "others": ["x"]})
    assert merged == make_document(9, routes=[make_route("r-two")])


def test_what_a_change_does_not_name_is_kept() -> None:
    current = make_document(limits={"max_body_bytes": 5}, colour=[1, {"name": 7}], routes=[make_route(shade="deep")])
    assert merge_change(current) == current | {"version": 9}
    assert merge_change(current, upsert=None, delete={"routes": None}) == current | {"version": 9}


def test_limits_are_replaced() -> None:
    assert merge_change(make_document(limits={"max_body_bytes": 5}), limits={"max_header_bytes": 6})["limits"] == {
        "max_header_bytes": 6
    }


def test_unknown_lists_change_like_known_ones() -> None:
    current = make_document(pools=[{"name": "a"}, 7, {"name": ["a"]}])
    merged = merge_change(current, upsert={"pools": [{"name": "b"}], "new": [{"name": "c"}]}, delete={"pools": ["a"]})
    assert merged["pools"] == [7, {"name": ["a"]}, {"name": "b"}] and merged["new"] == [{"name": "c"}]


@pytest.mark.parametrize(("change", "places"), [
    ([], [""]),
    ({"upsert": []}, ["upsert"]),
    ({"upsert": {"routes": {}}}, ["upsert.routes"]),
    ({"upsert": {"routes": [make_route(), 5, {"name": ""}, {}]}},
     ["upsert.routes[1]", "upsert.routes[2].name", "upsert.routes[3].name"]),
    ({"upsert": {"routes": [make_route(), make_route()]}}, ["upsert.routes[1].name"]),
    ({"upsert": {"routes": [make_route()]}, "delete": {"routes": ["r-one"]}}, ["upsert.routes[0].name"]),
    ({"upsert": {"version": []}, "delete": {"limits": ["a"], "text": ["a"]}},
     ["upsert.version", "delete.limits", "delete.text"]),
    ({"delete": {"routes": "r-one"}}, ["delete.routes"]),
    ({"delete": {"routes": [7]}, "limits": []}, ["delete.routes[0]", "limits"]),
])  # fmt: skip
def test_inapplicable_change_is_invalid(change: Any, places: list[str]) -> None:
    assert places_of_invalid_change(make_document(text="plain"), change) == places


# The register


def put(if_match: int | None, document: Any) -> Order:
    return Order(Method.PUT, if_match, document if isinstance(document, bytes) else encode_json(document))


def patch(if_match: int | None, **change: Any) -> Order:
    return Order(Method.PATCH, if_match, encode_json(change))


def apply(state: ConfigurationState, order: Order) -> Decision:
    decision = state.decide(order)
    if decision.verdict is Verdict.ACCEPTED:
        state.accept(order, decision, LogPosition(1, state.place.sequence + 1))
    return decision


def state_at(version: int, **fields: Any) -> ConfigurationState:
    state = ConfigurationState()
    assert apply(state, put(0, make_document(version, **fields))).verdict is Verdict.ACCEPTED
    return state


def test_first_configuration_has_no_base_version() -> None:
    for if_match in (0, None):
        state = ConfigurationState()
        assert (state.version, state.document, state.configuration) == (0, b"", None)
        raw = b' {"version": 4, "routes": [], "services": [], "colour": "red"}\n'
        decision = apply(state, put(if_match, raw))
        assert decision.verdict is Verdict.ACCEPTED and not decision.findings
        assert (state.version, state.document, state.configuration) == (4, raw, parse(raw))


def test_deciding_changes_nothing() -> None:
    state = state_at(3)
    before = state.encode()
    state.decide(put(3, make_document(5)))
    assert state.encode() == before


def test_order_with_another_base_version_is_a_conflict() -> None:
    state = state_at(3)
    for if_match in (0, 2, 4, -3, None):
        decision = state.decide(put(if_match, make_document(9)))
        assert decision.verdict is (Verdict.AHEAD if if_match == 4 else Verdict.CONFLICT)
        assert decision.findings == (Finding("If-Match", "the current version is 3"),)
        assert decision.configuration is None and decision.document is None


def test_a_version_must_exceed_the_current_one() -> None:
    state = state_at(3)
    for version in (1, 3):
        for order in (put(3, make_document(version)), patch(3, version=version)):
            decision = state.decide(order)
            assert decision.verdict is Verdict.INVALID
            assert decision.findings == (Finding("version", "does not exceed the current one, 3"),)


def test_outdated_version_is_reported_with_other_findings() -> None:
    decision = state_at(3).decide(put(3, make_document(2, routes=[make_route(timeout_ms=0)])))
    assert [finding.place for finding in decision.findings] == ["routes[0].timeout_ms", "version"]


def test_accepted_order_is_a_repeat_afterwards() -> None:
    state = state_at(3)
    order = put(3, make_document(5))
    assert apply(state, order).verdict is Verdict.ACCEPTED
    assert state.decide(order).verdict is Verdict.REPEATED
    assert apply(state, patch(5, version=8)).verdict is Verdict.ACCEPTED
    assert state.decide(order).verdict is Verdict.REPEATED


@pytest.mark.parametrize(
    "other",
    [
        Order(Method.PUT, 3, encode_json(make_document(5, colour="red"))),
        Order(Method.PUT, 2, encode_json(make_document(5))),
        Order(Method.PATCH, 3, encode_json(make_document(5))),
        Order(Method.PUT, None, encode_json(make_document(5))),
    ],
)
def test_different_order_with_the_same_version_is_no_repeat(other: Order) -> None:
    state = state_at(3)
    apply(state, put(3, make_document(5)))
    assert state.decide(other).verdict is Verdict.CONFLICT


def test_a_refused_order_stays_refused() -> None:
    """Otherwise an order with a future base version could be accepted when it is sent again."""
    state = state_at(3)
    late, invalid = put(5, make_document(9)), put(3, make_document(2))
    assert apply(state, late).verdict is Verdict.AHEAD
    state.refuse(late.digest())
    assert apply(state, invalid).verdict is Verdict.INVALID
    apply(state, put(3, make_document(5)))
    for restored in (state, ConfigurationState.decode(state.encode())):
        assert apply(restored, late).verdict is Verdict.CONFLICT
        assert restored.decide(invalid).verdict is Verdict.CONFLICT
        assert restored.version == 5


def test_an_accepted_order_cannot_be_refused() -> None:
    state = state_at(3)
    order = put(3, make_document(5))
    apply(state, order)
    state.refuse(order.digest())
    assert state.decide(order).verdict is Verdict.REPEATED


def test_only_the_newest_refusals_are_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(change_module, "MAX_REFUSED_ORDERS", 2)
    state = state_at(3)
    orders = [put(version, make_document(99)) for version in (7, 8, 9)]
    for order in orders:
        state.refuse(order.digest())
    assert [state.decide(order).verdict for order in orders] == [Verdict.AHEAD] + [Verdict.CONFLICT] * 2
    assert ConfigurationState.decode(state.encode()).encode() == state.encode()


def test_place_is_that_of_the_entry_that_set_the_configuration() -> None:
    state = ConfigurationState()
    assert state.is_configuration_place(NO_POSITION) and not state.is_configuration_place(LogPosition(2, 9))
    for version, place in ((0, LogPosition(2, 9)), (1, LogPosition(4, 11))):
        order = put(version, make_document(version + 1))
        state.accept(order, state.decide(order), place)
    for restored in (state, ConfigurationState.decode(state.encode())):
        assert (
            restored.place == LogPosition(4, 11)
            and restored.is_configuration_place(LogPosition(2, 9))
            and not restored.is_configuration_place(LogPosition(3, 9))
        )


def test_first_state_format_without_places_can_be_read() -> None:
    """Snapshots in the first format may still exist on disks."""
    document, digest = put(0, make_document(3)).body, put(0, make_document(3)).digest()
    first = change_module.HEADER_V1.pack(change_module.MAGIC_V1, len(document), 1) + document + digest
    state = ConfigurationState.decode(first)
    assert state.version == 3 and state.place == EARLIEST_POSITION > NO_POSITION
    assert state.decide(put(0, make_document(3))).verdict is Verdict.REPEATED
    for length in range(4, len(first)):
        with pytest.raises(DamagedState):
            ConfigurationState.decode(first[:length])


def test_only_one_of_two_orders_with_the_same_base_version_is_accepted() -> None:
    state = state_at(3)
    first, second = put(3, make_document(5, colour="red")), put(3, make_document(5, colour="blue"))
    decisions = state.decide(first), state.decide(second)
    state.accept(first, decisions[0], LogPosition(1, 2))
    with pytest.raises(OrderNotAcceptable):
        state.accept(second, decisions[1], LogPosition(1, 3))
    assert state.document == first.body


def test_only_an_accepting_decision_takes_effect() -> None:
    state = state_at(3)
    order = put(2, make_document(9))
    before = state.encode()
    with pytest.raises(OrderNotAcceptable):
        state.accept(order, state.decide(order), LogPosition(1, 2))
    assert state.encode() == before


def test_a_change_is_checked_as_a_whole_configuration() -> None:
    state = state_at(3)
    decision = apply(state, patch(3, version=5, delete={"services": ["press"]}))
    assert decision.verdict is Verdict.INVALID
    assert decision.findings == (Finding("routes[0].service", "there is no service 'press'"),)
    assert apply(state, patch(3, upsert={})).findings == (Finding("version", "is missing"),)


def test_the_document_of_a_change_keeps_unknown_fields() -> None:
    state = state_at(3, colour="r\u00f6d", routes=[make_route(shade=1.25), make_route("r-two")])
    apply(state, patch(3, version=5, upsert={"routes": [make_route("r-two", glow=[None])]}))
    assert json.loads(state.document) == make_document(
        5, colour="r\u00f6d", routes=[make_route(shade=1.25), make_route("r-two", glow=[None])]
    )
    assert state.configuration == parse(state.document)


def test_a_change_may_come_first() -> None:
    state = ConfigurationState()
    apply(state, patch(0, version=2, upsert={"routes": [make_route()], "services": [{"name": "press"}]}))
    assert json.loads(state.document) == make_document(2)


def test_only_the_newest_orders_are_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(change_module, "MAX_ACCEPTED_ORDERS", 3)
    state = ConfigurationState()
    orders = [put(version, make_document(version + 1)) for version in range(5)]
    for order in orders:
        apply(state, order)
    for restored in (state, ConfigurationState.decode(state.encode())):
        verdicts = [restored.decide(order).verdict for order in orders]
        assert verdicts == [Verdict.FORGOTTEN] * 2 + [Verdict.REPEATED] * 3, "what was accepted is never refused"
        assert restored.decide(put(3, make_document(9))).verdict is Verdict.CONFLICT
    assert ConfigurationState.decode(state.encode()).encode() == state.encode()


def test_a_digest_covers_the_whole_order() -> None:
    digests = {
        Order(method, if_match, raw).digest()
        for method in Method
        for if_match in (None, 0, 1, 11)
        for raw in (b"", b"1", b"\n")
    }
    assert len(digests) == 24 and {len(digest) for digest in digests} == {32}


def test_state_round_trips_through_its_encoding() -> None:
    state = state_at(3, colour="red")
    order = patch(3, version=5)
    apply(state, order)
    for restored in (ConfigurationState(), state):
        decoded = ConfigurationState.decode(restored.encode())
        assert (decoded.version, decoded.document) == (restored.version, restored.document)
        assert decoded.configuration == restored.configuration and decoded.encode() == restored.encode()
    assert ConfigurationState.decode(state.encode()).decide(order).verdict is Verdict.REPEATED


def test_corrupted_state_is_rejected() -> None:
    encoded = state_at(3).encode()
    for length in range(len(encoded)):
        with pytest.raises(DamagedState):
            ConfigurationState.decode(encoded[:length])
    for damaged in (encoded + b"x", b"X" + encoded[1:], encoded.replace(b"routes", b"rootes")):
        with pytest.raises(DamagedState):
            ConfigurationState.decode(damaged)


@given(st.lists(st.tuples(st.sampled_from(Method), st.none() | st.integers(-1, 9), ANY_BODY), max_size=8))
@settings(max_examples=200, deadline=None)
def test_any_orders_leave_a_consistent_state(orders: list[tuple[Method, int | None, bytes]]) -> None:
    state = state_at(1)
    for order in (Order(*parts) for parts in orders):
        before = state.version
        decision = apply(state, order)
        assert (decision.verdict in (Verdict.CONFLICT, Verdict.AHEAD, Verdict.INVALID)) == bool(decision.findings)
        assert (state.version > before) == (decision.verdict is Verdict.ACCEPTED)
        assert parse(state.document) == state.configuration
    assert ConfigurationState.decode(state.encode()).encode() == state.encode()


@given(LIKELY_CHANGE)
@settings(max_examples=300, deadline=None)
def test_any_change_is_decided(change: dict[str, Any]) -> None:
    state = state_at(1)
    decision = apply(state, patch(1, **change))
    assert decision.verdict in (Verdict.ACCEPTED, Verdict.INVALID)
    assert parse(state.document) == state.configuration


# Routes


def make_route_table(*routes: dict[str, Any]) -> RouteTable:
    return RouteTable(parse(encode_json(make_document(routes=list(routes)))))


def find_route_name(routes: RouteTable, host: str, path: str) -> str | None:
    route = routes.find(host, path)
    return route.name if route else None


def test_the_longest_prefix_is_chosen() -> None:
    routes = make_route_table(
        make_route("root", path_prefix="/"),
        make_route("a", path_prefix="/a/"),
        make_route("ab", path_prefix="/a/b"),
        make_route("else", path_prefix="/a/b/c/", host="else.example"),
    )
    expected = {
        "/": "root",
        "/a": "root",
        "/a/": "a",
        "/a/x": "a",
        "/a/b": "ab",
        "/a/bc/": "ab",
        "/a/b/c/d": "ab",
        "": None,
        "a": None,
    }
    assert {path: find_route_name(routes, "shop.example", path) for path in expected} == expected
    assert (
        find_route_name(routes, "else.example", "/a/b/c/d") == "else"
        and find_route_name(routes, "else.example", "/a/b/c") is None
    )


@pytest.mark.parametrize("host", ["shop.example", "SHOP.Example", "shop.example:80", "shop.example:", " shop.example"])
def test_a_host_is_found_in_any_case_and_with_any_port(host: str) -> None:
    assert find_route_name(make_route_table(make_route(path_prefix="/a/")), host, "/a/1") == "r-one"


@pytest.mark.parametrize("host", ["", ":80", "example", "shop.example.", "www.shop.example", "shop.example:x"])
def test_other_hosts_are_not_found(host: str) -> None:
    assert find_route_name(make_route_table(make_route(path_prefix="/")), host, "/") is None


def test_hosts_are_compared_without_their_port() -> None:
    assert [normalize_host(host) for host in ("[::1]:80", "[::1]", "::1", "10.0.0.1:9", "A:1")] == [
        "[::1]",
        "[::1]",
        "::1",
        "10.0.0.1",
        "a",
    ]


def test_routes_and_services_are_found_by_name() -> None:
    routes = make_route_table(make_route(), make_route("r-two"))
    two = routes.by_name("r-two")
    assert two is not None and two.path_prefix == "/r-two/" and routes.by_name("r-none") is None
    assert dict(routes.services) == {"press": Service(name="press")}


@given(st.lists(st.text("/ab", min_size=1, max_size=5), min_size=1, unique=True), st.text("/ab", max_size=8))
@settings(max_examples=200, deadline=None)
def test_lookup_agrees_with_its_definition(prefixes: list[str], path: str) -> None:
    routes = make_route_table(*(make_route(prefix, path_prefix=prefix) for prefix in prefixes))
    expected = max((prefix for prefix in prefixes if path.startswith(prefix)), key=len, default=None)
    assert find_route_name(routes, "shop.example", path) == expected


# Settings of a process


def make_settings_document(**fields: Any) -> dict[str, Any]:
    return {
        "node": "edge-north-1",
        "role": "control",
        "class": "edge",
        "serves": ["edge", "control_plane"],
        "ip": "10.0.0.1",
        "zone": "north",
        "region": "land",
        "zones": {"north": "land", "south": "land"},
        "listen": {"front": "10.0.0.1:8000", "ready": "10.0.0.1:8001", "control": "10.0.0.1:8002"},
        "port_range": [7000, 7015],
        "seeds": ["10.0.0.1:8002", "10.0.0.2:8002"],
        "bootstrap": True,
        "counts_for_quorum": True,
        "data_dir": "/data/control",
        "heartbeat_ms": 1400,
        "contracts": ["base"],
        "limits": {"cpu_share": 0.7, "cores": 3, "memory_mb": 300, "max_fds": 4100, "link_mbps": 10.0, "disk_mb": 128},
        "tolerate": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": {"contact_ms": 2500, "far_x": 2, "new_s": "x"},
        "commands": "heartbeat",
        "later": [1],
    } | fields


def test_settings_are_read() -> None:
    settings = parse_settings(encode_json(make_settings_document()))
    assert settings.machine_class == "edge" and CallerKind.CONTROL_PLANE in settings.serves
    assert CallerKind.SIDE not in settings.serves and settings.commands == "heartbeat"
    assert settings.listen == Listen(front="10.0.0.1:8000", ready="10.0.0.1:8001", control="10.0.0.1:8002")
    assert settings.port_range == (7000, 7015) and settings.seeds == ("10.0.0.1:8002", "10.0.0.2:8002")
    assert settings.limits.cores == 3 and settings.limits.max_fds == 4100
    assert settings.tolerate == Tolerate(machines=1) and settings.zones["south"] == "land"
    assert settings.bounds == Bounds(contact_ms=2500, far_x=2) and settings.data_dir == "/data/control"
    assert settings.app is None and settings.service is None


def test_absent_settings_have_defaults() -> None:
    least = {"node": "n", "role": "r", "ip": "10.0.0.1", "port_range": [1, 1], "data_dir": "", "listen": {"front": ""}}
    assert parse_settings(encode_json(least)) == ProcessSettings(node="n", role="r", ip="10.0.0.1", port_range=(1, 1))


def test_side_role_has_the_address_of_its_worker() -> None:
    settings = parse_settings(encode_json(make_settings_document(app="10.0.0.1:9000", service="press", data_dir=None)))
    assert (settings.app, settings.service, settings.data_dir) == ("10.0.0.1:9000", "press", None)


@pytest.mark.parametrize(
    "address",
    ["10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:123456789", "a:b", 7, "a:8\u0663"],
)
def test_address_must_have_host_and_port(address: Any) -> None:
    with pytest.raises(InvalidSettings) as caught:
        parse_settings(encode_json(make_settings_document(seeds=[address])))
    assert [finding.place for finding in caught.value.findings] == ["seeds[0]"]


def test_all_findings_of_settings_are_reported_together() -> None:
    faulty = make_settings_document(
        node="",
        role=None,
        port_range=[9, 3],
        serves="edge",
        bounds={"ack_ms": -1},
        limits={"cores": 0},
        listen={"ready": "x"},
        bootstrap="yes",
        zones={"north": 1, "a b": 2},
    )
    with pytest.raises(InvalidSettings) as caught:
        parse_settings(encode_json(faulty))
    assert [finding.place for finding in caught.value.findings] == [
        "node",
        "role",
        "serves",
        "zones.north",
        "zones.'a b'",
        "listen.ready",
        "port_range",
        "bootstrap",
        "limits.cores",
        "bounds.ack_ms",
    ]


@pytest.mark.parametrize("port_range", [[], [1], [1, 2, 3], [0, 5], [5, 70_000], [5, 4], "12", [1.5, 2]])
def test_port_range_must_have_first_and_last_port(port_range: Any) -> None:
    with pytest.raises(InvalidSettings):
        parse_settings(encode_json(make_settings_document(port_range=port_range)))


def test_settings_path_is_taken_from_the_environment(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(encode_json(make_settings_document()))
    expected = parse_settings(encode_json(make_settings_document()))
    assert (
        load_settings(path)
        == load_settings(str(path), {})
        == load_settings(environment={SETTINGS_PATH_VARIABLE: str(path)})
    )
    assert load_settings(path) == expected


def test_unreadable_settings_file_is_invalid(tmp_path: Path) -> None:
    (tmp_path / "torn.json").write_bytes(encode_json(make_settings_document())[:-20])
    (tmp_path / "list.json").write_bytes(b"[]")
    for path in (tmp_path / "none.json", tmp_path, tmp_path / "torn.json", tmp_path / "list.json"):
        with pytest.raises(InvalidSettings):
            load_settings(path)
    with pytest.raises(InvalidSettings, match=SETTINGS_PATH_VARIABLE):
        load_settings(environment={})


@given(
    st.binary(max_size=100)
    | ANY_JSON.map(encode_json)
    | st.fixed_dictionaries({}, optional={key: ANY_JSON for key in make_settings_document()}).map(
        lambda fields: encode_json(make_settings_document(**fields))
    )
)
@settings(max_examples=300, deadline=None)
def test_any_bytes_are_valid_settings_or_rejected(raw: bytes) -> None:
    try:
        assert parse_settings(raw).node
    except InvalidSettings as error:
        assert error.findings and str(error).encode()
