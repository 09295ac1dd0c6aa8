"""The command line's way to the core: the configuration over HTTP, the state of the core over the internal protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import msgspec
import urllib3

from millethead.configuration.findings import Finding
from millethead.configuration.settings import ProcessSettings
from millethead.control.calls import CallAnswer, DrainCall, InspectCall
from millethead.control.client import CallFailed, HeadClient
from millethead.control.drains import NOT_FOUND, OK, TOO_MANY, DrainReport
from millethead.control.inspect import JOB, JOBS, STATUS, JobReport, JobSummary, StatusReport
from millethead.rpc.codec import Record

CONFIG_PATH = "/-/config"
CALL_TIMEOUT_S = 3.0  # for one address
MOST_REDIRECTS = 2
HEAD_TIMEOUT_S = 6.0  # to find the head and have its answer
NODE = "command-line"


class CoreUnreachable(Exception):
    """No control process gave a clear answer; the text names the addresses and what each did."""


class Refused(Exception):
    """The core does not take an order. `version`: the one in place, where that is the reason; `findings` otherwise."""

    def __init__(self, status: int, findings: Sequence[Finding], version: int | None = None) -> None:
        super().__init__(f"{status}: " + "; ".join(str(finding) for finding in findings))
        self.status, self.findings, self.version = status, tuple(findings), version


class NoAddresses(Exception):
    """Neither an option nor a settings file names a control process."""


@dataclass(frozen=True, slots=True)
class CoreAddresses:
    """Where control processes are (host:port): `control` for the operator's calls, `internal` for programs' calls."""

    control: tuple[str, ...]
    internal: tuple[str, ...]


def addresses(options: Sequence[str], internal_port: int | None, settings: ProcessSettings | None) -> CoreAddresses:
    """The addresses that options name, else those of the settings file: its own and the seeds. Raises NoAddresses."""
    control = tuple(options)
    if not control and settings is not None:
        own = (settings.listen.control,) if settings.listen.control and settings.app is None else ()
        control = tuple(dict.fromkeys((*own, *settings.seeds)))
    if not control:
        raise NoAddresses("name a control process with --control HOST:PORT, or a settings file with --settings")
    if internal_port is None and settings is not None:
        internal_port = settings.port_range[0]
    if internal_port is None:
        return CoreAddresses(control, ())
    hosts = dict.fromkeys(address.rsplit(":", 1)[0] for address in control)
    return CoreAddresses(control, tuple(f"{host}:{internal_port}" for host in hosts))


class CoreClient:
    """Calls that wait for their answer; each goes to one address after the other until one answers clearly."""

    def __init__(self, core: CoreAddresses) -> None:
        self._core = core
        self._http = urllib3.PoolManager(
            retries=urllib3.Retry(total=None, connect=0, read=0, status=0, other=0, redirect=MOST_REDIRECTS)
        )

    # ---- configuration -----------------------------------------------------------------------------------

    def configuration(self) -> bytes:
        """The configuration in force; empty before the first. Raises CoreUnreachable."""
        status, body = self._ask("GET", None, {}, lambda status: status in (OK, 404))
        return body if status == OK else b""

    def change(self, method: str, body: bytes, if_match: int) -> int:
        """Have an order (PUT or PATCH) taken; the version in place then. Raises Refused and CoreUnreachable."""
        headers = {"Content-Type": "application/json", "If-Match": str(if_match)}
        status, answer = self._ask(method, body, headers, lambda status: 200 <= status < 300 or 400 <= status < 500)
        value = _object(answer)
        version = value.get("version")
        if status >= 300:
            raise Refused(status, _findings(value), version if isinstance(version, int) else None)
        return version if isinstance(version, int) else 0

    def _ask(
        self, method: str, body: bytes | None, headers: dict[str, str], clear: Callable[[int], bool]
    ) -> tuple[int, bytes]:
        said = []
        for address in self._core.control:
            try:
                answer = self._http.request(
                    method, f"http://{address}{CONFIG_PATH}", body=body, headers=headers, timeout=CALL_TIMEOUT_S
                )
            except (urllib3.exceptions.HTTPError, ValueError) as error:
                said.append(f"{address}: {_cause(error)}")
                continue
            if clear(answer.status) and answer.status not in (408, 429):
                return answer.status, answer.data
            said.append(f"{address}: answered {answer.status}")
        raise CoreUnreachable("; ".join(said))

    # ---- state -------------------------------------------------------------------------------------------

    def status(self) -> StatusReport:
        """The core as its head sees it. Raises CoreUnreachable."""
        return msgspec.json.decode(self._inspect(STATUS), type=StatusReport)

    def jobs(self, queue: str = "") -> list[JobSummary]:
        """The newest jobs, of one queue or of all. Raises CoreUnreachable."""
        return msgspec.json.decode(self._inspect(f"{JOBS}:{queue}"), type=list[JobSummary])

    def job(self, name: str) -> JobReport | None:
        """One job; None for one that the core does not know. Raises CoreUnreachable."""
        return msgspec.json.decode(self._inspect(f"{JOB}:{name}"), type=JobReport | None)

    def _inspect(self, what: str) -> bytes:
        return self._call(lambda number: InspectCall(number, what)).body

    # ---- orders of the staff -----------------------------------------------------------------------------

    def drain(self, node: str, drained: bool) -> DrainReport:
        """Have the worker at a node taken out, or put back; committed when this returns. Raises Refused and
        CoreUnreachable."""
        answer = self._call(lambda number: DrainCall(number, node, drained), (OK, NOT_FOUND, TOO_MANY))
        if answer.status != OK:
            raise Refused(answer.status, _findings(_object(answer.body)))
        return msgspec.json.decode(answer.body, type=DrainReport)

    def _call(self, make: Callable[[int], Record], clear: Sequence[int] = (OK,)) -> CallAnswer:
        """Make a call of the internal protocol; raises CoreUnreachable for an answer of none of the statuses."""
        if not self._core.internal:
            raise NoAddresses(
                "name the port for internal calls with --internal-port, or a settings file with --settings"
            )
        answer = asyncio.run(_call_head(self._core.internal, make))
        if answer.status not in clear:
            raise CoreUnreachable(f"{', '.join(self._core.internal)}: answered {answer.status}")
        return answer


async def _call_head(members: tuple[str, ...], make: Callable[[int], Record]) -> CallAnswer:
    caller = HeadClient(NODE, lambda: members, Random())
    caller.start()
    try:
        return await caller.call(make, HEAD_TIMEOUT_S, HEAD_TIMEOUT_S)
    except CallFailed as failure:
        raise CoreUnreachable(f"{', '.join(members)}: {failure}") from None
    finally:
        caller.close()


def _object(body: bytes) -> dict[str, object]:
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return {}
    return value if isinstance(value, dict) else {}


def _findings(answer: dict[str, object]) -> list[Finding]:
    listed = answer.get("findings")
    found = [
        Finding(str(entry.get("place", "")), str(entry.get("problem", "")))
        for entry in (listed if isinstance(listed, list) else [])
        if isinstance(entry, dict)
    ]
    return found or [Finding("", str(answer.get("error", "refused without a reason")))]


def _cause(error: Exception | None) -> str:
    if isinstance(error, urllib3.exceptions.MaxRetryError):
        return _cause(error.reason)
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "no connection"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return f"no answer in {CALL_TIMEOUT_S:g} s"
    return type(error).__name__
