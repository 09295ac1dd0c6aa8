"""Output, error locations and exit codes of the command line.

The core is a head in the test process. For the configuration, an HTTP server on loopback replaces the operator API.
"""

import json
import threading
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from random import Random

import pytest
from typer.testing import CliRunner

from millethead.__main__ import SYSTEM_COMMANDS
from millethead.control.calls import CallerHello, ConfigurationAck, ConfigurationCall, HeadAnswer, InspectCall, JobCall
from millethead.control.head import Head
from millethead.control.inspect import STATUS, inspect
from millethead.control.state import ControlState
from millethead.execution.messages import AgentHello, LeaseRequest, Resources, RunEnd, WorkerInfo, WorkerUpdate
from millethead.jobs.commands import EndedRun, EndRuns
from millethead.lab.local_machine import HOST, PREFIX, ROUTE, SERVICE, configuration
from millethead.programs.command_line import ExitCode, app
from millethead.programs.core_client import CoreClient
from millethead.replication.log_position import NO_POSITION, LogPosition
from millethead.replication.view import ChainMember, Member, View
from millethead.rollout.register import AcceptorState
from millethead.rollout.store import AcceptorStore
from millethead.rpc.codec import decode_any, encode, encode_any
from millethead.scheduling.model import StepKey
from millethead.storage.identity import load_identity
from millethead.storage.log import Entry, LogFile

MEMBERS = (Member("10.0.0.1:7660", 0xA1), Member("10.0.0.2:7660", 0xA2), Member("10.0.0.3:7660", 0xA3))
VIEW = View(4, MEMBERS, tuple(ChainMember(member, 1, 1) for member in MEMBERS[:2]))
WALL_MS = 1_700_000_000_000
runner = CliRunner()


def run(*args, stdin=None):
    return runner.invoke(app, [str(arg) for arg in args], input=stdin, env={"MILLETHEAD_NODE_FILE": ""})


# ---- a head without a chain ------------------------------------------------------------------------------


@dataclass
class Chain:
    """A chain of one member that commits at once and records the proposals."""

    state: ControlState
    committed: int = 0
    payloads: list = field(default_factory=list)
    barrier: int = 0

    def propose(self, payload):
        self.payloads.append(payload)
        self.committed += 1
        return self.committed, self.state.apply(payload, LogPosition(1, self.committed))

    def send_barrier(self):
        self.barrier += 1
        return self.barrier


class Clock:
    """A stopped clock. Callbacks passed to `soon` and `later` are kept until `run` calls them."""

    def __init__(self):
        self.calls = []
        self.after = lambda: None

    def now(self):
        return 1000.0

    def wall_ms(self):
        return WALL_MS

    def soon(self, call):
        self.calls.append(call)

    def later(self, delay_s, call):
        self.calls.append(call)

    def run(self):
        for _ in range(20):
            calls, self.calls = self.calls, []
            for call in calls:
                call()
            self.after()


class Link:
    def __init__(self):
        self.sent = []

    def send(self, record):
        self.sent.append(record.answer if isinstance(record, HeadAnswer) else record)

    def close(self):
        pass


class Core:
    """A head, a dispatcher and, with `add_worker`, workers."""

    def __init__(self):
        self.state, self.clock = ControlState(), Clock()
        self.chain = Chain(self.state)
        self.head = Head(VIEW, self.state, self.chain, self.clock, Random(1), 120.0)
        self.clock.after = lambda: self.head.gate.barrier_passed(self.chain.barrier)
        self.link = Link()
        self.caller = self.head.caller_hello(self.link, CallerHello("dispatcher-1", 0, 0, NO_POSITION, True))
        self.head.call(self.caller, ConfigurationCall(1, "PUT", 0, json.dumps(configuration(3)).encode()))
        self.head.caller_record(self.caller, ConfigurationAck(3, self.state.configuration.place))

    def add_worker(self, node="side-1"):
        session = self.head.agent_hello(Link(), AgentHello(node, 1, 0, "north", "10.0.1.1:80", SERVICE))
        info = WorkerInfo(
            f"i-{node}",
            SERVICE,
            "10.0.1.1:80",
            "north",
            "v1",
            8,
            False,
            0,
            Resources(4000, 8192, 0),
            ("a", "north-1"),
            -1,
            1,
        )
        self.head.agent_record(session, WorkerUpdate(info))
        self.head.agent_record(session, LeaseRequest(1))  # an agent without a lease gets no tasks
        self.clock.run()

    def submit(self, name, *steps):
        body = json.dumps({"spec": "s", "steps": steps}).encode()
        self.head.call(self.caller, JobCall(2, "POST", HOST, PREFIX + name, body))
        self.clock.run()

    def end(self, name, index, how):
        run = self.state.jobs.open[name, 0, 0, index]
        outcome = self.head.gate.propose(EndRuns((EndedRun(run, how, ""),), WALL_MS))
        self.head.scheduler_sync.runs_closed(outcome, self.head._now())
        self.clock.run()


@pytest.fixture
def core(monkeypatch):
    core = Core()
    monkeypatch.setattr(CoreClient, "_inspect", lambda client, what: inspect(core.head, what))
    return core


ONE = {"count": 3, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500}
JOB_A, JOB_B = "00000000000000aa", "00000000000000bb"
AT = ("--control", "10.0.0.1:8146", "--internal-port", 7660)


def test_status_shows_avoided_worker_with_cause(core):
    core.add_worker()
    for number in range(3):
        core.head.scheduler.health.run_ended((StepKey(f"j{number}", 0, 0), 0, "i-side-1"), RunEnd.FAILED, 0.0)
    assert "avoided (fails)" in run("status", *AT).stdout.splitlines()[-1]


def test_status_shows_view_configuration_queues_and_workers(core):
    core.add_worker()
    core.submit(JOB_A, ONE)
    # this dispatcher has no configuration in force yet
    core.head.caller_hello(Link(), CallerHello("dispatcher-2", 0, 0, NO_POSITION, True))
    result = run("status", *AT)
    assert result.exit_code == ExitCode.OK
    lines = result.stdout.splitlines()
    assert lines[0] == "view           epoch 4, head 10.0.0.1:7660"
    assert lines[1] == "chain          10.0.0.1:7660 > 10.0.0.2:7660"
    assert "10.0.0.3:7660 (outside the chain)" in lines[2]
    assert lines[4] == "configuration  version 3, in force at 1 of 2 dispatchers; behind: dispatcher-2 (0)"
    assert f"queue          {ROUTE} ({SERVICE}): 1 running" in lines
    assert "workers        1, with 3 open runs" in lines
    assert lines[-1].split() == ["i-side-1", "side-1", SERVICE, "ready", "3", "1000/4000", "7892/8192", "0/0"]


def test_status_as_json_is_the_full_report(core):
    report = json.loads(run("status", "--json", *AT).stdout)
    assert report["voters"][2] == {"address": "10.0.0.3:7660", "disk": "00000000000000a3", "place": None}
    assert (report["epoch"], report["configuration"], report["uncommitted"], report["workers"]) == (4, 3, 0, [])


def test_jobs_show_why_tasks_wait(core):
    core.submit(JOB_A, {**ONE, "requires": "b"}, {**ONE, "deps": [0]})
    lines = run("jobs", "show", JOB_A, *AT).stdout.splitlines()
    assert lines[0] == f"job            {JOB_A}, queued"
    assert "3 waiting: no worker of the service" in lines[4]
    assert "3 waiting: steps that it depends on" in lines[6]
    core.add_worker()
    core.submit(JOB_B, {**ONE, "count": 9})
    assert "3 waiting: label" in run("jobs", "show", JOB_A, *AT).stdout
    listed = run("jobs", "list", "--queue", ROUTE, *AT).stdout.splitlines()
    assert len(listed) == 3
    assert listed[2].split()[:3] == [JOB_B, ROUTE, "running"]
    assert listed[2].endswith("0     4        5: no room")
    assert len(run("jobs", "list", "--queue", "other", *AT).stdout.splitlines()) == 1


def test_jobs_show_runs_ends_and_pauses(core):
    core.add_worker()
    core.submit(JOB_A, {**ONE, "long_running": True})
    core.end(JOB_A, 1, RunEnd.FAILED)
    shown = run("jobs", "show", JOB_A, *AT).stdout
    assert "0 of 3 tasks done, 2 running, 1 failed ends" in shown
    assert "1 waiting: pause after an end" in shown
    assert "task 0, run 1: on i-side-1 at side-1, 0% saved" in shown


def test_inspecting_a_recurring_job_does_not_create_its_occurrences(core):
    body = {"spec": "", "repeats": 5, "delay_ms": WALL_MS + 60_000, "interval_ms": 1000, "steps": [ONE]}
    core.head.call(core.caller, JobCall(2, "POST", HOST, PREFIX + JOB_A, json.dumps(body).encode()))
    core.clock.run()
    assert "times          0 of 5 done, the next due at 2023-11-14T22:14:20Z" in run("jobs", "show", JOB_A, *AT).stdout
    assert core.state.jobs.jobs[JOB_A].times == {}


def test_unknown_job(core):
    result = run("jobs", "show", JOB_A, *AT)
    assert (result.exit_code, result.stderr) == (ExitCode.NEGATIVE, f"millethead: job {JOB_A}: not known to the core\n")


def test_head_answers_an_inspect_call(core):
    core.link.sent.clear()
    core.head.call(core.caller, InspectCall(9, STATUS))
    core.clock.run()
    core.head.gate.barrier_passed(1)
    answer = core.link.sent[-1]
    assert (answer.number, answer.status, answer.body) == (9, 200, inspect(core.head, STATUS))


def test_addresses_are_required():
    for command in (("status",), ("jobs", "list"), ("config", "get")):
        result = run(*command)
        assert (result.exit_code, result.stdout) == (ExitCode.UNUSABLE, "")
        assert "--control HOST:PORT" in result.stderr
    assert "--internal-port" in run("status", "--control", "127.0.0.1:1").stderr


def test_unreachable_core(tmp_path):
    result = run("config", "get", "--control", "127.0.0.1:9", "--control", "127.0.0.2:9")
    assert result.exit_code == ExitCode.UNREACHABLE
    assert "127.0.0.1:9: no connection; 127.0.0.2:9: no connection" in result.stderr


# ---- configuration ---------------------------------------------------------------------------------------


class Operator(ThreadingHTTPServer):
    """Fake operator API of a control process.

    `answers` has the status and body of each response. The last one is repeated.
    """

    def __init__(self, *answers):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.answers, self.calls = list(answers), []
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"


class _Handler(BaseHTTPRequestHandler):
    def do_PUT(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.server.calls.append((self.command, self.headers.get("If-Match"), body))
        answers = self.server.answers
        status, answer = answers.pop(0) if len(answers) > 1 else answers[0]
        data = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_PATCH = do_PUT

    def log_message(self, *args):
        pass


@pytest.fixture
def operator():
    made = []

    def make(*answers):
        made.append(Operator(*answers))
        return made[-1]

    yield make
    for server in made:
        server.shutdown()
        server.server_close()


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(4)))
    return path


def test_config_check_reports_every_finding_with_its_location(tmp_path, document):
    assert run("config", "check", document).stdout == f"{document}: valid: version 4, 1 routes, 1 services\n"
    bad = configuration(4)
    bad["routes"][0] |= {"timeout_ms": 0, "service": "nobody"}
    document.write_text(json.dumps(bad))
    result = run("config", "check", document)
    assert (result.exit_code, result.stdout) == (ExitCode.NEGATIVE, "")
    assert [line.split(": ")[2] for line in result.stderr.splitlines()] == ["routes[0].timeout_ms", "routes[0].service"]
    assert all(line.startswith(f"millethead: {document}: ") for line in result.stderr.splitlines())
    assert run("config", "check", "-", stdin="{").exit_code == ExitCode.NEGATIVE
    assert run("config", "check", tmp_path / "none").exit_code == ExitCode.UNUSABLE


def test_config_get_prints_the_original_bytes(operator):
    sent = b'{"version": 1,   "x": "\\u00e4"}'
    assert run("config", "get", "--control", operator((200, sent)).address).stdout_bytes == sent + b"\n"
    nothing = run("config", "get", "--control", operator((404, {})).address)
    assert (nothing.exit_code, nothing.stderr) == (ExitCode.NEGATIVE, "millethead: no configuration yet\n")


def test_config_put_is_based_on_the_current_version(operator, document):
    server = operator((200, configuration(3)), (200, {"version": 4}))
    result = run("config", "put", document, "--control", server.address)
    assert (result.exit_code, result.stdout) == (ExitCode.OK, "version 4 is in place\n")
    assert server.calls[1] == ("PUT", "3", document.read_bytes())


def test_config_put_retries_the_same_order_at_the_next_address(operator, document):
    broken, well = operator((503, {})), operator((200, {"version": 4}))
    result = run(
        "config",
        "put",
        document,
        "--patch",
        "--if-match",
        3,
        "--control",
        "127.0.0.1:9",
        "--control",
        broken.address,
        "--control",
        well.address,
    )
    assert result.exit_code == ExitCode.OK
    assert broken.calls == well.calls == [("PATCH", "3", document.read_bytes())]


def test_rejected_config_put(operator, document):
    late = operator((412, {"error": "another version is in place", "version": 9}))
    result = run("config", "put", document, "--if-match", 3, "--control", late.address)
    assert (result.exit_code, result.stderr) == (ExitCode.CONFLICT, "millethead: version 9 is in place\n")
    invalid = operator((400, {"error": "invalid", "findings": [{"place": "routes[0].host", "problem": "is empty"}]}))
    result = run("config", "put", document, "--if-match", 3, "--control", invalid.address)
    assert (result.exit_code, result.stderr) == (ExitCode.NEGATIVE, "millethead: routes[0].host: is empty\n")
    silent = operator((503, {}))
    assert run("config", "put", document, "--control", silent.address).exit_code == ExitCode.UNREACHABLE


def test_config_diff_shows_items_and_fields(operator, document):
    assert run("config", "diff", document, "--control", operator((200, configuration(3))).address).exit_code == 0
    new = configuration(4, target_ms=50)
    new["routes"].append({**new["routes"][0], "name": "other", "path_prefix": "/other/"})
    new["services"][0]["name"] = new["routes"][0]["service"] = new["routes"][1]["service"] = "welding"
    new["limits"]["max_body_bytes"] = 100
    document.write_text(json.dumps(new))
    result = run("config", "diff", document, "--control", operator((200, configuration(3))).address)
    assert result.exit_code == ExitCode.NEGATIVE
    assert set(result.stdout.splitlines()) == {
        f"~ routes {ROUTE}: target_ms 1000 -> 50",
        f"~ routes {ROUTE}: service {SERVICE} -> welding",
        "+ routes other",
        f"- services {SERVICE}",
        "+ services welding",
        "~ limits: max_body_bytes 262144 -> 100",
    }
    first = run("config", "diff", document, "--control", operator((404, {})).address)
    assert f"+ routes {ROUTE}" in first.stdout


# ---- disks -----------------------------------------------------------------------------------------------


@pytest.fixture
def disk(core, tmp_path):
    """The disk of a stopped member with the log of the core."""
    core.add_worker()
    core.submit(JOB_A, ONE)
    folder = tmp_path / "disk"
    folder.mkdir()
    load_identity(folder, True, lambda: 0xD15C)
    log = LogFile(folder)
    log.recover()
    log.append([Entry(4, number + 1, payload) for number, payload in enumerate(core.chain.payloads)])
    log.sync()
    log.append([Entry(4, len(core.chain.payloads) + 1, b"")])
    log.sync()
    log.close()
    store = AcceptorStore(folder, "view")
    store.load()
    store.save(AcceptorState((2, "a"), (2, "a"), encode(VIEW)))
    return folder


def test_log_verify_is_read_only(disk):
    before = {path: path.read_bytes() for path in disk.iterdir()}
    result = run("log", "verify", disk)
    assert result.exit_code == ExitCode.OK
    assert "disk           000000000000d15c, first start of the system under way" in result.stdout
    assert "accepted view  epoch 4, chain 10.0.0.1:7660 > 10.0.0.2:7660, 3 voters" in result.stdout
    assert "entries        4 after it; the last is epoch 4, entry 4" in result.stdout
    assert result.stdout.endswith("configuration  version 3\njobs           1 running\nopen runs      3\n")
    assert {path: path.read_bytes() for path in disk.iterdir()} == before


def test_log_verify_distinguishes_a_torn_tail_from_damage(disk):
    log = disk / "log"
    whole = log.read_bytes()
    log.write_bytes(whole + b"MHL1 torn")
    torn = run("log", "verify", disk)
    assert torn.exit_code == ExitCode.OK
    assert "torn tail      9 bytes" in torn.stdout
    assert log.read_bytes() == whole + b"MHL1 torn"
    damaged = bytearray(whole)
    damaged[len(whole) // 2] ^= 1
    log.write_bytes(damaged)
    result = run("log", "verify", disk)
    assert result.exit_code == ExitCode.NEGATIVE
    assert f"millethead: {disk}: damaged: bad bytes at " in result.stderr
    assert run("log", "verify", disk / "none").exit_code == ExitCode.UNUSABLE


def test_log_verify_rejects_a_disk_without_identity_or_acceptor_file(disk):
    (disk / "view.agreed").unlink()
    assert "view.agreed: missing beside a log with entries" in run("log", "verify", disk).stderr
    (disk / "identity").unlink()
    result = run("log", "verify", disk)
    assert (result.exit_code, "identity: missing" in result.stderr) == (ExitCode.NEGATIVE, True)
    assert not (disk / "identity").exists()


def test_log_verify_after_an_interrupted_first_start(tmp_path):
    load_identity(tmp_path, True, lambda: 1)
    log = LogFile(tmp_path)
    log.recover()
    log.close()
    result = run("log", "verify", tmp_path)
    assert (result.exit_code, "accepted view  none" in result.stdout) == (ExitCode.OK, True)


def test_log_verify_rejects_a_log_whose_state_cannot_be_rebuilt(tmp_path):
    folder = tmp_path / "disk"
    folder.mkdir()
    load_identity(folder, False, lambda: 1)
    AcceptorStore(folder, "view").load()
    log = LogFile(folder)
    log.recover()
    log.append([Entry(1, 1, encode_any(InspectCall(1, "no command")))])
    log.close()
    result = run("log", "verify", folder)
    assert result.exit_code == ExitCode.NEGATIVE
    assert "the state cannot be worked out" in result.stderr


def test_snapshot_contains_the_whole_state(disk, core, tmp_path):
    file = tmp_path / "state.snapshot"
    assert run("snapshot", "save", disk, file).stdout == f"{file}: state after epoch 4, entry 4\n"
    shown = run("snapshot", "show", file).stdout
    assert "snapshot       epoch 4, entry 4" in shown
    assert shown.endswith(run("log", "verify", disk).stdout.partition("configuration")[2])
    assert json.loads(run("snapshot", "show", "--configuration", file).stdout) == configuration(3)
    jobs = run("snapshot", "show", "--jobs", file).stdout.splitlines()
    assert jobs[1].split() == [JOB_A, ROUTE, "running", "2023-11-14T22:13:20Z", "3"]
    again = run("snapshot", "save", disk, file)
    assert (again.exit_code, "File exists" in again.stderr) == (ExitCode.UNUSABLE, True)
    data = bytearray(file.read_bytes())
    data[-1] ^= 1
    file.write_bytes(data)
    cut = run("snapshot", "show", file)
    assert (cut.exit_code, cut.stderr) == (ExitCode.NEGATIVE, f"millethead: {file}: damaged: not a whole snapshot\n")


# ---- settings and exit codes -----------------------------------------------------------------------------


def test_settings_check_reports_every_finding(tmp_path):
    file = tmp_path / "settings.json"
    file.write_text(
        json.dumps(
            {
                "node": "edge-1",
                "role": "control",
                "ip": "10.0.0.1",
                "port_range": [7660, 7675],
                "seeds": ["10.0.0.1:8146"],
                "data_dir": "/data",
            }
        )
    )
    assert run("settings", "check", file).stdout == "edge-1: can be used: role control at 10.0.0.1, 1 seeds, a disk\n"
    file.write_text(json.dumps({"node": "", "role": "control", "ip": "10.0.0.1", "port_range": [9, 7]}))
    result = run("settings", "check", file)
    assert result.exit_code == ExitCode.UNUSABLE
    assert [line.split(": ")[2] for line in result.stderr.splitlines()] == ["node", "port_range"]
    assert "MILLETHEAD_NODE_FILE is not set" in run("settings", "check").stderr


def test_program_without_settings_reports_an_error():
    for program in ("control", "dispatcher", "agent"):
        result = run(program)
        assert (result.exit_code, "MILLETHEAD_NODE_FILE" in result.stderr) == (ExitCode.UNUSABLE, True)


def test_addresses_are_taken_from_settings(core, tmp_path):
    file = tmp_path / "settings.json"
    file.write_text(
        json.dumps(
            {
                "node": "edge-1",
                "role": "control",
                "ip": "10.0.0.1",
                "port_range": [7660, 7675],
                "listen": {"control": "10.0.0.1:8146"},
                "seeds": ["10.0.0.2:8146"],
            }
        )
    )
    assert run("status", "--settings", file).exit_code == ExitCode.OK
    assert run("status", "--settings", tmp_path / "none").exit_code == ExitCode.UNUSABLE


def test_every_command_states_its_exit_codes():
    commands = [command.name or command.callback.__name__ for command in app.registered_commands]
    assert {*commands, *(group.name for group in app.registered_groups)} == SYSTEM_COMMANDS
    for args in (
        (),
        ("status",),
        ("jobs",),
        ("jobs", "show"),
        ("config", "put"),
        ("log", "verify"),
        ("snapshot", "save"),
        ("settings", "check"),
        ("demo",),
    ):
        result = run(*args, "--help")
        assert result.exit_code == ExitCode.OK
        assert "Exit codes: 0 done" in " ".join(result.stdout.split())


def test_records_of_the_fixture_are_commands(core):
    assert [type(decode_any(payload)).__name__ for payload in core.chain.payloads] == ["ChangeConfiguration"]
