"""Tests of the search flow on a virtual clock with drawn faults."""

import asyncio
import collections
import dataclasses
import functools

import hypothesis
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir import service
from citronweir.service import _fanout as fanouts
from citronweir.service import _search as search
from fakes import virtual

INDEX = core.IndexName('parts')
STEP = core.KEY_SPACE_END // 8
DOCS = 10  # of each eighth of the key space
TOTAL = 8 * DOCS
BUDGET = 1.0
HANG = 100.0
REQ = core.SearchRequest(
    core.RequestId('r'), core.ContractId('c'), INDEX, 'q', 100
)
NOT_RUN = core.SubNotRun(core.NotRunReason.UNREACHABLE)
LOST = core.SubUnknown(core.UnknownReason.REPLY_LOST)
FAULTS = {
    'not_run': NOT_RUN,
    'lost': LOST,
    'failed': core.SubFailed('500'),
    'gone': core.SubGone(),
}
KINDS = (*FAULTS, 'answer', 'answer', 'truncated', 'crossed', 'late_snapshot')


@dataclasses.dataclass
class World:
    """Upstreams of a test and what they were sent.

    Attributes:
        layout: Time from which a list of (snapshot, lo, hi) is held.
        script: Kind and delay of the nth sub-request, by its number.
        replies: Documents behind each reply by its only hit.
    """

    layout: list
    script: object
    now: object = None
    sends: list = dataclasses.field(default_factory=list)
    replies: dict = dataclasses.field(default_factory=dict)
    reports: list = dataclasses.field(default_factory=list)
    canary: bool = False
    quarantined: bool = False
    in_flight: int = 0
    wait: float = 0.0
    budgets: object = None
    admission: object = None


def _held(world):
    held = [ranges for at, ranges in world.layout if at <= world.now()][-1]
    return [
        (core.ReplicaId(f'{lo}-{hi}-{copy}'), _holding(snapshot, lo, hi))
        for snapshot, lo, hi in held
        for copy in 'abc'
    ]


def _holding(snapshot, lo, hi):
    key_range = core.KeyRange(lo * STEP, hi * STEP)
    docs = (hi - lo) * DOCS
    return core.Holding(
        INDEX, core.SnapshotId(snapshot), key_range, docs, TOTAL
    )


async def _send(world, replica_id, sub):
    number = len(world.sends)
    world.sends.append((world.now(), replica_id, sub))
    kind, delay = world.script(number)
    world.in_flight += 1
    try:
        await asyncio.sleep(delay)
    finally:
        world.in_flight -= 1
    held = {(item.snapshot, item.key_range) for _, item in _held(world)}
    if (sub.snapshot, sub.key_range) not in held:
        return core.SubGone()
    return FAULTS.get(kind) or _answer(world, number, sub, kind)


def _answer(world, number, sub, kind):
    snapshot, key_range = sub.snapshot, sub.key_range
    docs = (key_range.hi - key_range.lo) // STEP * DOCS
    searched = docs // 2 if kind == 'truncated' else docs
    if kind == 'crossed':
        lo = (key_range.lo + STEP) % core.KEY_SPACE_END
        key_range = core.KeyRange(lo, lo + STEP)
    if kind == 'late_snapshot':
        snapshot = core.SnapshotId(snapshot + 1)
    hit = core.Hit(f'{number}', 1.0, '')
    world.replies[hit.doc_id] = (snapshot, key_range, searched, sub)
    return core.SubAnswer(snapshot, key_range, searched, docs, TOTAL, (hit,))


def _peers(world):
    loop = asyncio.get_running_loop()
    world.now = loop.time
    contract = core.Contract(
        core.ContractId('c'), core.Rank.URGENT, BUDGET, 0.0, 1e9
    )
    world.budgets = world.budgets or core.make_budgets(0.05, 0.1)
    world.admission = world.admission or core.Admission(4)

    def choose(piece, tried, rank):
        left = [item for item in piece.candidates if item not in tried]
        return left[0] if left else None

    return service.SearchDependencies(
        loop.time,
        lambda: 1.0,
        {contract.contract_id: contract}.get,
        lambda index: core.choose_plan(index, _held(world)),
        lambda *where: core.cover_range(*where, _held(world)),
        choose,
        functools.partial(_send, world),
        lambda plan, rank: world.wait,
        lambda req: world.canary,
        lambda req: world.quarantined,
        world.reports.append,
        {core.Rank.URGENT: world.budgets},
        world.admission,
    )


def _run(world, count=1, budget=None, learned=()):
    req = dataclasses.replace(REQ, budget=budget)

    async def main():
        peers = _peers(world)
        for seconds in learned:
            core.record_latency(world.budgets, INDEX, seconds, 0.0, 0.0)
        for _ in range(count):
            started = world.now()
            outcome = await search.run_search(peers, req, '')
            # Cancelled sub-requests end in the next rounds of the loop.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert world.in_flight == 0
            assert world.now() - started <= (budget or BUDGET)
        assert not any(world.admission.running.values())
        return outcome

    return virtual.run(main)


def _whole(snapshot, parts=4):
    width = 8 // parts
    return [
        (snapshot, number * width, (number + 1) * width)
        for number in range(parts)
    ]


def _always(kind, delay=0.01):
    return lambda number: (kind, delay)


def _check_answer(world, outcome):
    """Compares an answer with the replies that its hits name."""
    if isinstance(outcome, core.Refused):
        assert not world.sends
    if not isinstance(outcome, core.Complete | core.Partial):
        return
    used = [world.replies[hit.doc_id] for hit in outcome.hits]
    ranges = sorted(key_range for _, key_range, _, _ in used)
    for one, other in zip(ranges, ranges[1:], strict=False):
        assert one.hi <= other.lo
    for snapshot, key_range, _, sub in used:
        assert snapshot == sub.snapshot == outcome.snapshot
        assert key_range == sub.key_range
    assert sum(docs for _, _, docs, _ in used) == outcome.docs_searched
    whole = outcome.docs_searched == TOTAL
    assert isinstance(outcome, core.Complete) == whole


def _check_load(world):
    extra = sum(item.hedges + item.retries for item in world.reports)
    first = len(world.sends) - extra
    assert extra <= 0.1 * first + 5
    hedges = sum(item.hedges for item in world.reports)
    assert hedges <= 0.05 * first + 5


STEPS = st.tuples(
    st.sampled_from(KINDS), st.sampled_from((0.0, 0.01, 0.1, 0.4, 2.0))
)


@hypothesis.given(
    st.lists(STEPS, min_size=1, max_size=40),
    st.sampled_from((None, 'split', 'merge', 'retired')),
    st.sampled_from((0.005, 0.05, 0.3, 0.7)),
    st.booleans(),
    st.sampled_from((0.001, 0.2, BUDGET)),
)
def test_answers_are_of_one_snapshot_in_time_with_true_coverage(
    steps, change, at, canary, budget
):
    """Guards G1 to G4 against faults, repartition and retirement."""
    later = {
        'split': _whole(1, 8),
        'merge': _whole(1, 2),
        'retired': _whole(2, 4),
        None: _whole(1),
    }[change]
    world = World(
        [(0.0, _whole(1)), (at, later)],
        lambda number: steps[number % len(steps)],
        canary=canary,
    )
    outcome = _run(world, budget=budget, learned=[0.02] * 30)
    _check_answer(world, outcome)
    assert all(sent_at < budget for sent_at, _, _ in world.sends)
    if change is None and not any(kind == 'gone' for kind, _ in steps):
        _check_load(world)
    asked = collections.Counter(
        (replica, sub.key_range) for _, replica, sub in world.sends
    )
    plans = 1 + sum(report.replans for report in world.reports)
    assert not asked or max(asked.values()) <= plans <= 2


@hypothesis.given(
    st.sampled_from(('not_run', 'lost', 'failed', 'late_snapshot', 'hang'))
)
@hypothesis.settings(max_examples=10)
def test_extra_load_stays_within_a_tenth_when_everything_fails(kind):
    """Guards against a retry storm on a failing fleet."""
    delay = HANG if kind == 'hang' else 0.01
    world = World([(0.0, _whole(1))], _always(kind, delay))
    _run(world, count=200, learned=[0.02] * 30)
    first = 200 * 4
    assert first < len(world.sends) <= 1.1 * first + 5


@pytest.mark.parametrize('kind', ['not_run', 'lost', 'failed'])
def test_retries_use_their_budget_while_a_quarter_fails(kind):
    """Guards against retries that are off when they would help."""

    def script(number):
        return (kind if number % 4 == 0 else 'answer', 0.01)

    world = World([(0.0, _whole(1))], script)
    _run(world, count=200, learned=[0.02] * 30)
    first = 200 * 4
    assert 1.04 * first < len(world.sends) <= 1.1 * first + 5


def test_slow_replica_is_hedged_after_the_quantile():
    """Guards against a straggler that determines the latency."""
    world = World(
        [(0.0, _whole(1))], lambda number: ('answer', 0.01 + 5 * (number == 1))
    )
    assert isinstance(_run(world, learned=[0.02] * 30), core.Complete)
    assert world.reports[0].hedges == 1
    assert world.reports[0].seconds < 0.05


def test_no_hedge_under_overload():
    """Guards against hedges that add load to a fleet that sheds."""
    for sheds, wait in ((10, 0.0), (0, 0.1)):
        world = World(
            [(0.0, _whole(1))],
            lambda number: ('answer', 0.01 + 5 * (number == 1)),
            wait=wait,
        )
        world.budgets = core.make_budgets(0.05, 0.1)
        for _ in range(sheds):
            core.record_shed(world.budgets, True)
        assert isinstance(_run(world, learned=[0.02] * 30), core.Partial)
        assert world.reports[0].hedges == 0


def test_split_range_is_covered_by_its_parts():
    """Guards against lost coverage when a shard splits during a search."""
    world = World(
        [(0.0, _whole(1, 1)), (0.05, _whole(1, 2))], _always('answer', 0.1)
    )
    outcome = _run(world)
    assert isinstance(outcome, core.Complete)
    assert (outcome.snapshot, len(outcome.hits)) == (1, 2)
    assert world.reports[0].replans == 0


def test_false_gone_is_not_followed_for_ever():
    """Guards against asking again replicas that deny what they list."""
    for later in (_whole(1), _whole(1, 8)):
        world = World([(0.0, _whole(1)), (0.005, later)], _always('gone'))
        assert isinstance(_run(world), core.Failed)
        assert world.reports[0].replans == 0
        asked = [(replica, sub) for _, replica, sub in world.sends]
        assert len(asked) == len(set(asked))


def test_merged_shards_keep_the_answers_of_the_others():
    """Guards against a second search of ranges that were answered."""
    merged = [(1, 0, 4), *_whole(1)[2:]]
    world = World(
        [(0.0, _whole(1)), (0.02, merged)],
        lambda number: ('answer', 0.03 if number < 2 else 0.01),
    )
    outcome = _run(world)
    assert isinstance(outcome, core.Complete)
    assert len(outcome.hits) == 3
    assert world.reports[0].replans == 1
    last = [sub.key_range for _, _, sub in world.sends][-1]
    assert last == core.KeyRange(0, 4 * STEP)
    asked = [sub.key_range.lo for _, _, sub in world.sends]
    assert asked.count(4 * STEP) == asked.count(6 * STEP) == 1


def test_retired_snapshot_is_planned_again_only_with_half_the_time():
    """Guards against an answer that mixes or misses both snapshots."""
    for at, snapshot in ((0.05, 2), (0.55, None)):
        world = World(
            [(0.0, _whole(1)), (at, _whole(2))],
            lambda number: ('answer', 0.01 + at * (number < 4)),
        )
        outcome = _run(world, budget=BUDGET)
        _check_answer(world, outcome)
        assert getattr(outcome, 'snapshot', None) == snapshot
        assert world.reports[0].replans == (snapshot == 2)


def test_late_loop_sends_nothing_after_the_deadline():
    """Guards against a retry when the loop runs behind its timers."""
    world = World([(0.0, _whole(1))], _always('failed'))

    async def main():
        peers = _peers(world)

        def now():
            late = asyncio.get_running_loop().time() >= 0.01
            return 2 * BUDGET if late else 0.0

        peers = dataclasses.replace(peers, now=now)
        return await search.run_search(peers, REQ, '')

    assert isinstance(virtual.run(main), core.Failed)
    assert len(world.sends) == 4


def test_two_replies_at_once_count_once():
    """Guards against a retry for a piece that was just answered."""
    world = World([(0.0, _whole(1))], None, canary=True)
    world.budgets = core.make_budgets(0.05, 0.1)
    for _ in range(30):
        core.record_latency(world.budgets, INDEX, 0.02, 0.0, 0.0)
    delay = core.hedge_delay(world.budgets, INDEX, 0.0)
    world.script = lambda number: (
        'failed' if number == 1 else 'answer',
        0.01 + delay * (number == 0),
    )
    assert isinstance(_run(world), core.Complete)
    assert len(world.sends) == 5


def test_canary_that_kills_its_replicas_goes_no_further():
    """Guards against a request that takes down the whole fleet."""
    world = World([(0.0, _whole(1))], _always('lost'), canary=True)
    assert isinstance(_run(world), core.Failed)
    assert len(world.sends) == fanouts.CANARY_TRIES
    world = World([(0.0, _whole(1))], None, canary=True)

    def quarantine(number):
        world.quarantined = True
        return 'lost', 0.01

    world.script = quarantine
    assert isinstance(_run(world), core.Failed)
    assert len(world.sends) == 1
    world = World([(0.0, _whole(1))], _always('answer'), canary=True)
    assert isinstance(_run(world), core.Complete)
    assert [sub.suspect for _, _, sub in world.sends] == [True] + [False] * 3
    assert world.sends[1][0] == 0.01


def test_lost_canary_does_not_cost_the_search():
    """Guards against "no coverage" for one connection that broke.

    Without a token for a retry, the canary's piece is given up, and the
    next piece goes first.
    """
    world = World(
        [(0.0, _whole(1))],
        lambda number: ('answer' if number else 'lost', 0.01),
        canary=True,
    )
    world.budgets = core.make_budgets(0.0, 0.0)
    outcome = _run(world)
    assert isinstance(outcome, core.Partial)
    assert outcome.docs_searched == outcome.total_docs * 3 // 4


def test_refusals_send_nothing():
    """Guards G4: a refused search must not have run anywhere."""
    reasons = core.NotRunReason
    busy = core.Admission(9)
    busy.recheck_at[core.Rank.URGENT] = BUDGET
    for fields, reason in (
        ({'quarantined': True}, reasons.QUARANTINED),
        ({'layout': [(0.0, [])]}, reasons.NO_REPLICA),
        ({'admission': core.Admission(0)}, reasons.OVERLOADED),
        ({'admission': busy, 'wait': 2 * BUDGET}, reasons.OVERLOADED),
    ):
        world = World(
            **{'layout': [(0.0, _whole(1))], 'script': _always('answer')}
            | fields
        )
        assert _run(world) == core.Refused(reason)
        assert not world.sends
        assert world.reports[0].outcome == core.Refused(reason)


@hypothesis.given(st.lists(STEPS, min_size=1, max_size=40))
def test_replies_never_count_for_another_search(steps):
    """Guards G3: searches of one index at once keep their replies apart."""
    world = World(
        [(0.0, _whole(1))], lambda number: steps[number % len(steps)]
    )
    names = [f'q{number}' for number in range(3)]

    async def main():
        peers = _peers(world)
        return await asyncio.gather(
            *(
                search.run_search(
                    peers, dataclasses.replace(REQ, query=name), ''
                )
                for name in names
            )
        )

    for name, outcome in zip(names, virtual.run(main), strict=True):
        _check_answer(world, outcome)
        for hit in getattr(outcome, 'hits', ()):
            assert world.replies[hit.doc_id][3].query == name


def test_cancelled_search_cancels_its_sub_requests():
    """Guards against work for a caller that has gone."""
    world = World([(0.0, _whole(1))], _always('answer', 0.5))

    async def main():
        peers = _peers(world)
        task = asyncio.create_task(search.run_search(peers, REQ, ''))
        await asyncio.sleep(0.1)
        assert world.in_flight == 4
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.01)
        assert world.in_flight == 0
        assert world.admission.running[core.Rank.URGENT] == 0

    virtual.run(main)
