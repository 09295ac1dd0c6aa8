"""Input and output of membership: a UDP socket on the program's event loop and a timer. The decisions are in
swim.py."""

from __future__ import annotations

import asyncio
import errno
import math
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import structlog

from millethead import __version__
from millethead.config import ConfigError
from millethead.console.metrics import ExtraMetric
from millethead.logs import RateLimitedLog
from millethead.members.messages import Record, State
from millethead.members.peers import SwimSettings
from millethead.members.setup import MembersSetup
from millethead.members.share import UNITS
from millethead.members.steward_role import StewardAssignment
from millethead.members.swim import Outgoing, Swim
from millethead.members.wire import DROP_CAUSES, DatagramDropped, MemberCodec

log = structlog.get_logger("members")
rate_limited_log = RateLimitedLog(2)
MAX_TICK_INTERVAL_S = 0.05  # longest interval between two ticks


class Members(asyncio.DatagramProtocol):
    """Joins the fleet in `start` and leaves it in `leave`.

    Each change of another member's state is logged as `member`, and each change of this member's share of the
    fleet-wide limits as `fleet_share`. `on_share` is called with each new share: (fraction of the limits,
    time.monotonic() until which it is valid, assumed fleet size, own index in the fleet). `not_ready_reason` returns
    why this process accepts no clients, or an empty string; the other members are informed whether it does.
    `steward_confirmation_s`: a steward grants leases for this long after its assignment was confirmed, where the fleet
    agrees on assignments.
    """

    def __init__(
        self,
        setup: MembersSetup,
        name: str,
        console: str,
        seed: int,
        on_share: Callable[[float, float, int, int], None],
        not_ready_reason: Callable[[], str] = str,
        steward_confirmation_s: float = math.inf,
    ) -> None:
        if len(name) > 64:
            raise ConfigError(f"members: a name of at most 64 characters is wanted, not {name!r}")
        self.codec, self.dropped = MemberCodec(setup.key(), setup.fleet), Counter[str](dict.fromkeys(DROP_CAUSES, 0))
        host, port = setup.advertise or setup.listen
        self.me = Record(
            name, f"{host}:{port}", time.time(), console, setup.serves, version=setup.version or __version__
        )
        self.swim = Swim(
            self.me,
            SwimSettings(
                period_s=setup.period / 1000,
                probe_timeout_s=setup.timeout / 1000,
                window_s=setup.window / 1000,
                lease_s=setup.lease / 1000,
                stewards=tuple(setup.stewards),
                steward_confirmation_s=steward_confirmation_s,
            ),
            time.monotonic(),
            seed,
        )
        self.setup, self.on_share, self._reported_states = setup, on_share, dict[str, tuple[int, int]]()
        self.bytes_sent = 0
        self._not_ready_reason, self._draining = not_ready_reason, False
        # (prefix, handler of the datagrams with this prefix)
        self.prefix_handler: tuple[bytes, Callable[[bytes], None]] | None = None
        self._tick_interval_s = min(MAX_TICK_INTERVAL_S, setup.period / 4000)
        self._next_seed_contact_at, self._reported_share = 0.0, (-1, -1)
        self._name_conflict_logged = False
        self._reported_expiries: tuple[tuple[str, float], ...] = ()
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self, replaces: bool) -> None:
        """Binds the address and starts the timer. With `replaces`, the previous process may still hold the address, and
        binding is retried until that process has ended. Raises ConfigError."""
        if not replaces and not await self._bind():
            raise ConfigError(f"cannot listen on {self.setup.listen[0]}:{self.setup.listen[1]} (members): in use")
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _bind(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.setup.listen)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                host, port = self.setup.listen
                raise ConfigError(f"cannot listen on {host}:{port} (members): {error}") from None
            return False
        return True

    def leave(self) -> None:
        """Gives up the share, announces the leave and closes the socket."""
        out = self.swim.leave()
        self._report_changes()  # the share is dropped before other members are informed
        self._send(out)
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def drain(self) -> None:
        """Announces that this member accepts no new work from now on."""
        self._draining = True
        self.swim.set_status(draining=True, ready=False)

    def apply_assignments(self, assignments: Sequence[StewardAssignment]) -> None:
        """Applies the agreed assignment of the stewards."""
        if assignments:
            self.swim.steward_role.apply(time.monotonic(), assignments)

    # ---- datagrams -----------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            if self.prefix_handler is not None and data[:2] == self.prefix_handler[0][:2]:
                self.prefix_handler[1](data)
                return
            message = self.codec.decode(data)
        except DatagramDropped as cause:
            self.dropped[str(cause)] += 1
            rate_limited_log.warning("member_message_dropped", cause=str(cause), peer=f"{addr[0]}:{addr[1]}")
            return
        self._send(self.swim.receive(time.monotonic(), message))
        self._report_changes()

    async def _run(self) -> None:
        while self._transport is None and not await self._bind():
            await asyncio.sleep(0.1)
        log.info("members_join", address=self.me.address, start=self.me.start, stewards=",".join(self.setup.stewards))
        while True:
            now = time.monotonic()
            self.swim.set_status(self._draining, not self._draining and not self._not_ready_reason())
            self._send(self.swim.tick(now))
            # no peer is known: contact the seeds until one answers
            if not self.swim.peer_names() and now >= self._next_seed_contact_at:
                self._next_seed_contact_at = now + self.setup.period / 1000
                for host, port in self.setup.seeds:
                    self._send(self.swim.join_request(f"{host}:{port}"))
            self._report_changes()
            await asyncio.sleep(self._tick_interval_s)

    def _send(self, out: list[Outgoing]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for address, message in out:
            try:
                data = self.codec.encode(message)
            except DatagramDropped:  # too large for one datagram: send halves; only the last one may request an answer
                half = len(message.updates) // 2
                if half:
                    self._send(
                        [
                            (address, self.codec.with_updates(message, message.updates[:half], False)),
                            (address, self.codec.with_updates(message, message.updates[half:], True)),
                        ]
                    )
                continue
            self.send_raw(address, data)

    def send_raw(self, address: str, data: bytes) -> None:
        """Sends an encoded datagram to host:port."""
        if self._transport is not None and not self._transport.is_closing():
            host, _, port = address.rpartition(":")
            self.bytes_sent += len(data)
            self._transport.sendto(data, (host, int(port)))

    def error_received(self, exc: Exception) -> None:
        """Ignored: an unreachable peer is detected by the time limit of its probe."""

    # ---- status and metrics ------------------------------------------------------------------------------

    def _report_changes(self) -> None:
        now, swim = time.monotonic(), self.swim
        for name, peer in swim.peers.items():
            reported = (int(peer.state), peer.incarnation)
            if self._reported_states.get(name) != reported:
                self._reported_states[name] = reported
                log.info(
                    "member",
                    member=name,
                    state=State(peer.state).name.lower(),
                    incarnation=peer.incarnation,
                    drains=peer.record.draining,
                    mono=now,
                )
        for name in [n for n in self._reported_states if n not in swim.peers]:
            del self._reported_states[name]
        if swim.name_taken and not self._name_conflict_logged:
            self._name_conflict_logged = True
            log.error("member_name_taken", member=self.me.name)
        if not self.setup.stewards:
            return
        units, fleet_size = swim.usable_units(now), swim.share.fleet_size
        grants_by_steward = swim.share.valid_grants(now)
        expiries = tuple((name, grant.expires_at) for name, grant in grants_by_steward.items())
        if expiries == self._reported_expiries and (units, fleet_size) == self._reported_share:
            return
        self._reported_expiries = expiries
        grants = ",".join(f"{name}:{grant.units}:{grant.expires_at:.4f}" for name, grant in grants_by_steward.items())
        names = swim.member_names()
        self.on_share(
            units / UNITS, swim.share.earliest_expiry(now), fleet_size, names.index(self.me.name) % fleet_size
        )
        if (units, fleet_size) != self._reported_share:
            self._reported_share = units, fleet_size
            log.info("fleet_share", units=units, fleet=fleet_size, grants=grants, mono=now)
        else:  # same share with a later expiry
            log.debug("fleet_share", units=units, fleet=fleet_size, grants=grants, mono=now)

    def status(self) -> dict[str, Any]:
        """Returns the body of `GET /members`."""
        now, swim = time.monotonic(), self.swim

        def member_entry(record: Record, state: State, incarnation: int, heard_s_ago: float) -> dict[str, Any]:
            return {
                "name": record.name,
                "state": state.name.lower(),
                "incarnation": incarnation,
                "address": record.address,
                "console": record.console,
                "serves": record.serves,
                "version": record.version,
                "drains": record.draining,
                "ready": record.ready,
                "start": record.start,
                "heard_s_ago": round(heard_s_ago, 3),
            }

        state = State.ALIVE
        return {
            "member": self.me.name,
            "fleet": self.setup.fleet,
            "reckons_with": swim.share.fleet_size,
            "share": round(swim.usable_units(now) / UNITS, 6),
            "stewards": list(swim.share.stewards),
            "health": swim.health_score,
            "members": [
                member_entry(swim.me, state, swim.incarnation, 0.0),
                *(
                    member_entry(p.record, State(p.state), p.incarnation, now - p.last_heard)
                    for _, p in sorted(swim.peers.items())
                ),
            ],
        }

    def figures(self) -> list[ExtraMetric]:
        """Returns (name, type, help, [(label, label value, count)]) of each metric, for the console."""
        now, swim = time.monotonic(), self.swim
        states = Counter(State(p.state).name.lower() for p in swim.peers.values())
        states["alive"] += 1
        return [
            (
                "members",
                "gauge",
                "Dispatchers by state, this one included.",
                [("state", s.name.lower(), states[s.name.lower()]) for s in State],
            ),
            (
                "member_events_total",
                "counter",
                "Probes, suspicions, refutations, deaths and those that were false.",
                [("kind", kind, count) for kind, count in swim.counts.items()],
            ),
            (
                "member_messages_dropped_total",
                "counter",
                "Datagrams of members that were not used, by cause.",
                [("cause", cause, count) for cause, count in sorted(self.dropped.items())],
            ),
            ("member_bytes_sent_total", "counter", "Bytes sent to other members.", [("", "", self.bytes_sent)]),
            (
                "fleet_share",
                "gauge",
                "Part of fleet-wide limits that this dispatcher may use now.",
                [("", "", swim.usable_units(now) / UNITS)],
            ),
        ]
