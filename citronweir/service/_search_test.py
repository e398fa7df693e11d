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
class Scenario:
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


def _held(scenario):
    held = [ranges for at, ranges in scenario.layout if at <= scenario.now()][
        -1
    ]
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


async def _send(scenario, replica_id, sub):
    number = len(scenario.sends)
    scenario.sends.append((scenario.now(), replica_id, sub))
    kind, delay = scenario.script(number)
    scenario.in_flight += 1
    try:
        await asyncio.sleep(delay)
    finally:
        scenario.in_flight -= 1
    held = {(item.snapshot, item.key_range) for _, item in _held(scenario)}
    if (sub.snapshot, sub.key_range) not in held:
        return core.SubGone()
    return FAULTS.get(kind) or _answer(scenario, number, sub, kind)


def _answer(scenario, number, sub, kind):
    snapshot, key_range = sub.snapshot, sub.key_range
    docs = (key_range.hi - key_range.lo) // STEP * DOCS
    searched = docs // 2 if kind == 'truncated' else docs
    if kind == 'crossed':
        lo = (key_range.lo + STEP) % core.KEY_SPACE_END
        key_range = core.KeyRange(lo, lo + STEP)
    if kind == 'late_snapshot':
        snapshot = core.SnapshotId(snapshot + 1)
    hit = core.Hit(f'{number}', 1.0, '')
    scenario.replies[hit.doc_id] = (snapshot, key_range, searched, sub)
    return core.SubAnswer(snapshot, key_range, searched, docs, TOTAL, (hit,))


def _peers(scenario):
    loop = asyncio.get_running_loop()
    scenario.now = loop.time
    contract = core.Contract(
        core.ContractId('c'), core.Rank.URGENT, BUDGET, 0.0, 1e9
    )
    scenario.budgets = scenario.budgets or core.make_budgets(0.05, 0.1)
    scenario.admission = scenario.admission or core.Admission(4)

    def choose(piece, tried, rank):
        left = [item for item in piece.candidates if item not in tried]
        return left[0] if left else None

    return service.SearchPeers(
        loop.time,
        lambda: 1.0,
        {contract.contract_id: contract}.get,
        lambda index: core.choose_plan(index, _held(scenario)),
        lambda *where: core.cover_range(*where, _held(scenario)),
        choose,
        functools.partial(_send, scenario),
        lambda plan, rank: scenario.wait,
        lambda req: scenario.canary,
        lambda req: scenario.quarantined,
        scenario.reports.append,
        {core.Rank.URGENT: scenario.budgets},
        scenario.admission,
    )


def _run(scenario, count=1, budget=None, learned=()):
    req = dataclasses.replace(REQ, budget=budget)

    async def main():
        peers = _peers(scenario)
        for seconds in learned:
            core.record_latency(scenario.budgets, INDEX, seconds, 0.0, 0.0)
        for _ in range(count):
            started = scenario.now()
            outcome = await search.run_search(peers, req, '')
            # Cancelled sub-requests end in the next rounds of the loop.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert scenario.in_flight == 0
            assert scenario.now() - started <= (budget or BUDGET)
        assert not any(scenario.admission.running.values())
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


def _check_answer(scenario, outcome):
    """Compares an answer with the replies that its hits name."""
    if isinstance(outcome, core.Refused):
        assert not scenario.sends
    if not isinstance(outcome, core.Complete | core.Partial):
        return
    used = [scenario.replies[hit.doc_id] for hit in outcome.hits]
    ranges = sorted(key_range for _, key_range, _, _ in used)
    for one, other in zip(ranges, ranges[1:], strict=False):
        assert one.hi <= other.lo
    for snapshot, key_range, _, sub in used:
        assert snapshot == sub.snapshot == outcome.snapshot
        assert key_range == sub.key_range
    assert sum(docs for _, _, docs, _ in used) == outcome.docs_searched
    whole = outcome.docs_searched == TOTAL
    assert isinstance(outcome, core.Complete) == whole


def _check_load(scenario):
    extra = sum(item.hedges + item.retries for item in scenario.reports)
    first = len(scenario.sends) - extra
    assert extra <= 0.1 * first + 5
    hedges = sum(item.hedges for item in scenario.reports)
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
    scenario = Scenario(
        [(0.0, _whole(1)), (at, later)],
        lambda number: steps[number % len(steps)],
        canary=canary,
    )
    outcome = _run(scenario, budget=budget, learned=[0.02] * 30)
    _check_answer(scenario, outcome)
    assert all(sent_at < budget for sent_at, _, _ in scenario.sends)
    if change is None and not any(kind == 'gone' for kind, _ in steps):
        _check_load(scenario)
    asked = collections.Counter(
        (replica, sub.key_range) for _, replica, sub in scenario.sends
    )
    plans = 1 + sum(report.replans for report in scenario.reports)
    assert not asked or max(asked.values()) <= plans <= 2


@hypothesis.given(
    st.sampled_from(('not_run', 'lost', 'failed', 'late_snapshot', 'hang'))
)
@hypothesis.settings(max_examples=10)
def test_extra_load_stays_within_a_tenth_when_everything_fails(kind):
    """Guards against a retry storm on a failing fleet."""
    delay = HANG if kind == 'hang' else 0.01
    scenario = Scenario([(0.0, _whole(1))], _always(kind, delay))
    _run(scenario, count=200, learned=[0.02] * 30)
    first = 200 * 4
    assert first < len(scenario.sends) <= 1.1 * first + 5


@pytest.mark.parametrize('kind', ['not_run', 'lost', 'failed'])
def test_retries_use_their_budget_while_a_quarter_fails(kind):
    """Guards against retries that are off when they would help."""

    def script(number):
        return (kind if number % 4 == 0 else 'answer', 0.01)

    scenario = Scenario([(0.0, _whole(1))], script)
    _run(scenario, count=200, learned=[0.02] * 30)
    first = 200 * 4
    assert 1.04 * first < len(scenario.sends) <= 1.1 * first + 5


def test_slow_replica_is_hedged_after_the_quantile():
    """Guards against a straggler that determines the latency."""
    scenario = Scenario(
        [(0.0, _whole(1))], lambda number: ('answer', 0.01 + 5 * (number == 1))
    )
    assert isinstance(_run(scenario, learned=[0.02] * 30), core.Complete)
    assert scenario.reports[0].hedges == 1
    assert scenario.reports[0].seconds < 0.05


def test_no_hedge_under_overload():
    """Guards against hedges that add load to a fleet that sheds."""
    for sheds, wait in ((10, 0.0), (0, 0.1)):
        scenario = Scenario(
            [(0.0, _whole(1))],
            lambda number: ('answer', 0.01 + 5 * (number == 1)),
            wait=wait,
        )
        scenario.budgets = core.make_budgets(0.05, 0.1)
        for _ in range(sheds):
            core.record_shed(scenario.budgets, True)
        assert isinstance(_run(scenario, learned=[0.02] * 30), core.Partial)
        assert scenario.reports[0].hedges == 0


def test_split_range_is_covered_by_its_parts():
    """Guards against lost coverage when a shard splits during a search."""
    scenario = Scenario(
        [(0.0, _whole(1, 1)), (0.05, _whole(1, 2))], _always('answer', 0.1)
    )
    outcome = _run(scenario)
    assert isinstance(outcome, core.Complete)
    assert (outcome.snapshot, len(outcome.hits)) == (1, 2)
    assert scenario.reports[0].replans == 0


def test_false_gone_is_not_followed_for_ever():
    """Guards against asking again replicas that deny what they list."""
    for later in (_whole(1), _whole(1, 8)):
        scenario = Scenario(
            [(0.0, _whole(1)), (0.005, later)], _always('gone')
        )
        assert isinstance(_run(scenario), core.Failed)
        assert scenario.reports[0].replans == 0
        asked = [(replica, sub) for _, replica, sub in scenario.sends]
        assert len(asked) == len(set(asked))


def test_merged_shards_keep_the_answers_of_the_others():
    """Guards against a second search of ranges that were answered."""
    merged = [(1, 0, 4), *_whole(1)[2:]]
    scenario = Scenario(
        [(0.0, _whole(1)), (0.02, merged)],
        lambda number: ('answer', 0.03 if number < 2 else 0.01),
    )
    outcome = _run(scenario)
    assert isinstance(outcome, core.Complete)
    assert len(outcome.hits) == 3
    assert scenario.reports[0].replans == 1
    last = [sub.key_range for _, _, sub in scenario.sends][-1]
    assert last == core.KeyRange(0, 4 * STEP)
    asked = [sub.key_range.lo for _, _, sub in scenario.sends]
    assert asked.count(4 * STEP) == asked.count(6 * STEP) == 1


def test_retired_snapshot_is_planned_again_only_with_half_the_time():
    """Guards against an answer that mixes or misses both snapshots."""
    for at, snapshot in ((0.05, 2), (0.55, None)):
        scenario = Scenario(
            [(0.0, _whole(1)), (at, _whole(2))],
            lambda number: ('answer', 0.01 + at * (number < 4)),
        )
        outcome = _run(scenario, budget=BUDGET)
        _check_answer(scenario, outcome)
        assert getattr(outcome, 'snapshot', None) == snapshot
        assert scenario.reports[0].replans == (snapshot == 2)


def test_late_loop_sends_nothing_after_the_deadline():
    """Guards against a retry when the loop runs behind its timers."""
    scenario = Scenario([(0.0, _whole(1))], _always('failed'))

    async def main():
        peers = _peers(scenario)

        def now():
            late = asyncio.get_running_loop().time() >= 0.01
            return 2 * BUDGET if late else 0.0

        peers = dataclasses.replace(peers, now=now)
        return await search.run_search(peers, REQ, '')

    assert isinstance(virtual.run(main), core.Failed)
    assert len(scenario.sends) == 4


def test_two_replies_at_once_count_once():
    """Guards against a retry for a piece that was just answered."""
    scenario = Scenario([(0.0, _whole(1))], None, canary=True)
    scenario.budgets = core.make_budgets(0.05, 0.1)
    for _ in range(30):
        core.record_latency(scenario.budgets, INDEX, 0.02, 0.0, 0.0)
    delay = core.hedge_delay(scenario.budgets, INDEX, 0.0)
    scenario.script = lambda number: (
        'failed' if number == 1 else 'answer',
        0.01 + delay * (number == 0),
    )
    assert isinstance(_run(scenario), core.Complete)
    assert len(scenario.sends) == 5


def test_canary_that_kills_its_replicas_goes_no_further():
    """Guards against a request that takes down the whole fleet."""
    scenario = Scenario([(0.0, _whole(1))], _always('lost'), canary=True)
    assert isinstance(_run(scenario), core.Failed)
    assert len(scenario.sends) == fanouts.CANARY_TRIES
    scenario = Scenario([(0.0, _whole(1))], None, canary=True)

    def quarantine(number):
        scenario.quarantined = True
        return 'lost', 0.01

    scenario.script = quarantine
    assert isinstance(_run(scenario), core.Failed)
    assert len(scenario.sends) == 1
    scenario = Scenario([(0.0, _whole(1))], _always('answer'), canary=True)
    assert isinstance(_run(scenario), core.Complete)
    assert [sub.suspect for _, _, sub in scenario.sends] == [True] + [
        False
    ] * 3
    assert scenario.sends[1][0] == 0.01


def test_lost_canary_does_not_cost_the_search():
    """Guards against "no coverage" for one connection that broke.

    Without a token for a retry, the canary's piece is given up, and the
    next piece goes first.
    """
    scenario = Scenario(
        [(0.0, _whole(1))],
        lambda number: ('answer' if number else 'lost', 0.01),
        canary=True,
    )
    scenario.budgets = core.make_budgets(0.0, 0.0)
    outcome = _run(scenario)
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
        scenario = Scenario(
            **{'layout': [(0.0, _whole(1))], 'script': _always('answer')}
            | fields
        )
        assert _run(scenario) == core.Refused(reason)
        assert not scenario.sends
        assert scenario.reports[0].outcome == core.Refused(reason)


@hypothesis.given(st.lists(STEPS, min_size=1, max_size=40))
def test_replies_never_count_for_another_search(steps):
    """Guards G3: searches of one index at once keep their replies apart."""
    scenario = Scenario(
        [(0.0, _whole(1))], lambda number: steps[number % len(steps)]
    )
    names = [f'q{number}' for number in range(3)]

    async def main():
        peers = _peers(scenario)
        return await asyncio.gather(
            *(
                search.run_search(
                    peers, dataclasses.replace(REQ, query=name), ''
                )
                for name in names
            )
        )

    for name, outcome in zip(names, virtual.run(main), strict=True):
        _check_answer(scenario, outcome)
        for hit in getattr(outcome, 'hits', ()):
            assert scenario.replies[hit.doc_id][3].query == name


def test_cancelled_search_cancels_its_sub_requests():
    """Guards against work for a caller that has gone."""
    scenario = Scenario([(0.0, _whole(1))], _always('answer', 0.5))

    async def main():
        peers = _peers(scenario)
        task = asyncio.create_task(search.run_search(peers, REQ, ''))
        await asyncio.sleep(0.1)
        assert scenario.in_flight == 4
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.01)
        assert scenario.in_flight == 0
        assert scenario.admission.running[core.Rank.URGENT] == 0

    virtual.run(main)
