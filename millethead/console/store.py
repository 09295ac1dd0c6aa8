"""Workers out by hand, kept in a file for the next process of the same dispatcher."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

import structlog

from millethead.files import plain_name, write_whole

log = structlog.get_logger()
VERSION = 1
MOST, BYTES = 4096, 1 << 20  # workers out, and bytes of the file
NAME = 256  # characters of an id


class OutFile:
    """The file, which is written whole or not at all. `whose` says which dispatcher's it is: a file of another one
    is not used."""

    def __init__(self, folder: Path, name: str, whose: str) -> None:
        self.path = folder / f"millethead-{plain_name(name)}.out"
        self.whose = whose

    def load(self) -> list[str]:
        """The ids out; none where there is no file, or none that can be used (one log line says so)."""
        try:
            with self.path.open("rb") as file:
                raw = file.read(BYTES + 1)
        except FileNotFoundError:
            return []
        except OSError as error:
            log.warning("out_file_unusable", why=str(error))
            return []
        try:
            text = json.loads(raw)
            if len(raw) > BYTES or text["version"] != VERSION or text["whose"] != self.whose:
                raise ValueError("it is too large, of another version or of another dispatcher")
            out = text["out"]
            if (
                not isinstance(out, list)
                or len(out) > MOST
                or not all(isinstance(name, str) and 0 < len(name) <= NAME for name in out)
            ):
                raise ValueError("its list cannot be meant")
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log.warning("out_file_unusable", why=repr(error))
            return []
        return out

    def store(self, out: Iterable[str]) -> None:
        """Write the ids; raises OSError, and then the old file stands."""
        names = sorted(out)
        if len(names) > MOST:
            raise OSError(f"more than {MOST} booking workers are out")
        text = json.dumps({"version": VERSION, "whose": self.whose, "out": names}).encode()
        write_whole(self.path, text)
