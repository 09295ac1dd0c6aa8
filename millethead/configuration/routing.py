"""Route lookup by the host and the longest matching path prefix of a request."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from millethead.configuration.model import Configuration, Route, Service


def normalize_host(host: str) -> str:
    """Return a host in the form used for comparison: in lower case, without a port."""
    name, colon, port = host.strip().rpartition(":")
    has_port = colon and (not port or (port.isascii() and port.isdigit())) and (":" not in name or name.endswith("]"))
    return (name if has_port else host.strip()).lower()


class HostRoutes:
    """The routes of one host. Looks up each prefix length that occurs, longest first."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix = {route.path_prefix: route for route in routes}
        self._lengths = sorted({len(prefix) for prefix in self._by_prefix}, reverse=True)

    def find(self, path: str) -> Route | None:
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RouteTable:
    """The routes and services of one valid configuration. Immutable."""

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self.services: Mapping[str, Service] = MappingProxyType(
            {service.name: service for service in configuration.services}
        )
        self._by_name = {route.name: route for route in configuration.routes}
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(normalize_host(route.host), []).append(route)
        self._by_host = {host: HostRoutes(routes) for host, routes in by_host.items()}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for a `Host` header (in any case, with or without a port) and a path, or None."""
        routes = self._by_host.get(host) or self._by_host.get(normalize_host(host))
        return routes.find(path) if routes is not None else None

    def by_name(self, name: str) -> Route | None:
        """Return the route with this name, or None."""
        return self._by_name.get(name)
