"""Runs coroutines on an event loop with a virtual clock.

The clock advances to the next timer without waiting. A search that lasts
seconds takes a millisecond of real time, and runs are deterministic.
"""

import asyncio
from collections import abc
import selectors
import typing

T = typing.TypeVar('T')


def run(main: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, T]]) -> T:
    """Runs a coroutine function to its result on a virtual clock.

    Args:
        main: Coroutine function; the ``time`` method of its event loop
            returns the virtual time, which starts at 0.

    Returns:
        The result of the coroutine.

    Raises:
        RuntimeError: All tasks wait and no timer is set.
    """
    selector = selectors.SelectSelector()
    now = 0.0

    def advance_clock(timeout=None):
        nonlocal now
        if timeout is None:
            raise RuntimeError('all tasks wait and no timer is set')
        now += max(0.0, timeout)
        return []

    selector.select = advance_clock
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: now
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main())
