"""Runs periodic tasks with jitter, so that nodes do not run them in step."""

import asyncio
from collections import abc
import random

from citronweir import telemetry

JITTER = 0.2  # largest deviation, as a share of the interval


async def run_periodically(
    name: str,
    interval: float,
    function: abc.Callable[[], abc.Awaitable[None]],
    rng: random.Random,
) -> None:
    """Calls a function periodically until cancelled.

    Args:
        name: Name of the task in the log.
        interval: Seconds between two calls, before jitter.
        function: Function to call; its errors are logged and do not end
            the task.
        rng: Source of the jitter.
    """
    while True:
        try:
            await function()
        except Exception as exc:  # a failed call must not end the task
            telemetry.log(
                telemetry.Event.INTERNAL_ERROR, task=name, error=repr(exc)
            )
        await asyncio.sleep(interval * (1 + rng.uniform(-JITTER, JITTER)))
