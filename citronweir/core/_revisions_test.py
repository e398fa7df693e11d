"""Tests the merging and compaction of configuration records."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from citronweir.core import _data as data
from citronweir.core import _revisions as revisions

WEEKS = 4 * 7 * 86400.0
CONTRACT = data.Contract(
    data.ContractId('c'), data.Rank.URGENT, 0.3, 100.0, 200.0
)
KEY = revisions.contract_key(CONTRACT.contract_id)


def _record(key, revision):
    return data.ConfigRecord(data.ConfigKey(key), f'{revision}', revision)


def _state(records, complete_to):
    return data.ConfigState(
        {item.key: item for item in records},
        complete_to,
        max((item.revision for item in records), default=0),
    )


@st.composite
def _states(draw):
    """Draws three states that nodes can have under the same write history."""
    keys = draw(st.lists(st.sampled_from('abc'), min_size=1, max_size=10))
    found = []
    for _ in range(3):
        complete_to = draw(st.integers(0, len(keys)))
        records = []
        for key in set(keys):
            revs = [i for i, item in enumerate(keys, 1) if item == key]
            old = [rev for rev in revs if rev <= complete_to][-1:]
            choice = draw(
                st.sampled_from(
                    [None, *old, *(rev for rev in revs if rev > complete_to)]
                )
            )
            if choice:
                records.append(_record(key, choice))
        found.append(_state(records, complete_to))
    return found


def _join(one, other):
    batch = revisions.collect_newer_records(other, data.NO_REVISION)
    return revisions.merge_batch(one, batch)[0]


def _content(state):
    return dict(state.records), state.complete_to


@hypothesis.given(_states())
def test_merge_is_a_join(states):
    """Guards against a result that depends on the order of messages."""
    a, b, c = states
    assert _content(_join(a, a)) == _content(a)
    assert _content(_join(a, b)) == _content(_join(b, a))
    assert _content(_join(_join(a, b), c)) == _content(_join(a, _join(b, c)))


@hypothesis.given(_states(), st.integers(0, 10), st.integers(1, 200))
def test_merge_never_lowers_a_revision(states, since, max_chars):
    """Guards against a page that replaces a newer record."""
    for one in states:
        for other in states:
            batch = revisions.collect_newer_records(
                other, since, 0.0, max_chars
            )
            merged, fresh = revisions.merge_batch(one, batch)
            assert merged.complete_to >= one.complete_to
            for key in merged.records.keys() & one.records.keys():
                assert (
                    merged.records[key].revision >= one.records[key].revision
                )
            for record in fresh:
                assert merged.records[record.key] == record


@hypothesis.given(_states(), st.integers(1, 300))
def test_pages_transfer_all_records(states, max_chars):
    """Guards against a paged transfer that ends early or never."""
    for source in states:
        target, cursor = data.ConfigState(), data.NO_REVISION
        for _ in range(len(source.records) + 1):
            batch = revisions.collect_newer_records(
                source, cursor, 0.0, max_chars
            )
            target, _ = revisions.merge_batch(target, batch)
            cursor = revisions.next_since(batch)
            if not batch.more:
                break
        assert _content(target) == _content(source)


def test_pushes_are_bounded():
    """Guards against a push that exceeds the size limit of a message."""
    records = [_record('a', number) for number in range(1, 8)]
    batches = revisions.split_batches(records, 150)
    assert [item for batch in batches for item in batch.records] == records
    assert max(len(batch.records) for batch in batches) == 2
    assert not revisions.split_batches([])


def test_page_removes_nothing():
    """Guards against losing a contract when a transfer is interrupted."""
    source = _state([_record('b', 2), _record('a', 3)], 2)
    target = _state([_record('a', 1)], 0)
    page = revisions.collect_newer_records(source, data.NO_REVISION, 0.0, 1)
    assert page.more
    merged, _ = revisions.merge_batch(target, page)
    assert merged.records.keys() == {'a', 'b'}


def test_compacted_record_does_not_reappear():
    """Guards against a delayed older record that revives a contract."""
    older = dataclasses.replace(CONTRACT, expiry=WEEKS * 10)
    records = [
        data.ConfigRecord(KEY, '', data.Revision(5), (), 150.0, CONTRACT),
        data.ConfigRecord(
            data.ConfigKey('k'), '', data.Revision(6), (), WEEKS
        ),
    ]
    state = _state(records, data.Revision(6))
    assert KEY in revisions.compact(state, 200.0).records
    assert KEY in revisions.compact(_state(records, 4), WEEKS).records
    compacted = revisions.compact(state, WEEKS)
    assert KEY not in compacted.records
    late = data.ConfigRecord(KEY, '', data.Revision(4), (), 120.0, older)
    batch = data.ConfigBatch((late,))
    merged, fresh = revisions.merge_batch(compacted, batch)
    assert not fresh
    assert not revisions.contracts_in_force(merged, WEEKS)
    # A node that still holds the older record fetches the full state.
    lagging = _state([late], data.Revision(4))
    assert not revisions.contracts_in_force(_join(lagging, compacted), WEEKS)


def test_one_wrong_clock_compacts_nothing():
    """Guards against early compaction on a node whose clock is years ahead."""
    record = data.ConfigRecord(KEY, '', data.Revision(5), (), 150.0, CONTRACT)
    state = _state([record], data.Revision(6))
    assert KEY in revisions.compact(state, 1e9).records


@hypothesis.given(
    st.sampled_from((100.0, 200.0)) | st.floats(0, 300), st.booleans()
)
def test_contract_is_in_force_by_its_times(now, withdrawn):
    """Guards against an off-by-one at the start or the expiry."""
    contract = CONTRACT
    if withdrawn:
        contract = dataclasses.replace(
            contract, state=data.ContractState.WITHDRAWN
        )
    expected = not withdrawn and 100.0 <= now < 200.0
    assert revisions.is_in_force(contract, now) is expected
