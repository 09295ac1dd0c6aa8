"""Replays the recorded byte exchanges in tests/recorded/ against the dispatcher."""

import unittest
from pathlib import Path

from dispatcher_fixture import OPERATOR, PASSWORD, play

OPERATOR_SETTINGS = {
    "faktory_login": PASSWORD,
    "faktory": OPERATOR,
    "waiting": OPERATOR + "[waiting]\nhorizon_s = 900_000_000\n",
}
RECORDINGS = Path(__file__).parent / "recorded"


class RecordedExchangesTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_recordings(self):
        paths = sorted(RECORDINGS.glob("*.txt"))
        self.assertGreater(len(paths), 0)
        for path in paths:
            with self.subTest(path.stem):
                await play(
                    path, OPERATOR_SETTINGS.get(path.stem, OPERATOR_SETTINGS.get(path.stem.partition("_")[0], ""))
                )
