"""Addresses for internal calls. Every machine uses the first port of `port_range` for them."""

from __future__ import annotations

from millethead.configuration.settings import ProcessSettings


def internal_address(settings: ProcessSettings) -> str:
    """Return this machine's address for internal calls (host:port)."""
    return f"{settings.ip}:{settings.port_range[0]}"


def seed_addresses(settings: ProcessSettings) -> tuple[str, ...]:
    """Return the addresses of the seeds for internal calls, without duplicates."""
    hosts = dict.fromkeys(seed.rsplit(":", 1)[0] for seed in settings.seeds)
    return tuple(f"{host}:{settings.port_range[0]}" for host in hosts)


def split_address(address: str) -> tuple[str, int]:
    """Split host:port into the host and the port number."""
    host, port = address.rsplit(":", 1)
    return host, int(port)
