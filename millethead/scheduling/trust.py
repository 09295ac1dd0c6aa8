"""How much the hosts of a service are used, by the health of their workers.

Where less than half of a service's workers are trusted, the fault is hardly theirs, and there is nobody else: then none
is left out altogether. Only hosts whose standing has changed are looked at, all of them where that half is crossed.
"""

from __future__ import annotations

from collections.abc import Iterable

from millethead.scheduling.health import Health, HealthState
from millethead.scheduling.model import MIN_HOST_WEIGHT
from millethead.scheduling.placement import Host
from millethead.scheduling.state import Pool


class HostHealthUpdater:
    """Carries the standing of workers over to the hosts that stand for them."""

    def __init__(self, health: Health) -> None:
        self._health = health
        self._changed: dict[Pool, dict[Host, None]] = {}

    def mark_changed(self, pool: Pool, *hosts: Host) -> None:
        """These hosts are to be looked at, and whether their service trusts enough of its workers."""
        self._changed.setdefault(pool, {}).update(dict.fromkeys(hosts))

    def apply(self) -> None:
        """Show what has been noted; a host that is to be used more may fit what waits."""
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
