"""Stores the workers that operators have excluded, for the next process of the same dispatcher."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

import structlog

from millethead.files import safe_file_name, write_atomically

log = structlog.get_logger()
VERSION = 1
MAX_WORKERS, MAX_FILE_BYTES = 4096, 1 << 20
MAX_NAME_CHARACTERS = 256  # of a worker id


class ExcludedWorkersFile:
    """A file with the ids of the excluded workers, replaced atomically. `owner` identifies the dispatcher: a file of
    another owner is ignored."""

    def __init__(self, folder: Path, name: str, owner: str) -> None:
        self.path = folder / f"millethead-{safe_file_name(name)}.out"
        self.owner = owner

    def load(self) -> list[str]:
        """Returns the stored ids. Returns none if there is no file, or if it is invalid, which is logged."""
        try:
            with self.path.open("rb") as file:
                raw = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return []
        except OSError as error:
            log.warning("out_file_unusable", why=str(error))
            return []
        try:
            text = json.loads(raw)
            if len(raw) > MAX_FILE_BYTES or text["version"] != VERSION or text["whose"] != self.owner:
                raise ValueError("the file is too large, of another version or of another dispatcher")
            out = text["out"]
            if (
                not isinstance(out, list)
                or len(out) > MAX_WORKERS
                or not all(isinstance(name, str) and 0 < len(name) <= MAX_NAME_CHARACTERS for name in out)
            ):
                raise ValueError("the list of workers is invalid")
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log.warning("out_file_unusable", why=repr(error))
            return []
        return out

    def store(self, out: Iterable[str]) -> None:
        """Replaces the stored ids. Raises OSError, and leaves the old file in place then."""
        names = sorted(out)
        if len(names) > MAX_WORKERS:
            raise OSError(f"more than {MAX_WORKERS} booking workers are out")
        text = json.dumps({"version": VERSION, "whose": self.owner, "out": names}).encode()
        write_atomically(self.path, text)
