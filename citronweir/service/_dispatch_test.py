"""Tests of the route that a sub-request takes to a replica."""

import asyncio
import time

import pytest

from citronweir import core
from citronweir.service import _dispatch as dispatch

REPLICA = core.ReplicaId('r1')
SELF = core.NodeId('n1')
OWNER = core.Member(
    core.NodeId('n2'),
    core.Address('127.0.0.1', 1),
    core.DataCentre('dc1'),
    core.MemberState.ALIVE,
    core.Incarnation(1),
)
DONE = core.SubDone('ok')


def _search(budget=0.4):
    return core.SubSearch(
        core.RequestId('q'),
        core.IndexName('parts'),
        core.SnapshotId(1),
        core.WHOLE_KEY_SPACE,
        'worn',
        10,
        core.Rank.URGENT,
        time.monotonic() + budget,
    )


def _order(budget=0.4):
    return core.SubOrder(
        core.RequestId('q'),
        core.IndexName('parts'),
        'replace',
        core.Rank.URGENT,
        time.monotonic() + budget,
    )


def _make_deps(call_owner, routes, heard=False):
    async def answer(replica_id, sub):
        return DONE

    return dispatch.DispatchDependencies(
        time.monotonic,
        SELF,
        lambda replica_id: OWNER,
        answer,
        call_owner,
        lambda member, since: heard,
        lambda member: None,
        answer,
        routes.append,
    )


async def _never(owner, replica_id, sub):
    await asyncio.Event().wait()


async def test_search_goes_direct_past_a_silent_owner():
    """Guards against a paused owner that uses up the time of searches."""
    routes = []
    outcome = await dispatch.dispatch_sub(
        _make_deps(_never, routes), REPLICA, _search()
    )
    assert outcome == DONE
    assert routes == [dispatch.Route.OWNER, dispatch.Route.DIRECT]


async def test_search_waits_for_a_busy_owner():
    """Guards against overcommitted slots when the owner's queue is long."""
    routes = []
    outcome = await dispatch.dispatch_sub(
        _make_deps(_never, routes, heard=True), REPLICA, _search(0.1)
    )
    assert outcome == core.SubUnknown(core.UnknownReason.TIMEOUT)
    assert routes == [dispatch.Route.OWNER]


async def test_order_is_never_sent_twice_for_a_silent_owner():
    """Guards against an order that runs both at the owner and directly."""
    routes = []
    with pytest.raises(asyncio.TimeoutError):
        await asyncio.wait_for(
            dispatch.dispatch_sub(
                _make_deps(_never, routes), REPLICA, _order()
            ),
            0.3,
        )
    assert routes == [dispatch.Route.OWNER]


@pytest.mark.parametrize('make', [_search, _order])
@pytest.mark.parametrize(
    'reason',
    [core.NotRunReason.OWNER_UNREACHABLE, core.NotRunReason.NO_REPLICA],
)
async def test_owner_that_cannot_run_it_is_bypassed(make, reason):
    """Guards against failing a sub-request that the owner did not run.

    An owner that has just started may not know the replica yet.
    """

    async def refuse(owner, replica_id, sub):
        return core.SubNotRun(reason)

    routes = []
    outcome = await dispatch.dispatch_sub(
        _make_deps(refuse, routes), REPLICA, make()
    )
    assert outcome == DONE
    assert routes[-1] is dispatch.Route.DIRECT
