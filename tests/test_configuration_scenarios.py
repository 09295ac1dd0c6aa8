"""The scenarios of features/configuration.feature."""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Any

from pytest_bdd import given, parsers, scenarios, then, when

from millethead.configuration.change import ConfigurationState, Decision, Method, Order, Verdict
from millethead.configuration.routing import RouteTable
from millethead.replication.log_position import LogPosition

scenarios("features/configuration.feature")

HOST = "shop.example"
VERDICTS = {"accepted": Verdict.ACCEPTED, "repeated": Verdict.REPEATED, "a conflict": Verdict.CONFLICT}


@dataclass
class Register:
    """The register, the last order of the operator and the decision on it."""

    state: ConfigurationState = field(default_factory=ConfigurationState)
    order: Order | None = None
    decision: Decision | None = None

    def send(self, order: Order) -> Decision:
        decision = self.state.decide(order)
        if decision.verdict is Verdict.ACCEPTED:
            self.state.accept(order, decision, LogPosition(1, self.state.place.sequence + 1))
        return decision

    def send_own(self, order: Order) -> None:
        self.order, self.decision = order, self.send(order)


def route(name: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "timeout_ms": 3000, "service": "press"} | fields


def put(version: int, base: int, *routes: dict[str, Any], sender: str = "one") -> Order:
    document = {
        "version": version,
        "routes": routes or [route("r-print")],
        "services": [{"name": "press"}],
        "sender": sender,
    }
    return Order(Method.PUT, base, json.dumps(document).encode())


def faulty(fault: str, version: int, base: int) -> Order:
    match fault:
        case "a route to no service":
            return put(version, base, route("r-print", service="mill"))
        case "two routes of one prefix":
            return put(version, base, route("r-print"), route("r-scan", path_prefix="/r-print/"))
        case "a time-out of 0":
            return put(version, base, route("r-print", timeout_ms=0))
        case "the body cut short":
            order = put(version, base)
            return replace(order, body=order.body[:-1])
        case _:
            raise AssertionError(fault)


def patch(version: int, base: int, **change: Any) -> Order:
    return Order(Method.PATCH, base, json.dumps({"version": version} | change).encode())


@given(
    parsers.parse('the operator has put version {version:d} with the route "r-print" to the service "press"'),
    target_fixture="register",
)
def first_configuration(version: int) -> Register:
    register = Register()
    register.send_own(put(version, 0))
    assert register.state.version == version
    return register


@given(parsers.parse("the operator has put version {version:d} on top of version {base:d}"))
@when(parsers.parse("the operator puts version {version:d} on top of version {base:d}"))
def operator_puts(register: Register, version: int, base: int) -> None:
    register.send_own(put(version, base))


@given(parsers.parse("another operator has put version {version:d} on top of version {base:d}"))
def another_operator_puts(register: Register, version: int, base: int) -> None:
    assert register.send(put(version, base, sender="two")).verdict is Verdict.ACCEPTED


@given("the state is restored from its snapshot")
def restored(register: Register) -> None:
    register.state = ConfigurationState.decode(register.state.encode())


@when("the operator sends the same order again")
def sent_again(register: Register) -> None:
    assert register.order is not None
    register.send_own(register.order)


@when(parsers.parse("the operator puts version {version:d} on top of version {base:d} with {fault}"))
def operator_puts_a_fault(register: Register, version: int, base: int, fault: str) -> None:
    register.send_own(faulty(fault, version, base))


@when(parsers.parse('the operator patches version {base:d} to version {version:d}, adding the route "{name}"'))
def operator_adds(register: Register, base: int, version: int, name: str) -> None:
    register.send_own(patch(version, base, upsert={"routes": [route(name)]}))


@when(parsers.parse('the operator patches version {base:d} to version {version:d}, removing the {kind:w} "{name}"'))
def operator_removes(register: Register, base: int, version: int, kind: str, name: str) -> None:
    register.send_own(patch(version, base, delete={f"{kind}s": [name]}))


@then(parsers.re("the order is (?P<verdict>accepted|repeated|a conflict)$"))
def order_is(register: Register, verdict: str) -> None:
    assert register.decision is not None and register.decision.verdict is VERDICTS[verdict]


@then(parsers.re('the order is invalid because of "(?P<place>.*)"'))
def order_is_invalid(register: Register, place: str) -> None:
    assert register.decision is not None and register.decision.verdict is Verdict.INVALID
    assert [finding.place for finding in register.decision.findings] == [place]


@then(parsers.parse("version {version:d} is in force"))
def version_is_in_force(register: Register, version: int) -> None:
    assert register.state.version == version and json.loads(register.state.document)["version"] == version


def found(register: Register, path: str) -> str | None:
    assert register.state.configuration is not None
    route = RouteTable(register.state.configuration).find(HOST, path)
    return route.name if route else None


@then(parsers.parse('requests for "{path}" belong to the route "{name}"'))
def belongs_to(register: Register, path: str, name: str) -> None:
    assert found(register, path) == name


@then(parsers.parse('requests for "{path}" belong to no route'))
def belongs_to_none(register: Register, path: str) -> None:
    assert found(register, path) is None
