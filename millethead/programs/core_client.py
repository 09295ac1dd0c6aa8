"""Client of the core for the command line: HTTP for the configuration, the internal protocol for everything else."""

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
from millethead.control.drains import CONFLICT, NOT_FOUND, OK, TOO_MANY, DrainReport
from millethead.control.inspect import DRAINS, JOB, JOBS, STATUS, DrainsReport, JobReport, JobSummary, StatusReport
from millethead.replication.log_position import LogPosition
from millethead.rpc.codec import Record

CONFIG_PATH = "/-/config"
HTTP_TIMEOUT_S = 3.0  # per address
MAX_REDIRECTS = 2
HEAD_TIMEOUT_S = 6.0  # to find the head, and again to get its answer
NODE = "command-line"


class CoreUnreachable(Exception):
    """No control process gave a definite answer. The message has the addresses and the error of each."""


class CallRejected(Exception):
    """The core rejected a request.

    `version` is the current version of the configuration if that is the reason, otherwise `findings` has the reasons.
    """

    def __init__(self, status: int, findings: Sequence[Finding], version: int | None = None) -> None:
        super().__init__(f"{status}: " + "; ".join(str(finding) for finding in findings))
        self.status, self.findings, self.version = status, tuple(findings), version


class NoCoreAddress(Exception):
    """Neither an option nor a settings file names a control process."""


@dataclass(frozen=True, slots=True)
class CoreAddresses:
    """Addresses of control processes (host:port): `control` for HTTP, `internal` for the internal protocol."""

    control: tuple[str, ...]
    internal: tuple[str, ...]


def addresses(options: Sequence[str], internal_port: int | None, settings: ProcessSettings | None) -> CoreAddresses:
    """Return the addresses from the options, else the own address and the seeds from the settings.

    Raises NoCoreAddress if there is none.
    """
    control = tuple(options)
    if not control and settings is not None:
        own = (settings.listen.control,) if settings.listen.control and settings.app is None else ()
        control = tuple(dict.fromkeys((*own, *settings.seeds)))
    if not control:
        raise NoCoreAddress("name a control process with --control HOST:PORT, or a settings file with --settings")
    if internal_port is None and settings is not None:
        internal_port = settings.port_range[0]
    if internal_port is None:
        return CoreAddresses(control, ())
    hosts = dict.fromkeys(address.rsplit(":", 1)[0] for address in control)
    return CoreAddresses(control, tuple(f"{host}:{internal_port}" for host in hosts))


class CoreClient:
    """Blocking calls to the core. The addresses are tried in turn until one gives a definite answer."""

    def __init__(self, core: CoreAddresses) -> None:
        self._core = core
        self._http = urllib3.PoolManager(
            retries=urllib3.Retry(total=None, connect=0, read=0, status=0, other=0, redirect=MAX_REDIRECTS)
        )

    # ---- configuration -----------------------------------------------------------------------------------

    def configuration(self) -> bytes:
        """Return the configuration in force; empty before the first. Raises CoreUnreachable."""
        status, body = self._request("GET", None, {}, lambda status: status in (OK, 404))
        return body if status == OK else b""

    def change(self, method: str, body: bytes, if_match: int) -> int:
        """Change the configuration by PUT or PATCH and return the new version.

        Raises CallRejected and CoreUnreachable.
        """
        headers = {"Content-Type": "application/json", "If-Match": str(if_match)}
        status, answer = self._request(method, body, headers, lambda status: 200 <= status < 300 or 400 <= status < 500)
        value = _object(answer)
        version = value.get("version")
        if status >= 300:
            raise CallRejected(status, _findings(value), version if isinstance(version, int) else None)
        return version if isinstance(version, int) else 0

    def _request(
        self, method: str, body: bytes | None, headers: dict[str, str], is_definite: Callable[[int], bool]
    ) -> tuple[int, bytes]:
        failures = []
        for address in self._core.control:
            try:
                answer = self._http.request(
                    method, f"http://{address}{CONFIG_PATH}", body=body, headers=headers, timeout=HTTP_TIMEOUT_S
                )
            except (urllib3.exceptions.HTTPError, ValueError) as error:
                failures.append(f"{address}: {_cause(error)}")
                continue
            if is_definite(answer.status) and answer.status not in (408, 429):
                return answer.status, answer.data
            failures.append(f"{address}: answered {answer.status}")
        raise CoreUnreachable("; ".join(failures))

    # ---- state -------------------------------------------------------------------------------------------

    def status(self) -> StatusReport:
        """Return the status of the core from its head. Raises CoreUnreachable."""
        return msgspec.json.decode(self._inspect(STATUS), type=StatusReport)

    def jobs(self, queue: str = "") -> list[JobSummary]:
        """Return the newest jobs of one queue or of all. Raises CoreUnreachable."""
        return msgspec.json.decode(self._inspect(f"{JOBS}:{queue}"), type=list[JobSummary])

    def job(self, name: str) -> JobReport | None:
        """Return one job, or None if the core does not know it. Raises CoreUnreachable."""
        return msgspec.json.decode(self._inspect(f"{JOB}:{name}"), type=JobReport | None)

    def _inspect(self, what: str) -> bytes:
        return self._call(lambda number: InspectCall(number, what)).body

    # ---- operator commands -------------------------------------------------------------------------------

    def drain(self, node: str, drained: bool) -> DrainReport:
        """Drain the worker at a node, or undo that. Returns after the change is committed.

        Raises CallRejected, also if another order comes in between, and CoreUnreachable.
        """
        newest = msgspec.json.decode(self._inspect(DRAINS), type=DrainsReport)
        place = LogPosition(newest.epoch, newest.entry)
        answer = self._call(lambda number: DrainCall(number, node, drained, place), (OK, NOT_FOUND, CONFLICT, TOO_MANY))
        if answer.status != OK:
            raise CallRejected(answer.status, _findings(_object(answer.body)))
        return msgspec.json.decode(answer.body, type=DrainReport)

    def _call(self, make: Callable[[int], Record], definite: Sequence[int] = (OK,)) -> CallAnswer:
        """Call the head over the internal protocol. Raises CoreUnreachable if the status is not in `definite`."""
        if not self._core.internal:
            raise NoCoreAddress(
                "name the port for internal calls with --internal-port, or a settings file with --settings"
            )
        answer = asyncio.run(_call_head(self._core.internal, make))
        if answer.status not in definite:
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
        return f"no answer in {HTTP_TIMEOUT_S:g} s"
    return type(error).__name__
