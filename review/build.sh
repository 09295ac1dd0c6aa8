#!/usr/bin/env bash
# Builds what the scripts start: the project's programs and its stand-in workers, by the build command of the deploy file.
# The review's own stand-ins are Python files that need no build; they are compiled here to show that they can be read.
set -eu
cd "$(dirname "$0")/.."
build="$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
sh -c "$build"
PYTHONPATH="target/deps:." python3 -c 'import millethead.lab.local_system, millethead.lab.worker_server'
python3 - review/harness.py review/[1-3]/case.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
END
