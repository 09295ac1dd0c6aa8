"""Builds the system from a clean checkout with the system's own tools, and compares what the build runs and loads with
the `packages` of deploy/system.toml. Usage: build_packages.py

Wants a Debian system on which these packages are installed, and the package registry. What a package depends on comes
with it, so that a file is accounted for where its package is listed or depended on by one that is. Ends with 1, and
says why, where the build fails, uses a file of another package, or a listed package holds nothing that it uses.
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).parent.parent
SYSTEM_PATH = "/usr/sbin:/usr/bin:/sbin:/bin"
BUILD_S = 900
LOADED = re.compile(r"(?:calling init|initialize program): (\S+)")
ALTERNATIVES = re.compile(r"[,|]")


def checkout(folder: Path) -> None:
    """The tracked files, as they are in the working tree."""
    names = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    for name in filter(None, names.split("\0")):
        if name.startswith(("millethead/", "deploy/")) or "/" not in name:
            (folder / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, folder / name)


def build(command: str, folder: Path, notes: Path) -> None:
    """Run the build with nothing but the system's tools on its path."""
    environment = {
        "PATH": SYSTEM_PATH,
        "HOME": str(folder / "home"),
        "LANG": "C.UTF-8",
        "LD_DEBUG": "files",
        "LD_DEBUG_OUTPUT": str(notes / "loaded"),
    }
    subprocess.run(["/bin/sh", "-c", command], cwd=folder, env=environment, check=True, timeout=BUILD_S)


def used_files(notes: Path, folder: Path) -> set[str]:
    """Programs that were run and libraries that were loaded, but for those that the build itself has brought."""
    found: set[str] = set()
    for note in notes.iterdir():
        for name in LOADED.findall(note.read_text(errors="replace")):
            path = name if name.startswith("/") else shutil.which(name, path=SYSTEM_PATH)
            if path is not None and not path.startswith(str(folder)):
                found.add(path)
    return found


def pip_file() -> str:
    """Where the system's pip lies: it is read, and not loaded."""
    shown = ["/usr/bin/python3", "-c", "import pip; print(pip.__file__)"]
    return subprocess.run(shown, capture_output=True, text=True, check=True).stdout.strip()


def owner(path: str) -> str | None:
    """The package that a file belongs to, under any of its names."""
    real = os.path.realpath(path)
    names = {path, real, path.removeprefix("/usr"), real.removeprefix("/usr")}
    for name in sorted(names):
        said = subprocess.run(["dpkg-query", "-S", name], capture_output=True, text=True, check=False)
        if said.returncode == 0:
            return said.stdout.split(":")[0]
    return None


def dependencies() -> dict[str, set[str]]:
    """What each installed package depends on, by package; virtual packages stand for what provides them."""
    shown = ["dpkg-query", "-W", "-f", "${Package}\t${Pre-Depends},${Depends}\t${Provides}\n"]
    lines = subprocess.run(shown, capture_output=True, text=True, check=True).stdout.splitlines()
    needs: dict[str, set[str]] = {}
    for line in lines:
        package, wanted, provided = line.split("\t")
        needs.setdefault(package, set()).update(_names(wanted))
        for virtual in _names(provided):
            needs.setdefault(virtual, set()).add(package)
    return needs


def _names(listed: str) -> Iterable[str]:
    return (name.split("(")[0].split(":")[0].strip() for name in ALTERNATIVES.split(listed) if name.strip())


def closure(packages: Iterable[str], needs: dict[str, set[str]]) -> set[str]:
    """The packages and all that they depend on."""
    found: set[str] = set()
    left = list(packages)
    while left:
        package = left.pop()
        if package in needs and package not in found:
            found.add(package)
            left.extend(needs[package])
    return found


def main() -> None:
    """Build, compare, say what is wrong."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    packages = set(deploy["packages"])
    with tempfile.TemporaryDirectory() as place:
        folder, notes = Path(place, "checkout"), Path(place, "notes")
        folder.mkdir()
        notes.mkdir()
        checkout(folder)
        build(deploy["build"], folder, notes)
        used = {path: owner(path) for path in used_files(notes, folder)}
        used[pip_file()] = owner(pip_file())
    covered = closure(packages, dependencies())
    wrong = [f"{path} is of {package or 'no package'}" for path, package in used.items() if package not in covered]
    needs = dependencies()
    for package in sorted(packages):
        if not closure([package], needs) & set(used.values()):
            wrong.append(f"{package} is listed, and the build uses nothing of it")
    print(f"{len(used)} files used, of {', '.join(sorted(filter(None, set(used.values()))))}")
    if wrong:
        sys.exit("\n".join(sorted(wrong)))


if __name__ == "__main__":
    main()
