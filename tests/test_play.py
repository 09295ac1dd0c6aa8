"""The program against recorded exchanges (tests/recorded/)."""

import unittest
from pathlib import Path

from play import OPERATOR, PASSWORD, play

RECORDED = Path(__file__).parent / "recorded"


class Recorded(unittest.IsolatedAsyncioTestCase):
    async def test_all(self):
        paths = sorted(RECORDED.glob("*.txt"))
        self.assertGreater(len(paths), 0)
        for path in paths:
            with self.subTest(path.stem):
                setup = PASSWORD if path.stem == "faktory_login" else OPERATOR
                await play(path, setup if path.stem.startswith("faktory") else "")
