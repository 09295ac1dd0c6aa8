#!/usr/bin/env bash
# Plays the case in the folder that is given: case.py there, with the packages that the deploy file's build has laid down.
set -u
folder="$(cd "$1" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
[ -d "$root/target/deps" ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
export PYTHONPATH="$root/target/deps:$root:$root/review" PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py" "$folder"
