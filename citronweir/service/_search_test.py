"""Tests of searches with random faults on a virtual clock."""

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
DOCS = 10  # documents in each eighth of the key space
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
    """Simulated upstreams and the sub-requests they received.

    Attributes:
        layout: Holdings as lists of (snapshot, lo, hi), each with the time
            from which it applies.
        script: Returns the kind and the delay of the reply to the nth
            sub-request.
        replies: Data of each reply by the document id of its only hit.
        sub_searches: Time, replica and content of each sub-request.
        expected_wait: Expected queue delay, seconds.
        in_flight: Number of sub-requests being answered.
    """

    layout: list
    script: object
    now: object = None
    sub_searches: list = dataclasses.field(default_factory=list)
    replies: dict = dataclasses.field(default_factory=dict)
    reports: list = dataclasses.field(default_factory=list)
    canary: bool = False
    quarantined: bool = False
    in_flight: int = 0
    expected_wait: float = 0.0
    budgets: object = None
    admission: object = None


def _list_holdings(scenario):
    held = [ranges for at, ranges in scenario.layout if at <= scenario.now()][
        -1
    ]
    return [
        (core.ReplicaId(f'{lo}-{hi}-{copy}'), _make_holding(snapshot, lo, hi))
        for snapshot, lo, hi in held
        for copy in 'abc'
    ]


def _make_holding(snapshot, lo, hi):
    key_range = core.KeyRange(lo * STEP, hi * STEP)
    docs = (hi - lo) * DOCS
    return core.Holding(
        INDEX, core.SnapshotId(snapshot), key_range, docs, TOTAL
    )


async def _send(scenario, replica_id, sub_search):
    number = len(scenario.sub_searches)
    scenario.sub_searches.append((scenario.now(), replica_id, sub_search))
    kind, delay = scenario.script(number)
    scenario.in_flight += 1
    try:
        await asyncio.sleep(delay)
    finally:
        scenario.in_flight -= 1
    held = {
        (item.snapshot, item.key_range) for _, item in _list_holdings(scenario)
    }
    if (sub_search.snapshot, sub_search.key_range) not in held:
        return core.SubGone()
    return FAULTS.get(kind) or _answer(scenario, number, sub_search, kind)


def _answer(scenario, number, sub_search, kind):
    snapshot, key_range = sub_search.snapshot, sub_search.key_range
    docs = (key_range.hi - key_range.lo) // STEP * DOCS
    searched = docs // 2 if kind == 'truncated' else docs
    if kind == 'crossed':
        lo = (key_range.lo + STEP) % core.KEY_SPACE_END
        key_range = core.KeyRange(lo, lo + STEP)
    if kind == 'late_snapshot':
        snapshot = core.SnapshotId(snapshot + 1)
    hit = core.Hit(f'{number}', 1.0, '')
    scenario.replies[hit.doc_id] = (snapshot, key_range, searched, sub_search)
    return core.SubAnswer(snapshot, key_range, searched, docs, TOTAL, (hit,))


def _make_dependencies(scenario):
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

    return service.SearchDependencies(
        loop.time,
        lambda: 1.0,
        {contract.contract_id: contract}.get,
        lambda index: core.choose_plan(index, _list_holdings(scenario)),
        lambda *where: core.cover_range(*where, _list_holdings(scenario)),
        choose,
        functools.partial(_send, scenario),
        lambda plan, rank: scenario.expected_wait,
        lambda req: scenario.canary,
        lambda req: scenario.quarantined,
        scenario.reports.append,
        {core.Rank.URGENT: scenario.budgets},
        scenario.admission,
    )


def _run(scenario, count=1, budget=None, learned=()):
    req = dataclasses.replace(REQ, budget=budget)

    async def main():
        deps = _make_dependencies(scenario)
        for seconds in learned:
            core.record_latency(scenario.budgets, INDEX, seconds, 0.0, 0.0)
        for _ in range(count):
            started = scenario.now()
            outcome = await search.run_search(deps, req, '')
            # Cancelled sub-requests end in the next iterations of the loop.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert scenario.in_flight == 0
            assert scenario.now() - started <= (budget or BUDGET)
        assert not any(scenario.admission.running.values())
        return outcome

    return virtual.run(main)


def _tile(snapshot, shard_count=4):
    width = 8 // shard_count
    return [
        (snapshot, number * width, (number + 1) * width)
        for number in range(shard_count)
    ]


def _reply_always(kind, delay=0.01):
    return lambda number: (kind, delay)


def _check_answer(scenario, outcome):
    """Compares an answer with the replies that its hits come from."""
    if isinstance(outcome, core.Refused):
        assert not scenario.sub_searches
    if not isinstance(outcome, core.Complete | core.Partial):
        return
    used = [scenario.replies[hit.doc_id] for hit in outcome.hits]
    ranges = sorted(key_range for _, key_range, _, _ in used)
    for one, other in zip(ranges, ranges[1:], strict=False):
        assert one.hi <= other.lo
    for snapshot, key_range, _, sub_search in used:
        assert snapshot == sub_search.snapshot == outcome.snapshot
        assert key_range == sub_search.key_range
    assert sum(docs for _, _, docs, _ in used) == outcome.docs_searched
    whole = outcome.docs_searched == TOTAL
    assert isinstance(outcome, core.Complete) == whole


def _check_load(scenario):
    extra = sum(item.hedges + item.retries for item in scenario.reports)
    first = len(scenario.sub_searches) - extra
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
    """G1 to G4 must hold with faults, repartitioning and retirement."""
    later = {
        'split': _tile(1, 8),
        'merge': _tile(1, 2),
        'retired': _tile(2, 4),
        None: _tile(1),
    }[change]
    scenario = Scenario(
        [(0.0, _tile(1)), (at, later)],
        lambda number: steps[number % len(steps)],
        canary=canary,
    )
    outcome = _run(scenario, budget=budget, learned=[0.02] * 30)
    _check_answer(scenario, outcome)
    assert all(sent_at < budget for sent_at, _, _ in scenario.sub_searches)
    if change is None and not any(kind == 'gone' for kind, _ in steps):
        _check_load(scenario)
    asked = collections.Counter(
        (replica, sub_search.key_range)
        for _, replica, sub_search in scenario.sub_searches
    )
    plans = 1 + sum(report.replans for report in scenario.reports)
    assert not asked or max(asked.values()) <= plans <= 2


@hypothesis.given(
    st.sampled_from(('not_run', 'lost', 'failed', 'late_snapshot', 'hang'))
)
@hypothesis.settings(max_examples=10)
def test_extra_load_stays_within_a_tenth_when_everything_fails(kind):
    """A failing fleet must not receive a retry storm."""
    delay = HANG if kind == 'hang' else 0.01
    scenario = Scenario([(0.0, _tile(1))], _reply_always(kind, delay))
    _run(scenario, count=200, learned=[0.02] * 30)
    first = 200 * 4
    assert first < len(scenario.sub_searches) <= 1.1 * first + 5


@pytest.mark.parametrize('kind', ['not_run', 'lost', 'failed'])
def test_retries_use_their_budget_while_a_quarter_fails(kind):
    """Retries must not be disabled while they help."""

    def script(number):
        return (kind if number % 4 == 0 else 'answer', 0.01)

    scenario = Scenario([(0.0, _tile(1))], script)
    _run(scenario, count=200, learned=[0.02] * 30)
    first = 200 * 4
    assert 1.04 * first < len(scenario.sub_searches) <= 1.1 * first + 5


def test_slow_replica_is_hedged_after_the_quantile():
    """A slow replica must not determine the latency."""
    scenario = Scenario(
        [(0.0, _tile(1))], lambda number: ('answer', 0.01 + 5 * (number == 1))
    )
    assert isinstance(_run(scenario, learned=[0.02] * 30), core.Complete)
    assert scenario.reports[0].hedges == 1
    assert scenario.reports[0].seconds < 0.05


def test_no_hedge_under_overload():
    """Hedges must not add load to a fleet that sheds or has a queue."""
    for sheds, expected_wait in ((10, 0.0), (0, 0.1)):
        scenario = Scenario(
            [(0.0, _tile(1))],
            lambda number: ('answer', 0.01 + 5 * (number == 1)),
            expected_wait=expected_wait,
        )
        scenario.budgets = core.make_budgets(0.05, 0.1)
        for _ in range(sheds):
            core.record_shed(scenario.budgets, True)
        assert isinstance(_run(scenario, learned=[0.02] * 30), core.Partial)
        assert scenario.reports[0].hedges == 0


def test_split_range_is_covered_by_its_parts():
    """A shard that splits during a search must not reduce coverage."""
    scenario = Scenario(
        [(0.0, _tile(1, 1)), (0.05, _tile(1, 2))], _reply_always('answer', 0.1)
    )
    outcome = _run(scenario)
    assert isinstance(outcome, core.Complete)
    assert (outcome.snapshot, len(outcome.hits)) == (1, 2)
    assert scenario.reports[0].replans == 0


def test_replicas_that_wrongly_report_gone_are_asked_once():
    """Replicas that wrongly deny their holdings must not be asked twice."""
    for later in (_tile(1), _tile(1, 8)):
        scenario = Scenario(
            [(0.0, _tile(1)), (0.005, later)], _reply_always('gone')
        )
        assert isinstance(_run(scenario), core.Failed)
        assert scenario.reports[0].replans == 0
        asked = [
            (replica, sub_search)
            for _, replica, sub_search in scenario.sub_searches
        ]
        assert len(asked) == len(set(asked))


def test_merged_shards_keep_the_answers_of_the_others():
    """Ranges that were answered must not be searched again."""
    merged = [(1, 0, 4), *_tile(1)[2:]]
    scenario = Scenario(
        [(0.0, _tile(1)), (0.02, merged)],
        lambda number: ('answer', 0.03 if number < 2 else 0.01),
    )
    outcome = _run(scenario)
    assert isinstance(outcome, core.Complete)
    assert len(outcome.hits) == 3
    assert scenario.reports[0].replans == 1
    last = [
        sub_search.key_range for _, _, sub_search in scenario.sub_searches
    ][-1]
    assert last == core.KeyRange(0, 4 * STEP)
    asked = [
        sub_search.key_range.lo for _, _, sub_search in scenario.sub_searches
    ]
    assert asked.count(4 * STEP) == asked.count(6 * STEP) == 1


def test_retired_snapshot_is_planned_again_only_with_half_the_time():
    """An answer must use a single snapshot, the new one if time allows."""
    for at, snapshot in ((0.05, 2), (0.55, None)):
        scenario = Scenario(
            [(0.0, _tile(1)), (at, _tile(2))],
            lambda number: ('answer', 0.01 + at * (number < 4)),
        )
        outcome = _run(scenario, budget=BUDGET)
        _check_answer(scenario, outcome)
        assert getattr(outcome, 'snapshot', None) == snapshot
        assert scenario.reports[0].replans == (snapshot == 2)


def test_lagging_loop_sends_nothing_after_the_deadline():
    """No retry may be sent when the event loop lags behind its timers."""
    scenario = Scenario([(0.0, _tile(1))], _reply_always('failed'))

    async def main():
        deps = _make_dependencies(scenario)

        def now():
            late = asyncio.get_running_loop().time() >= 0.01
            return 2 * BUDGET if late else 0.0

        deps = dataclasses.replace(deps, now=now)
        return await search.run_search(deps, REQ, '')

    assert isinstance(virtual.run(main), core.Failed)
    assert len(scenario.sub_searches) == 4


def test_two_replies_at_once_count_once():
    """A piece that was just answered must not be retried."""
    scenario = Scenario([(0.0, _tile(1))], None, canary=True)
    scenario.budgets = core.make_budgets(0.05, 0.1)
    for _ in range(30):
        core.record_latency(scenario.budgets, INDEX, 0.02, 0.0, 0.0)
    delay = core.hedge_delay(scenario.budgets, INDEX, 0.0)
    scenario.script = lambda number: (
        'failed' if number == 1 else 'answer',
        0.01 + delay * (number == 0),
    )
    assert isinstance(_run(scenario), core.Complete)
    assert len(scenario.sub_searches) == 5


def test_canary_that_crashes_its_replicas_is_not_sent_further():
    """A request must not be able to crash the whole fleet."""
    scenario = Scenario([(0.0, _tile(1))], _reply_always('lost'), canary=True)
    assert isinstance(_run(scenario), core.Failed)
    assert len(scenario.sub_searches) == fanouts.MAX_CANARY_REPLICAS
    scenario = Scenario([(0.0, _tile(1))], None, canary=True)

    def quarantine(number):
        scenario.quarantined = True
        return 'lost', 0.01

    scenario.script = quarantine
    assert isinstance(_run(scenario), core.Failed)
    assert len(scenario.sub_searches) == 1
    scenario = Scenario(
        [(0.0, _tile(1))], _reply_always('answer'), canary=True
    )
    assert isinstance(_run(scenario), core.Complete)
    assert [
        sub_search.suspect for _, _, sub_search in scenario.sub_searches
    ] == [True] + [False] * 3
    assert scenario.sub_searches[1][0] == 0.01


def test_lost_canary_does_not_fail_the_search():
    """One broken connection must not fail the whole search.

    Without a token for a retry, the piece of the canary is given up, and the
    next piece is sent as the canary.
    """
    scenario = Scenario(
        [(0.0, _tile(1))],
        lambda number: ('answer' if number else 'lost', 0.01),
        canary=True,
    )
    scenario.budgets = core.make_budgets(0.0, 0.0)
    outcome = _run(scenario)
    assert isinstance(outcome, core.Partial)
    assert outcome.docs_searched == outcome.total_docs * 3 // 4


def test_refusals_send_nothing():
    """G4: a refused search must not have run on any replica."""
    reasons = core.NotRunReason
    busy = core.Admission(9)
    busy.recheck_at[core.Rank.URGENT] = BUDGET
    for fields, reason in (
        ({'quarantined': True}, reasons.QUARANTINED),
        ({'layout': [(0.0, [])]}, reasons.NO_REPLICA),
        ({'admission': core.Admission(0)}, reasons.OVERLOADED),
        ({'admission': busy, 'expected_wait': 2 * BUDGET}, reasons.OVERLOADED),
    ):
        scenario = Scenario(
            **{'layout': [(0.0, _tile(1))], 'script': _reply_always('answer')}
            | fields
        )
        assert _run(scenario) == core.Refused(reason)
        assert not scenario.sub_searches
        assert scenario.reports[0].outcome == core.Refused(reason)


@hypothesis.given(st.lists(STEPS, min_size=1, max_size=40))
def test_replies_never_count_for_another_search(steps):
    """G3: concurrent searches of an index must not mix their replies."""
    scenario = Scenario(
        [(0.0, _tile(1))], lambda number: steps[number % len(steps)]
    )
    names = [f'q{number}' for number in range(3)]

    async def main():
        deps = _make_dependencies(scenario)
        return await asyncio.gather(
            *(
                search.run_search(
                    deps, dataclasses.replace(REQ, query=name), ''
                )
                for name in names
            )
        )

    for name, outcome in zip(names, virtual.run(main), strict=True):
        _check_answer(scenario, outcome)
        for hit in getattr(outcome, 'hits', ()):
            assert scenario.replies[hit.doc_id][3].query == name


def test_cancelled_search_cancels_its_sub_requests():
    """Replicas must not keep working for a disconnected caller."""
    scenario = Scenario([(0.0, _tile(1))], _reply_always('answer', 0.5))

    async def main():
        deps = _make_dependencies(scenario)
        task = asyncio.create_task(search.run_search(deps, REQ, ''))
        await asyncio.sleep(0.1)
        assert scenario.in_flight == 4
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.01)
        assert scenario.in_flight == 0
        assert scenario.admission.running[core.Rank.URGENT] == 0

    virtual.run(main)
