"""Plays a few special jobs beside ordinary ones, and holds what clients and workers see against the rule LOST.

Ordinary jobs of one task are handed in before the special jobs and for TRAFFIC_S after them. `finish_s` after the end
of the traffic, every accepted job is asked for. The rule is broken if

- an accepted job that nobody has cancelled gets no answer with its state, or a 410, in all tries of ASKING_S; or
- for 3 s, an accepted job whose turn has come has nothing running at any worker, although there is room for its task
  twice over and under half of the service's room is in use.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from review.harness_2.deployment import BOUNDS, Deployment, Record

BEFORE = 6  # ordinary jobs before the special ones
SPECIAL_S = 3.0  # in which the special jobs come
TRAFFIC_S = 5.0
BETWEEN_S = 0.5  # two ordinary jobs
ASKING_S = 12.0
IDLE_S = 3.0
SAMPLE_S = 0.05
FINAL = ("done", "failed", "cancelled")
ORDINARY = {"spec": "0.2 1000 256", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 200}]}
TERMS = {"target_ms": 3000, "skew": 4.0, "retries": 3}  # of the queue, as the third in the example of the pages
SPECIAL_NAMES = 0xB000_0000_0000_0000  # the first of them
HELD, BROKEN, NOT_RUN = 0, 1, 2
Job = dict[str, object]


class Verdict:
    """The breaks of the rule that were seen."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.breaks: list[str] = []

    def broken(self, text: str) -> None:
        self.breaks.append(text)
        self._record.write(f"BROKEN: LOST: {text}")


async def _ordinary_jobs(deployment: Deployment, accepted: list[str]) -> None:
    """Hand ordinary jobs in for TRAFFIC_S, each without waiting for the one before."""
    loop = asyncio.get_running_loop()
    until, number, tasks = loop.time() + TRAFFIC_S, 100, []

    async def one(name: str) -> None:
        if await deployment.hand_in(name, ORDINARY):
            accepted.append(name)

    while loop.time() < until:
        number += 1
        tasks.append(asyncio.create_task(one(f"{number:016x}")))
        await asyncio.sleep(BETWEEN_S)
    await asyncio.gather(*tasks)


async def _special_jobs(deployment: Deployment, special: list[Job]) -> dict[str, Job]:
    """Hand the special jobs in, spread over SPECIAL_S. Returns those that were taken, by name."""
    taken: dict[str, Job] = {}
    tasks = []

    async def one(name: str, body: Job) -> None:
        if await deployment.hand_in(name, body):
            taken[name] = body

    for number, body in enumerate(special):
        tasks.append(asyncio.create_task(one(f"{SPECIAL_NAMES + number:016x}", body)))
        await asyncio.sleep(SPECIAL_S / len(special))
    await asyncio.gather(*tasks)
    return taken


class IdleWatch:
    """Since when nothing of each job has run while there was room."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._since: dict[str, float] = {}
        self.longest: dict[str, float] = {}

    async def run(self) -> None:
        while True:
            now, running = time.monotonic(), self._deployment.running()
            room = self._deployment.used_share() < 0.5
            for name in self.longest:
                if running.get(name) or not room:
                    self._since.pop(name, None)
                    continue
                since = self._since.setdefault(name, now)
                self.longest[name] = max(self.longest[name], now - since)
            await asyncio.sleep(SAMPLE_S)


async def _ask_for_all(deployment: Deployment, accepted: list[str], verdict: Verdict) -> dict[str, str]:
    """Ask for every accepted job, again and again until it is answered. Returns the states."""
    loop = asyncio.get_running_loop()
    until = loop.time() + ASKING_S
    states: dict[str, str] = {}

    async def one(name: str) -> None:
        tries = 0
        while loop.time() < until:
            reply = await deployment.ask("GET", name, None, tries)
            tries += 1
            if reply.status == 410:
                verdict.broken(f"job {name} was accepted, and is answered 410")
                states[name] = "gone"
                return
            if reply.status == 200:
                states[name] = reply.state
                return
            await asyncio.sleep(0.5)
        verdict.broken(f"job {name} was accepted, and got no answer in {tries} tries")

    await asyncio.gather(*(one(name) for name in accepted))
    return states


async def _play(deployment: Deployment, special: list[Job], waits: Callable[[Job], bool], verdict: Verdict) -> None:
    await deployment.begin(TERMS)
    accepted: list[str] = []
    for number in range(BEFORE):
        name = f"{number + 1:016x}"
        if await deployment.hand_in(name, ORDINARY):
            accepted.append(name)
    if len(accepted) < BEFORE:
        raise RuntimeError("the ordinary jobs before the special ones were not taken")
    for name in accepted:
        await deployment.job_reaches(deployment.dispatchers[0], name, "done", 10.0)
    deployment.note("the ordinary jobs before the special ones are done")
    taken = await _special_jobs(deployment, special)
    accepted += taken
    await _ordinary_jobs(deployment, accepted)
    deployment.note(f"end of the traffic: {len(accepted)} jobs were accepted")
    await asyncio.sleep(BOUNDS["finish_s"])
    deployment.note("finish_s is over: all accepted jobs are asked for")
    watch = IdleWatch(deployment)
    watch.longest = dict.fromkeys(accepted, 0.0)
    watching = asyncio.create_task(watch.run())
    states = await _ask_for_all(deployment, accepted, verdict)
    await asyncio.sleep(IDLE_S + 1.0)
    open_jobs = [name for name in accepted if states.get(name) not in FINAL]
    later = await _ask_for_all(deployment, [name for name in open_jobs if name in states], verdict)
    watching.cancel()
    for name in open_jobs:
        if later.get(name) in FINAL or (name in taken and waits(taken[name])):
            continue
        idle_s = watch.longest[name]
        if idle_s >= IDLE_S and later.get(name) in ("queued", "running"):
            verdict.broken(f"job {name} is {later[name]}, and had nothing running for {idle_s:.1f} s beside free room")
    deployment.note(f"states: {states}, later: {later}")


async def _run(folder: Path, record: Record, special: list[Job], waits: Callable[[Job], bool]) -> int:
    deployment = Deployment(folder, record=record)
    deployment.layout = type(deployment.layout)(controls=3, dispatchers=2, agents=4)
    verdict = Verdict(record)
    try:
        await _play(deployment, special, waits, verdict)
    except Exception as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        return BROKEN if verdict.breaks else NOT_RUN
    finally:
        deployment.note_processes()
        await deployment.stop()
    record.write(f"{len(verdict.breaks)} breaks of LOST")
    return BROKEN if verdict.breaks else HELD


def play(case: Path, special: list[Job], calm: list[Job], waits: Callable[[Job], bool] = lambda job: False) -> None:
    """Play the special jobs, or with TROUBLE=0 the calm ones in their place, and end the process with the verdict.

    `waits`: whether a special job may have nothing running: a task of it waits for a time that is not due yet, or no
    worker has room for its tasks.
    """
    record = Record(case / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    with_trouble = os.environ.get("TROUBLE") != "0"
    record.write("with the disruption" if with_trouble else "without the disruption")
    try:
        code = asyncio.run(_run(folder, record, special if with_trouble else calm, waits))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.write(f"exit code {code}")
    record.close()
    sys.exit(code)
