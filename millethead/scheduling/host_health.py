"""Derives the health of the hosts of a service from the health of their workers.

If fewer than half of a service's workers are healthy, the cause is unlikely to be the workers, and there are no others
to use. Then no host is excluded entirely. Only hosts whose worker has changed are updated; all hosts are updated if the
service crosses that limit.
"""

from __future__ import annotations

from collections.abc import Iterable

from millethead.scheduling.health import Health, HealthState
from millethead.scheduling.model import MIN_HOST_WEIGHT
from millethead.scheduling.placement import Host
from millethead.scheduling.state import Pool


class HostHealthUpdater:
    """Applies the health of workers to their hosts."""

    def __init__(self, health: Health) -> None:
        self._health = health
        self._changed: dict[Pool, dict[Host, None]] = {}

    def mark_changed(self, pool: Pool, *hosts: Host) -> None:
        """Marks hosts for the next `apply`, which also checks how many workers of the service are healthy."""
        self._changed.setdefault(pool, {}).update(dict.fromkeys(hosts))

    def apply(self) -> None:
        """Updates the marked hosts. A host whose health improves may fit waiting units."""
        changed, self._changed = self._changed, {}
        for pool, hosts in changed.items():
            hosts_by_instance = pool.hosts.by_instance
            self._update_pool(pool, [host for host in hosts if hosts_by_instance.get(host.instance) is host])

    def _update_pool(self, pool: Pool, hosts: Iterable[Host]) -> None:
        for host in hosts:
            pool.hosts.set_own_health(host, self._health.weight(host.instance))
        min_health = MIN_HOST_WEIGHT if pool.hosts.mostly_unhealthy else 0.0
        if min_health != pool.min_health:
            pool.min_health, hosts = min_health, list(pool.hosts)
        for host in hosts:
            self._update_host(pool, host)

    def _update_host(self, pool: Pool, host: Host) -> None:
        weight = max(pool.min_health, host.own_health)
        is_sound = self._health.state(host.instance) is HealthState.SOUND
        improved = is_sound > host.is_sound or (weight > 0.0 >= host.health)
        host.health, host.is_sound = weight, is_sound
        if improved:
            pool.capacity_grew(host)
