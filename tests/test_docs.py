"""What the pages for people say must be what the program does."""

import re
import tempfile
import unittest
from pathlib import Path

from test_waiting import FakeNextStage

from millethead.admission.queue import AdmissionQueue
from millethead.admission.setup import AdmissionSetup
from millethead.console.metrics import MetricsSnapshot, render
from millethead.exchange.counters import JobCounters
from millethead.frontends.http import HttpFrontend
from millethead.lab.clock import VirtualClock
from millethead.members.setup import MembersSetup
from millethead.members.shell import Members
from millethead.tables import LoopbackAddress

ROOT = Path(__file__).parent.parent
SYSTEM_PACKAGES = (
    "programs",
    "control",
    "replication",
    "execution",
    "storage",
    "web",
    "rpc",
    "configuration",
    "jobs",
    "scheduling",
)


class OnCall(unittest.TestCase):
    def test_every_log_line_is_explained_and_no_other(self):
        page = (ROOT / "docs" / "on-call.md").read_text()
        # the packages of the system have a page of their own, and a test of it as strict: tests/test_system_docs.py
        code = "".join(
            path.read_text()
            for path in (ROOT / "millethead").rglob("*.py")
            if path.relative_to(ROOT / "millethead").parts[0] not in SYSTEM_PACKAGES
        )
        said = set(re.findall(r"""log(?:ger\(\))?\.(?:info|warning|error|exception)\(\s*"([a-z_]+)"[,)]""", code))
        said |= {"job_refused", "job_failed", "library_says"}  # put together at run time
        self.assertGreater(len(said), 30)
        words = set(re.findall(r"`([a-z_]+)`", page))
        self.assertEqual(said - words, set())
        outcomes = {"connect_failed", "never_sent"}
        outcomes |= {"max_out", "voters_there", "back_s"}  # keys of the calls
        figures = {word for word in words if word.startswith("dispatcher_")}
        with tempfile.TemporaryDirectory() as folder:
            key = Path(folder, "key")
            key.write_bytes(b"k" * 16)
            members = Members(
                MembersSetup(listen=LoopbackAddress(("127.0.0.1", 1)), key_file=str(key)), "n", "", 1, print
            )
        admission = AdmissionQueue(FakeNextStage(), AdmissionSetup(), VirtualClock(), 1)
        front = HttpFrontend(FakeNextStage(), [], [], print, print)
        more = [*members.figures(), *admission.figures(), *front.figures()]
        page = render(MetricsSnapshot([], JobCounters(0), 0, 0, 0, more)).decode()
        self.assertEqual(figures, set(re.findall(r"# TYPE (\S+)", page)))
        self.assertEqual({word for word in words if "_" in word} - said - outcomes - figures, set())
