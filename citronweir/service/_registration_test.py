"""Tests of the registration of a node in the store."""

import asyncio
import random

from citronweir import service
from fakes import virtual


class Store:
    """Store whose first calls fail with an unexpected error.

    Attributes:
        failures: Number of calls that still fail.
        calls: Names of the calls so far.
    """

    def __init__(self, failures):
        self.failures = failures
        self.calls = []

    async def call(self, name):
        self.calls.append(name)
        if self.failures:
            self.failures -= 1
            raise OverflowError('a number that no code expected')
        return name


def test_unexpected_error_does_not_end_the_registration():
    """Guards a node against leaving the list of nodes for good.

    Its task used to end with the first error that no code expected.
    """
    store = Store(failures=2)

    async def main():
        loop = asyncio.get_running_loop()
        deps = service.RegistryDependencies(
            now=loop.time,
            rng=random.Random(1),
            grant=lambda ttl: store.call('grant'),
            renew=lambda lease: store.call('renew'),
            write=lambda lease: store.call('write'),
            is_registered=lambda: True,
        )
        state = service.Registration()
        task = asyncio.create_task(service.run_registration(deps, state))
        await asyncio.sleep(20.0)
        task.cancel()
        return state

    state = virtual.run(main)
    assert state.lease == 'grant'
    assert store.calls[:4] == ['grant', 'grant', 'grant', 'write']
    assert 'renew' in store.calls
