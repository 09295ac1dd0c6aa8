"""The loop whose time jumps: no timer fires before its time, however slowly the real one passes."""

import asyncio
import itertools
import time
from unittest import mock

import jump
import pytest
from tornado.ioloop import IOLoop


@pytest.mark.parametrize("real_s", [0.0, 0.005, 0.5])
def test_a_timer_is_never_early_where_the_system_is_busy(real_s):
    """Real time passes between any two looks at the time of day, as on a system that has other work."""
    of_day = itertools.count()

    async def fired_after():
        began, fired = time.monotonic(), asyncio.get_running_loop().create_future()
        IOLoop.current().call_later(1.0, lambda: fired.set_result(time.monotonic() - began))
        return await fired

    with mock.patch.object(time, "time", lambda: 1e9 + real_s * next(of_day)):
        assert jump.run(fired_after) == pytest.approx(1.0, abs=1e-3)
