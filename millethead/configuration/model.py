"""The operator's configuration as records: routes (each a queue), the services that work for them, and limits.

Fields that these records do not know are kept in the document that the operator sent, and passed over here.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from millethead.configuration.findings import Finding, FindingsError
from millethead.configuration.records import (
    Record,
    filled_text,
    flag,
    integer,
    integer_above_zero,
    integer_from_zero,
    list_of,
    nested,
    number_above_zero,
    number_from_zero,
    read_with,
    text,
)

__all__ = ["Configuration", "Finding", "InvalidConfiguration", "Limits", "Route", "Service"]


class InvalidConfiguration(FindingsError):
    """A configuration, or a change of one, is invalid; `findings` holds every reason."""


@dataclass(frozen=True, kw_only=True)
class Route(Record):
    """One queue. A request belongs to it by its host and the longest `path_prefix` with which its path begins.

    `name`: unique among routes; `host`: of the requests; `path_prefix`: with a slash at both ends, unique for its host;
    `type`: kept, not used; `timeout_ms`: within which an answer is owed; `target_ms`: what a job's objective adds to
    its work; `prio`: 0 goes first; `service`: the name of the workers' service; `retries`: ends `failed` of a task with
    which its job has failed; `skew`: the factor of a job's longest chain of work in its objective.
    """

    name: str = field(metadata=read_with(filled_text))
    host: str = field(metadata=read_with(filled_text))
    path_prefix: str = field(metadata=read_with(filled_text))
    type: str = field(default="non_idempotent", metadata=read_with(text))
    timeout_ms: float = field(metadata=read_with(number_above_zero))
    target_ms: float = field(default=1000, metadata=read_with(number_from_zero))
    prio: int = field(default=0, metadata=read_with(integer))
    service: str = field(metadata=read_with(filled_text))
    retries: int = field(default=3, metadata=read_with(integer_from_zero))
    skew: float = field(default=1.5, metadata=read_with(number_from_zero))


@dataclass(frozen=True, kw_only=True)
class Service(Record):
    """The workers of one kind. `name`: by which routes and workers name it; `health_path`: where a worker tells its
    health; `max_conns`: connections that one worker takes; `protocol`, `tls`: kept, not used; `guards`: its workers
    reject whatever does not fit, else they start whatever they are told."""

    name: str = field(metadata=read_with(filled_text))
    health_path: str = field(default="/healthz", metadata=read_with(text))
    max_conns: int = field(default=64, metadata=read_with(integer_from_zero))
    protocol: str = field(default="h1", metadata=read_with(text))
    tls: bool = field(default=False, metadata=read_with(flag))
    guards: bool = field(default=False, metadata=read_with(flag))


@dataclass(frozen=True, kw_only=True)
class Limits(Record):
    """What a client's connection may use. `max_header_bytes`: of a request's head; `max_body_bytes`: of its body;
    `header_timeout_ms`: for the head to come whole; `idle_timeout_ms`: between two requests."""

    max_header_bytes: int = field(default=16_384, metadata=read_with(integer_from_zero))
    max_body_bytes: int = field(default=262_144, metadata=read_with(integer_from_zero))
    header_timeout_ms: float = field(default=3_000, metadata=read_with(number_from_zero))
    idle_timeout_ms: float = field(default=15_000, metadata=read_with(number_from_zero))


@dataclass(frozen=True, kw_only=True)
class Configuration(Record):
    """A whole configuration. `version`: rises with every change."""

    version: int = field(metadata=read_with(integer_above_zero))
    routes: tuple[Route, ...] = field(metadata=read_with(list_of(nested(Route))))
    services: tuple[Service, ...] = field(metadata=read_with(list_of(nested(Service))))
    limits: Limits = field(default_factory=Limits, metadata=read_with(nested(Limits)))
