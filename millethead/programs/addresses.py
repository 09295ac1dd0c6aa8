"""Where programs of the system take internal calls: on every machine at the first port of the settings' range."""

from __future__ import annotations

from millethead.configuration.settings import ProcessSettings


def internal_address(settings: ProcessSettings) -> str:
    """This machine's address for internal calls (host:port)."""
    return f"{settings.ip}:{settings.port_range[0]}"


def seed_addresses(settings: ProcessSettings) -> tuple[str, ...]:
    """The seeds' addresses for internal calls."""
    hosts = dict.fromkeys(seed.rsplit(":", 1)[0] for seed in settings.seeds)
    return tuple(f"{host}:{settings.port_range[0]}" for host in hosts)


def split_address(address: str) -> tuple[str, int]:
    """Host and port of host:port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)
