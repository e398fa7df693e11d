"""Tests of the owner's queue, with a coroutine in place of the replica."""

import asyncio
import dataclasses
import time

import hypothesis
from hypothesis import strategies as st

from citronweir import core
from citronweir.service import _owner as owners

REPLICA_ID = core.ReplicaId('r0')
SHARES = {
    core.Rank.URGENT: 0.7,
    core.Rank.ORDINARY: 0.2,
    core.Rank.DEFERRABLE: 0.1,
}
REPLY_LOST_OUTCOME = core.SubUnknown(core.UnknownReason.REPLY_LOST)
NotRun = core.NotRunReason


class _Environment:
    """Records the calls of an owner; stands in for the replica."""

    def __init__(self, slots):
        address, ready = core.Address('127.0.0.1', 1), core.ReplicaState.READY
        self.replica = core.Replica(REPLICA_ID, address, ready, slots=slots)
        self.running = self.peak = 0
        self.sent, self.sent_suspicions, self.delays = [], [], []
        self.release_poison = asyncio.Event()


def _make_owner(slots=2, limit=8):
    env = _Environment(slots)

    async def send(replica, sub):
        env.running += 1
        env.peak = max(env.peak, env.running)
        env.sent.append(sub)
        try:
            if sub.body.startswith('poison'):
                await env.release_poison.wait()
                return core.SubReport(REPLY_LOST_OUTCOME, 0.0, broken=True)
            await asyncio.sleep(0.002)
            return core.SubReport(core.SubDone(sub.request_id), 0.002)
        finally:
            env.running -= 1

    async def check_crash(replica):
        await asyncio.sleep(0.001)
        return True

    deps = owners.OwnerDependencies(
        time.monotonic,
        time.time,
        lambda replica_id: env.replica,
        lambda replica: 100,
        core.select_shares,
        send,
        check_crash,
        env.sent_suspicions.extend,
        lambda replica_id: None,
        lambda rank, delay: env.delays.append((rank, delay)),
    )
    return env, owners.Owner(SHARES, limit, core.SuspectTable()), deps


def _sub(name, rank=core.Rank.URGENT, budget=1.0, body=''):
    return core.SubOrder(
        core.RequestId(name),
        core.IndexName('parts'),
        body or name,
        rank,
        time.monotonic() + budget,
    )


async def _submit_all(owner, deps, *subs):
    """Submits sub-requests and returns once they are queued."""
    tasks = [
        asyncio.create_task(owners.submit(owner, deps, REPLICA_ID, sub))
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
    """Guards against slots that are leaked or freed twice on cancellation.

    Calls have short deadlines and are cancelled at arbitrary times. After
    they end, all slots must be free and the queue empty.
    """
    asyncio.run(_run_calls(calls, slots))


async def _run_calls(calls, slots):
    env, owner, deps = _make_owner(slots)
    tasks = []
    for number, (rank, budget, cancel_after) in enumerate(calls):
        sub = _sub(f'q{number}', rank, budget)
        task = asyncio.create_task(owners.submit(owner, deps, REPLICA_ID, sub))
        if cancel_after is not None:
            asyncio.get_running_loop().call_later(cancel_after, task.cancel)
        tasks.append(task)
    async with asyncio.timeout(5.0):
        answers = await asyncio.gather(*tasks, return_exceptions=True)
    names = [sub.request_id for sub in env.sent]
    assert len(names) == len(set(names))
    assert env.peak <= slots
    for number, answer in enumerate(answers):
        if isinstance(answer, asyncio.CancelledError):
            continue
        if isinstance(answer.outcome, core.SubNotRun):
            assert f'q{number}' not in names
        else:
            assert answer.outcome == core.SubDone(f'q{number}')
    assert owner.active == 0
    assert owner.replicas[REPLICA_ID].running == 0
    assert owners.drop_replica(owner, REPLICA_ID)


async def test_cancel_at_the_moment_of_the_grant_frees_the_slot():
    """Guards against a slot that stays with a cancelled submitter."""
    env, owner, deps = _make_owner(slots=1)

    async def send(replica, sub):
        await asyncio.sleep(0.002)
        if sub.request_id == 'q0':
            # Runs after the slot was granted and before q1 resumes.
            asyncio.get_running_loop().call_soon(tasks[1].cancel)
        return core.SubReport(core.SubDone(sub.request_id))

    deps = dataclasses.replace(deps, send=send)
    subs = [_sub(f'q{number}') for number in range(3)]
    tasks = await _submit_all(owner, deps, *subs)
    async with asyncio.timeout(0.5):
        answers = await asyncio.gather(*tasks, return_exceptions=True)
    assert isinstance(answers[1], asyncio.CancelledError)
    assert answers[2].outcome == core.SubDone('q2')
    assert owner.replicas[REPLICA_ID].running == 0


async def test_urgent_goes_first_and_full_queue_is_not_run():
    """Guards against urgent work that waits behind queued deferrable work."""
    env, owner, deps = _make_owner(slots=1)
    deferrable = core.Rank.DEFERRABLE
    subs = [_sub(f'd{number}', deferrable) for number in range(12)]
    flood = await _submit_all(owner, deps, *subs)
    urgent = await owners.submit(owner, deps, REPLICA_ID, _sub('u'))
    assert [sub.request_id for sub in env.sent][:2] == ['d0', 'u']
    delays = dict(urgent.delays)
    assert delays[core.Rank.URGENT] < delays[deferrable]
    answers = await asyncio.gather(*flood)
    full = core.SubNotRun(NotRun.QUEUE_FULL)
    assert [answer.outcome for answer in answers].count(full) == 3
    assert len(env.delays) == len(env.sent)  # none for refused sub-requests


async def test_stop_finishes_what_was_accepted_and_refuses_the_rest():
    """Guards against a graceful stop that drops queued sub-requests."""
    env, owner, deps = _make_owner(slots=1)
    tasks = await _submit_all(owner, deps, _sub('q0'), _sub('q1'))
    finish = asyncio.create_task(owners.drain_queues(owner))
    await asyncio.sleep(0)
    late = await owners.submit(owner, deps, REPLICA_ID, _sub('late'))
    assert late.outcome == core.SubNotRun(NotRun.STOPPING)
    async with asyncio.timeout(1.0):
        await finish
    assert all(
        isinstance(task.result().outcome, core.SubDone) for task in tasks
    )


async def test_draining_replica_gets_no_queued_work():
    """Guards against queued work that is sent to a draining replica."""
    env, owner, deps = _make_owner(slots=1)
    tasks = await _submit_all(owner, deps, _sub('q0'), _sub('q1'))
    env.replica = dataclasses.replace(
        env.replica, state=core.ReplicaState.DRAINING
    )
    first, second = await asyncio.gather(*tasks)
    assert first.outcome == core.SubDone('q0')
    assert second.outcome == core.SubNotRun(NotRun.DRAINING)


async def test_one_crash_with_many_broken_requests_counts_once():
    """Guards against a conviction after a single crash.

    The crash breaks several connections, each of which could be counted.
    """
    env, owner, deps = _make_owner(slots=4)
    subs = [_sub('q', body=f'poison {number}') for number in range(4)]
    tasks = await _submit_all(owner, deps, *subs)
    await asyncio.sleep(0.005)
    env.release_poison.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.02)
    assert len(env.sent_suspicions) == 4
    states = {record.state for record in env.sent_suspicions}
    assert states == {core.SuspectState.SUSPECT}


async def test_suspects_never_run_together_and_the_second_crash_convicts():
    """Guards against crashes that cannot be attributed to one request."""
    env, owner, deps = _make_owner(slots=4)
    bad, good = _sub('bad', body='poison'), _sub('good')
    fingerprints = [core.make_fingerprint(sub) for sub in (bad, good)]
    core.report_crash(owner.suspects, fingerprints, time.time())
    tasks = await _submit_all(owner, deps, bad, good)
    await asyncio.sleep(0.01)
    assert env.sent == [bad]
    env.release_poison.set()
    answers = await asyncio.gather(*tasks)
    assert answers[1].outcome == core.SubDone('good')
    again = await owners.submit(owner, deps, REPLICA_ID, bad)
    assert again.outcome == core.SubNotRun(NotRun.QUARANTINED)
    assert core.find_state(owner.suspects, fingerprints[0], time.time()) is (
        core.SuspectState.CONVICTED
    )
