"""How much the hosts of a service are used, by the health of their workers.

Where less than half of a service's workers are trusted, the fault is hardly theirs, and there is nobody else: then none
is left out altogether. Only hosts whose standing has changed are looked at, all of them where that half is crossed.
"""

from __future__ import annotations

from collections.abc import Iterable

from millethead.scheduling.health import Health, Standing
from millethead.scheduling.model import LEAST_WEIGHT
from millethead.scheduling.placement import Host
from millethead.scheduling.state import Pool


class TrustKeeper:
    """Carries the standing of workers over to the hosts that stand for them."""

    def __init__(self, health: Health) -> None:
        self._health = health
        self._changed: dict[Pool, dict[Host, None]] = {}

    def note(self, pool: Pool, *hosts: Host) -> None:
        """These hosts are to be looked at, and whether their service trusts enough of its workers."""
        self._changed.setdefault(pool, {}).update(dict.fromkeys(hosts))

    def carry_over(self) -> None:
        """Show what has been noted; a host that is to be used more may fit what waits."""
        changed, self._changed = self._changed, {}
        for pool, hosts in changed.items():
            known = pool.hosts.by_instance
            self._show(pool, [host for host in hosts if known.get(host.instance) is host])

    def _show(self, pool: Pool, hosts: Iterable[Host]) -> None:
        for host in hosts:
            pool.hosts.set_merit(host, self._health.weight(host.instance))
        least = LEAST_WEIGHT if pool.hosts.mostly_doubted else 0.0
        if least != pool.least_health:
            pool.least_health, hosts = least, list(pool.hosts)
        for host in hosts:
            self._show_host(pool, host)

    def _show_host(self, pool: Pool, host: Host) -> None:
        weight = max(pool.least_health, host.merit)
        proven = self._health.standing(host.instance) is Standing.SOUND
        better = proven > host.proven or (weight > 0.0 >= host.health)
        host.health, host.proven = weight, proven
        if better:
            pool.grew(host)
