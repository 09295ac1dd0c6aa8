#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: those of the project and their own, all in Python.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps" python3 -m compileall -q millethead/lab review/harness_2 review/4 review/5 review/6 review/7 review/8
