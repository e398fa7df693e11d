"""Tests of the fake VM list."""

from aiohttp import test_utils

from citronweir import metastore
from fakes import vms as fake


async def test_changes_become_visible_after_the_lag():
    """Guards against tests of a lagging VM list that run without lag."""
    app = fake.make_app(fake.VmList())
    async with (
        test_utils.TestServer(app) as server,
        metastore.make_session() as session,
    ):
        url = str(server.make_url('')).rstrip('/')
        entry = {
            'name': 'n1',
            'role': 'node',
            'state': 'live',
            'dc': 'dc1',
            'target': '127.0.0.1:1',
        }
        await session.post(f'{url}/register', json=entry)
        assert len(await metastore.fetch_vms(session, url)) == 1
        await session.post(f'{url}/faults', json={'lag': 60})
        await session.post(f'{url}/remove', json={'name': 'n1'})
        assert len(await metastore.fetch_vms(session, url)) == 1
        await session.post(f'{url}/faults', json={'lag': 0})
        assert await metastore.fetch_vms(session, url) == []
