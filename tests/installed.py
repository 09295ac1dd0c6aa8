"""Starts an installed program outside the checkout: `version`, and `check` with every part set up.

Usage: installed.py PROGRAM. `make wheel-check` gives it a program installed from the wheel.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from dispatcher_fixture import SETTINGS

OPERATOR = Path(__file__).parent.parent / "deploy" / "operator-example.toml"


def main(program: str) -> int:
    settings = {
        **SETTINGS,
        "classes": [
            *SETTINGS["classes"],
            {"name": "usage-report", "deadline": 25000.0, "goal_time": 9000.0, "effect": "retryable"},
        ],
    }
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:9",
                    "seed": "1",
                    "limits": {"sockets": 256},
                    "settings": settings,
                }
            )
        )
        for args in (["version"], ["check"], ["check", f"--operator={OPERATOR}"]):
            done = subprocess.run(
                [str(Path(program).absolute()), *args],
                cwd=folder,
                text=True,
                timeout=60,
                capture_output=True,
                env={"BALANCER_CONFIG": str(config)},
            )
            print(f"millethead {' '.join(args[:1])}: {done.returncode}", (done.stdout + done.stderr).strip())
            if done.returncode:
                return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
