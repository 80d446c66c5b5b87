"""Tests of the lateness of the loop."""

import asyncio
import time

import pytest

from toucanhall.web.lag import LoopLag


async def measure(block):
    lag = LoopLag()
    lag.start()
    began = time.monotonic()
    while time.monotonic() - began < 1.2:
        time.sleep(block)
        await asyncio.sleep(0)
    return lag.seconds


@pytest.mark.parametrize(
    ('block', 'least', 'most'),
    ((0.001, 0.0, 0.05), (0.4, 0.1, 0.5)),
)
def test_lag_tells_how_long_work_waits(block, least, most):
    assert least <= asyncio.run(measure(block)) <= most
