"""The program against recorded exchanges (tests/recorded/)."""

import unittest
from pathlib import Path

from play import OPERATOR, PASSWORD, play

SETUPS = {"faktory_login": PASSWORD, "faktory": OPERATOR, "waiting": OPERATOR + "[waiting]\nhorizon_s = 900_000_000\n"}
RECORDED = Path(__file__).parent / "recorded"


class Recorded(unittest.IsolatedAsyncioTestCase):
    async def test_all(self):
        paths = sorted(RECORDED.glob("*.txt"))
        self.assertGreater(len(paths), 0)
        for path in paths:
            with self.subTest(path.stem):
                await play(path, SETUPS.get(path.stem, SETUPS.get(path.stem.partition("_")[0], "")))
