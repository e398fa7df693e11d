"""Tests of the owner's queue on a loop with a closure as the replica."""

import asyncio
import dataclasses
import time

import hypothesis
from hypothesis import strategies as st

from citronweir import core
from citronweir.service import _owner as owners

NAME = core.ReplicaId('r0')
SHARES = {
    core.Rank.URGENT: 0.7,
    core.Rank.ORDINARY: 0.2,
    core.Rank.DEFERRABLE: 0.1,
}
LOST = core.SubUnknown(core.UnknownReason.REPLY_LOST)
NotRun = core.NotRunReason


class _World:
    """What the closures of a test record."""

    def __init__(self, slots):
        address, ready = core.Address('127.0.0.1', 1), core.ReplicaState.READY
        self.replica = core.Replica(NAME, address, ready, slots=slots)
        self.running = self.peak = 0
        self.sent, self.spread, self.delays = [], [], []
        self.poison = asyncio.Event()


def _make(slots=2, limit=8):
    world = _World(slots)

    async def send(replica, sub):
        world.running += 1
        world.peak = max(world.peak, world.running)
        world.sent.append(sub)
        try:
            if sub.body.startswith('poison'):
                await world.poison.wait()
                return core.SubReport(LOST, 0.0, broken=True)
            await asyncio.sleep(0.002)
            return core.SubReport(core.SubDone(sub.request_id), 0.002)
        finally:
            world.running -= 1

    async def check_crash(replica):
        await asyncio.sleep(0.001)
        return True

    peers = owners.OwnerDependencies(
        time.monotonic,
        time.time,
        lambda replica_id: world.replica,
        lambda replica: 100,
        core.select_shares,
        send,
        check_crash,
        world.spread.extend,
        lambda replica_id: None,
        lambda rank, delay: world.delays.append((rank, delay)),
    )
    return world, owners.Owner(SHARES, limit, core.SuspectTable()), peers


def _sub(name, rank=core.Rank.URGENT, budget=1.0, body=''):
    return core.SubOrder(
        core.RequestId(name),
        core.IndexName('parts'),
        body or name,
        rank,
        time.monotonic() + budget,
    )


async def _start(owner, peers, *subs):
    """Submits sub-requests and lets them reach the queue."""
    tasks = [
        asyncio.create_task(owners.submit(owner, peers, NAME, sub))
        for sub in subs
    ]
    await asyncio.sleep(0)
    return tasks


CALLS = st.lists(
    st.tuples(
        st.sampled_from(core.Rank),
        st.sampled_from((0.0, 0.003, 0.006, 1.0)),
        st.sampled_from((None, None, 0.0, 0.001, 0.004)),
    ),
    min_size=1,
    max_size=25,
)


@hypothesis.settings(max_examples=30)
@hypothesis.given(CALLS, st.integers(1, 3))
def test_slots_hold_and_each_call_ends_once(calls, slots):
    """Guards against leaked or doubled slots under cancellation.

    Calls come with short deadlines and are cancelled at any moment; then
    every slot must be free and the queue empty.
    """
    asyncio.run(_run_calls(calls, slots))


async def _run_calls(calls, slots):
    world, owner, peers = _make(slots)
    tasks = []
    for number, (rank, budget, cancel_after) in enumerate(calls):
        sub = _sub(f'q{number}', rank, budget)
        task = asyncio.create_task(owners.submit(owner, peers, NAME, sub))
        if cancel_after is not None:
            asyncio.get_running_loop().call_later(cancel_after, task.cancel)
        tasks.append(task)
    async with asyncio.timeout(5.0):
        answers = await asyncio.gather(*tasks, return_exceptions=True)
    names = [sub.request_id for sub in world.sent]
    assert len(names) == len(set(names))
    assert world.peak <= slots
    for number, answer in enumerate(answers):
        if isinstance(answer, asyncio.CancelledError):
            continue
        if isinstance(answer.outcome, core.SubNotRun):
            assert f'q{number}' not in names
        else:
            assert answer.outcome == core.SubDone(f'q{number}')
    assert owner.active == 0
    assert owner.replicas[NAME].running == 0
    assert owners.drop_replica(owner, NAME)


async def test_cancel_at_the_moment_of_the_grant_frees_the_slot():
    """Guards against a slot that is granted to a caller that left."""
    world, owner, peers = _make(slots=1)

    async def send(replica, sub):
        await asyncio.sleep(0.002)
        if sub.request_id == 'q0':
            # Runs after the slot was granted and before q1 resumes.
            asyncio.get_running_loop().call_soon(tasks[1].cancel)
        return core.SubReport(core.SubDone(sub.request_id))

    peers = dataclasses.replace(peers, send=send)
    subs = [_sub(f'q{number}') for number in range(3)]
    tasks = await _start(owner, peers, *subs)
    async with asyncio.timeout(0.5):
        answers = await asyncio.gather(*tasks, return_exceptions=True)
    assert isinstance(answers[1], asyncio.CancelledError)
    assert answers[2].outcome == core.SubDone('q2')
    assert owner.replicas[NAME].running == 0


async def test_urgent_goes_first_and_full_queue_is_not_run():
    """Guards against urgent work behind a flood of deferrable work."""
    world, owner, peers = _make(slots=1)
    deferrable = core.Rank.DEFERRABLE
    subs = [_sub(f'd{number}', deferrable) for number in range(12)]
    flood = await _start(owner, peers, *subs)
    urgent = await owners.submit(owner, peers, NAME, _sub('u'))
    assert [sub.request_id for sub in world.sent][:2] == ['d0', 'u']
    delays = dict(urgent.delays)
    assert delays[core.Rank.URGENT] < delays[deferrable]
    answers = await asyncio.gather(*flood)
    full = core.SubNotRun(NotRun.QUEUE_FULL)
    assert [answer.outcome for answer in answers].count(full) == 3
    assert len(world.delays) == len(world.sent)  # refused ones have none


async def test_stop_finishes_what_was_accepted_and_refuses_the_rest():
    """Guards against a planned stop that interrupts queued requests."""
    world, owner, peers = _make(slots=1)
    tasks = await _start(owner, peers, _sub('q0'), _sub('q1'))
    finish = asyncio.create_task(owners.finish(owner))
    await asyncio.sleep(0)
    late = await owners.submit(owner, peers, NAME, _sub('late'))
    assert late.outcome == core.SubNotRun(NotRun.STOPPING)
    async with asyncio.timeout(1.0):
        await finish
    assert all(
        isinstance(task.result().outcome, core.SubDone) for task in tasks
    )


async def test_draining_replica_gets_no_queued_work():
    """Guards against work that is sent after a drain was known."""
    world, owner, peers = _make(slots=1)
    tasks = await _start(owner, peers, _sub('q0'), _sub('q1'))
    world.replica = dataclasses.replace(
        world.replica, state=core.ReplicaState.DRAINING
    )
    first, second = await asyncio.gather(*tasks)
    assert first.outcome == core.SubDone('q0')
    assert second.outcome == core.SubNotRun(NotRun.DRAINING)


async def test_one_crash_with_many_broken_requests_counts_once():
    """Guards against a conviction by the second connection of a crash."""
    world, owner, peers = _make(slots=4)
    subs = [_sub('q', body=f'poison {number}') for number in range(4)]
    tasks = await _start(owner, peers, *subs)
    await asyncio.sleep(0.005)
    world.poison.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.02)
    assert len(world.spread) == 4
    states = {record.state for record in world.spread}
    assert states == {core.SuspectState.SUSPECT}


async def test_suspects_never_run_together_and_the_second_crash_convicts():
    """Guards against crashes whose cause cannot be told."""
    world, owner, peers = _make(slots=4)
    bad, good = _sub('bad', body='poison'), _sub('good')
    prints = [core.make_fingerprint(sub) for sub in (bad, good)]
    core.report_crash(owner.suspects, prints, time.time())
    tasks = await _start(owner, peers, bad, good)
    await asyncio.sleep(0.01)
    assert world.sent == [bad]
    world.poison.set()
    answers = await asyncio.gather(*tasks)
    assert answers[1].outcome == core.SubDone('good')
    again = await owners.submit(owner, peers, NAME, bad)
    assert again.outcome == core.SubNotRun(NotRun.QUARANTINED)
    assert core.find_state(owner.suspects, prints[0], time.time()) is (
        core.SuspectState.CONVICTED
    )
