"""Tests of the measured event loop lag."""

import asyncio
import time

import pytest

from toucanhall.web.lag import LoopLag


async def measure(block_seconds):
    lag = LoopLag()
    lag.start()
    began = time.monotonic()
    while time.monotonic() - began < 1.2:
        time.sleep(block_seconds)
        await asyncio.sleep(0)
    return lag.seconds


@pytest.mark.parametrize(
    ('block_seconds', 'min_seconds', 'max_seconds'),
    ((0.001, 0.0, 0.05), (0.4, 0.1, 0.5)),
)
def test_lag_is_the_time_that_ready_work_waits(
    block_seconds, min_seconds, max_seconds
):
    assert min_seconds <= asyncio.run(measure(block_seconds)) <= max_seconds
