"""The commands of the deploy file that the platform starts, and the system calls that `run` makes."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest
from pathlib import Path

from dispatcher_fixture import SETTINGS

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# The platform's test bench refuses further processes, does not reach Unix sockets, and has no DNS.
AUDITED_SERVE = """
import socket, sys
def watch(event, args):
    if event in ("os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system", "subprocess.Popen",
                 "socket.getaddrinfo", "socket.gethostbyname") or event == "socket.bind" and args[0].family not in (
                     socket.AF_INET,):
        if event != "socket.getaddrinfo" or not args[0] or not args[0].replace(".", "").isdigit():
            print("forbidden", event, args, file=sys.stderr)
sys.addaudithook(watch)
from millethead.cli import main
sys.exit(main(["serve"]))
"""


class DeployTest(unittest.TestCase):
    def test_build_updates_an_older_environment(self):
        # A build step guarded by `test -d .venv ||` kept an environment without msgspec, and `run` failed on import.
        with tempfile.TemporaryDirectory() as folder:
            old = Path(folder, ".venv", "bin", "python")
            old.parent.mkdir(parents=True)
            old.write_text('#!/bin/sh\necho "$@" >> calls\n')
            old.chmod(0o755)
            done = subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=folder, timeout=60)
            self.assertEqual(done.returncode, 0)
            self.assertIn("install -r requirements.txt", Path(folder, "calls").read_text())

    def test_run_is_one_process_without_children(self):
        self.assertTrue(DEPLOY["run"].startswith("exec "))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(
                json.dumps(
                    {
                        "name": "n1",
                        "listen": "127.0.0.1:0",
                        "discovery": "127.0.0.1:9",
                        "seed": "1f",
                        "limits": {"sockets": 256},
                        "known": None,
                        "settings": SETTINGS,
                    }
                )
            )
            process = subprocess.Popen(
                [sys.executable, "-c", AUDITED_SERVE],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                stdout=subprocess.PIPE,
                env={**os.environ, "BALANCER_CONFIG": str(path)},
            )
            lines = []
            for line in process.stdout:
                lines.append(line)
                if b"discovery_lost" in line:  # it listens, and its connection to discovery was refused
                    break
            time.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            _, errors = process.communicate(timeout=30)
            self.assertNotIn(b"forbidden", errors, lines)
            self.assertEqual(process.returncode, 0)
