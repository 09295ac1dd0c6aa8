"""The simulated event loop of jump.py: no timer fires early, however much real time passes."""

import asyncio
import itertools
import time
from unittest import mock

import jump
import pytest
from tornado.ioloop import IOLoop


@pytest.mark.parametrize("real_s", [0.0, 0.005, 0.5])
def test_timer_is_never_early_on_a_busy_system(real_s):
    """Real time advances between any two readings of the clock, as on a busy system."""
    readings = itertools.count()

    async def fired_after():
        began, fired = time.monotonic(), asyncio.get_running_loop().create_future()
        IOLoop.current().call_later(1.0, lambda: fired.set_result(time.monotonic() - began))
        return await fired

    with mock.patch.object(time, "time", lambda: 1e9 + real_s * next(readings)):
        assert jump.run(fired_after) == pytest.approx(1.0, abs=1e-3)
