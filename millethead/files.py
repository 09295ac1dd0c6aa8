"""Atomic replacement of small files."""

from __future__ import annotations

import os
import re
from pathlib import Path


def safe_file_name(name: str) -> str:
    """Returns `name`, the name of a dispatcher, with characters that are unsafe in file names replaced."""
    return re.sub(r"[^A-Za-z0-9-]", "_", name)[:64]


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces the file at `path` with a new one. Raises OSError, and leaves the old file in place then."""
    new = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with new.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new.replace(path)
    except OSError:
        new.unlink(missing_ok=True)
        raise
