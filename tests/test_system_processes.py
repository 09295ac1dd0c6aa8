"""End-to-end tests of the programs as real processes on loopback, with fake workers.

Nothing that was acknowledged may be lost when processes end. The tests wait for conditions, never for a fixed time.
"""

import asyncio
import json
import signal

import pytest
import pytest_asyncio
from prometheus_client.parser import text_string_to_metric_families

from millethead.lab.local_machine import HOST, PREFIX, Role, configuration
from millethead.lab.local_system import LocalSystem, wait_for
from millethead.programs.core_client import CallRejected, CoreAddresses, CoreClient
from millethead.web.metrics import METRICS_PATH

pytestmark = pytest.mark.asyncio(loop_scope="module")
REQUESTS_BEFORE_TERM = 30
CLIENTS = 6


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def system(tmp_path_factory):
    """A core of three with configuration 1, two dispatchers and three agents. Each test leaves all of them running."""
    local = LocalSystem(tmp_path_factory.mktemp("system"))
    try:
        await local.start()
        await local.put_configuration(1, 0)
        await local.ready()
        await whole(local)
        yield local
        assert local.crashed() == [], [machine.said[-2000:] for machine in local.crashed()]
    finally:
        await local.stop()


async def whole(local):
    """Wait until every member of the core is in the chain and every worker is known."""
    return await local.core_reaches(
        lambda status: len(status.chain) == len(local.controls) and len(status.workers) == len(local.agents),
        15.0,
        "the core is whole",
    )


def job(seconds, *counts):
    """A job whose steps have these numbers of tasks and depend on the step before."""
    steps = [
        {
            "count": count,
            "cpu": 1000,
            "mem_mb": 256,
            "estimate_ms": int(seconds * 1000),
            "checkpoints": True,
            **({"deps": [number - 1]} if number else {}),
        }
        for number, count in enumerate(counts)
    ]
    return {"spec": str(seconds), "steps": steps}


def starts(local, name):
    """Return all starts of the job's tasks at any worker."""
    return [start.task for worker in local.workers for start in worker.model.starts if start.task.startswith(name)]


async def test_job_submitted_at_one_dispatcher_is_done_at_the_other(system):
    name, (first, second) = "00000000000000a1", system.dispatchers
    assert (await system.job("GET", second, name)).status == 410
    assert (await system.job("POST", first, name, job(0.1, 4, 2))).status == 200
    assert (await system.job("POST", second, name, job(0.1, 4, 2))).status == 200  # repeated submission
    await system.job_reaches(second, name, "done", 10.0)
    assert sorted(starts(system, name)) == sorted(
        [f"{name}.0.0.{index}" for index in range(4)] + [f"{name}.0.1.{index}" for index in range(2)]
    )
    assert (await system.call("GET", first.front, PREFIX, headers={"Host": HOST})).json() == {"pending": 0}
    assert (await system.call("GET", first.front, "/nobody/", headers={"Host": HOST})).status == 404


async def test_runs_continue_while_the_head_is_killed_and_no_task_starts_twice(system):
    name, (first, second) = "00000000000000a2", system.dispatchers
    assert (await system.job("POST", first, name, job(2.0, 5, 1))).status == 200
    await system.tasks_run(5, 10.0)
    before = await whole(system)
    head = system.by_internal(before.head)
    system.kill(head)
    after = await system.core_reaches(lambda status: status.epoch > before.epoch, 10.0, "another head")
    assert after.head != before.head
    await system.job_reaches(second, name, "done", 15.0)
    assert len(starts(system, name)) == 6
    system.start_process(head)
    await whole(system)


async def test_configuration_and_jobs_survive_a_restart_of_the_whole_core(system):
    before = (await system.call("GET", system.controls[0].control, "/-/config")).json()
    done, waiting, (first, second) = "00000000000000a3", "00000000000000a4", system.dispatchers
    assert (await system.job("POST", first, done, job(0.1, 1))).status == 200
    await system.job_reaches(first, done, "done", 10.0)
    large = job(0.1, 1)
    large["steps"][0]["cpu"] = 1_000_000  # does not fit on any worker
    assert (await system.job("POST", first, waiting, large)).status == 200
    running = "00000000000000a5"
    assert (await system.job("POST", first, running, job(2.0, 3))).status == 200
    await system.tasks_run(3, 10.0)
    for machine in system.controls:
        system.kill(machine)
    for machine in system.controls:
        system.start_process(machine)
    await system.job_reaches(second, running, "done", 20.0)
    assert len(starts(system, running)) == 3
    assert (await system.job("GET", second, done)).state == "done"
    assert (await system.job("GET", second, waiting)).state == "queued"

    # the first member may restart last, after the others have completed the job
    async def answers():
        return (await system.call("GET", system.controls[0].control, "/-/config")).status == 200

    await wait_for(answers, 10.0, "the first member answers")
    reply = await system.call("GET", system.controls[0].control, "/-/config")
    assert reply.json() == before
    assert (await system.job("DELETE", second, waiting)).status == 200
    assert (await system.job("GET", first, waiting)).state == "cancelled"
    await whole(system)


async def request(address, method, name, body):
    """Send one request on a new connection and return its status.

    None if the connection was refused. Raises if it was interrupted.
    """
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return None
    data = json.dumps(body).encode()
    writer.write(
        f"{method} {PREFIX}{name} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
        f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n".encode()
        + data
    )
    try:
        line = await asyncio.wait_for(reader.readline(), 5.0)
        await asyncio.wait_for(reader.read(), 5.0)
        return int(line.split()[1])
    finally:
        writer.close()


async def test_dispatcher_answers_every_request_before_it_stops(system):
    first, second = system.dispatchers
    answers = {}

    async def client(number):
        for turn in range(1000):
            name = f"{0xB000 + number:08x}{turn:08x}"
            status = await request(first.front, "POST", name, job(0.01, 1))
            if status is None:
                return
            answers[name] = status

    async def enough():
        return len(answers) >= REQUESTS_BEFORE_TERM

    clients = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    await wait_for(enough, 10.0, "requests are answered")
    system.signal(first, signal.SIGTERM)
    try:
        await asyncio.gather(*clients)  # raises if one was interrupted or not answered
        assert await system.ended(first) == 0
    finally:  # restore the system for the next tests
        await system.ended(first)
        system.start_process(first)
        await system.ready()
    assert set(answers.values()) == {200}
    for name in list(answers)[-CLIENTS:]:
        assert (await system.job("GET", second, name)).status == 200


async def test_configuration_change_takes_effect_at_every_dispatcher(system):
    await system.put_configuration(5, 1, target_ms=700)
    await system.core_reaches(
        lambda status: [caller.configuration for caller in status.dispatchers] == [5, 5],
        5.0,
        "both have put it in force",
    )
    for control in system.controls:  # a repeated order is acknowledged again, an outdated one is rejected
        again = await system.call("PUT", control.control, "/-/config", configuration(5, 700), {"If-Match": "1"})
        other = await system.call("PUT", control.control, "/-/config", configuration(6, 900), {"If-Match": "1"})
        assert (again.status, other.status) == (200, 412)


async def test_every_program_serves_metrics(system):
    await whole(system)
    heads = 0
    for machine in system.machines:
        page = await system.call("GET", machine.metrics, METRICS_PATH)
        assert page.status == 200, machine.name
        figures = {
            sample.name: sample.value
            for family in text_string_to_metric_families(page.body.decode())
            for sample in family.samples
        }
        match machine.role:
            case Role.CONTROL:
                heads += figures["millethead_is_head"]
                assert figures["millethead_chain_members"] == len(system.controls)
                assert figures["millethead_disk_broken"] == 0
            case Role.DISPATCHER:
                assert figures["millethead_head_connected"] == figures["millethead_ready"] == 1
            case Role.AGENT:
                assert figures["millethead_lease_left_seconds"] > 0
    assert heads == 1


async def test_node_is_drained_and_restored(system):
    """Uses the client of the command line, over the internal protocol of real processes."""
    await whole(system)
    client = CoreClient(
        CoreAddresses(
            tuple(machine.control for machine in system.controls),
            tuple(machine.internal for machine in system.controls),
        )
    )
    node, dispatcher = system.agents[0].name, system.dispatchers[0]
    report = await asyncio.to_thread(client.drain, node, True)
    assert report.drained and report.instance
    name, before = "00000000000000d1", len(system.workers[0].model.starts)
    assert (await system.job("POST", dispatcher, name, job(0.05, 12))).status == 200
    await system.job_reaches(dispatcher, name, "done", 15.0)
    assert len(system.workers[0].model.starts) == before
    status = await asyncio.to_thread(client.status)
    assert status.taken_out == (node,)
    with pytest.raises(CallRejected):
        await asyncio.to_thread(client.drain, "nobody", True)
    assert not (await asyncio.to_thread(client.drain, node, False)).drained
    assert (await asyncio.to_thread(client.status)).taken_out == ()
