"""Records of the operator's configuration: routes (each of which is a queue), services of workers, and limits.

Fields unknown to these records are ignored here, but stay in the stored document.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from millethead.configuration.findings import Finding, FindingsError
from millethead.configuration.records import (
    Record,
    flag,
    integer,
    list_of,
    nested,
    nonempty_text,
    nonnegative_integer,
    nonnegative_number,
    positive_integer,
    positive_number,
    read_with,
    text,
)

__all__ = ["Configuration", "Finding", "InvalidConfiguration", "Limits", "Route", "Service"]


class InvalidConfiguration(FindingsError):
    """A configuration or a change of it is invalid. `findings` has all reasons."""


@dataclass(frozen=True, kw_only=True)
class Route(Record):
    """One queue. A request is matched by its host and the longest `path_prefix` of its path.

    `name`: unique among routes; `host`: host name in the requests; `path_prefix`: with a slash at both ends, unique for
    its host; `type`: stored, not used; `timeout_ms`: time within which a request must be answered; `target_ms`: time
    that a job's latency objective allows in addition to its work; `prio`: priority, 0 is the highest; `service`: name
    of the service that runs the tasks; `retries`: number of runs of one task that end as `failed` after which its job
    fails; `skew`: factor applied to a job's longest chain of work in its latency objective.
    """

    name: str = field(metadata=read_with(nonempty_text))
    host: str = field(metadata=read_with(nonempty_text))
    path_prefix: str = field(metadata=read_with(nonempty_text))
    type: str = field(default="non_idempotent", metadata=read_with(text))
    timeout_ms: float = field(metadata=read_with(positive_number))
    target_ms: float = field(default=1000, metadata=read_with(nonnegative_number))
    prio: int = field(default=0, metadata=read_with(integer))
    service: str = field(metadata=read_with(nonempty_text))
    retries: int = field(default=3, metadata=read_with(nonnegative_integer))
    skew: float = field(default=1.5, metadata=read_with(nonnegative_number))


@dataclass(frozen=True, kw_only=True)
class Service(Record):
    """The workers of one kind.

    `name`: name used by routes and workers; `health_path`: path of a worker's health check; `max_conns`: maximum number
    of connections to one worker; `protocol`, `tls`: stored, not used;
    `guards`: whether workers reject tasks that exceed their free capacity, otherwise they start every task.
    """

    name: str = field(metadata=read_with(nonempty_text))
    health_path: str = field(default="/healthz", metadata=read_with(text))
    max_conns: int = field(default=64, metadata=read_with(nonnegative_integer))
    protocol: str = field(default="h1", metadata=read_with(text))
    tls: bool = field(default=False, metadata=read_with(flag))
    guards: bool = field(default=False, metadata=read_with(flag))


@dataclass(frozen=True, kw_only=True)
class Limits(Record):
    """Limits of a client connection.

    `max_header_bytes`: size limit of a request's header section; `max_body_bytes`: size limit of a request body;
    `header_timeout_ms`: time within which the whole header section must arrive; `idle_timeout_ms`: maximum idle time
    between two requests.
    """

    max_header_bytes: int = field(default=16_384, metadata=read_with(nonnegative_integer))
    max_body_bytes: int = field(default=262_144, metadata=read_with(nonnegative_integer))
    header_timeout_ms: float = field(default=3_000, metadata=read_with(nonnegative_number))
    idle_timeout_ms: float = field(default=15_000, metadata=read_with(nonnegative_number))


@dataclass(frozen=True, kw_only=True)
class Configuration(Record):
    """A whole configuration. `version`: increases with every change."""

    version: int = field(metadata=read_with(positive_integer))
    routes: tuple[Route, ...] = field(metadata=read_with(list_of(nested(Route))))
    services: tuple[Service, ...] = field(metadata=read_with(list_of(nested(Service))))
    limits: Limits = field(default_factory=Limits, metadata=read_with(nested(Limits)))
