"""Tests of merging parts and of deciding when to answer."""

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core

SHARDS = tuple(core.ServiceName(f's{number}') for number in range(20))


def _route(top_k=5, coverage=0.89):
    return core.Route(
        core.RouteName('r'),
        'a.example',
        '/',
        core.Idempotency.IDEMPOTENT,
        core.Rank.URGENT,
        0.1,
        0.4,
        2,
        shards=SHARDS,
        top_k=top_k,
        min_coverage=coverage,
    )


def test_parts_that_an_answer_needs():
    """Rounding must not allow an answer with one part too few."""
    assert core.min_parts(_route(coverage=0.89)) == 18
    assert core.min_parts(_route(coverage=0.75)) == 15
    assert core.min_parts(_route(coverage=0.0)) == 1


def test_answer_waits_for_all_parts_until_its_target():
    """An answer must not omit a part that arrives before the target."""
    decide, decision = core.decide_gather, core.GatherDecision
    assert decide(_route(), 19, 1, False) is decision.WAIT
    assert decide(_route(), 19, 1, True) is decision.ANSWER
    assert decide(_route(), 17, 3, True) is decision.WAIT
    assert decide(_route(), 18, 0, False) is decision.ANSWER
    assert decide(_route(), 16, 1, False) is decision.GIVE_UP


@given(
    st.lists(st.binary(max_size=200), min_size=1, max_size=20),
    st.integers(1, 30),
)
def test_merge_holds_the_greatest_records(bodies, top_k):
    """The merge must equal the head of a plain sort of all whole records."""
    replies = [
        core.Reply(200, (), body, f'sig{number}')
        for number, body in enumerate(bodies)
    ]
    answer = core.merge_parts(_route(top_k), replies)
    half = len(replies) // 2
    merged = core.merge_parts(_route(top_k), replies[:half])
    again = core.merge_parts(_route(top_k), replies[half:], [merged])
    assert again.body == answer.body
    assert sorted(again.signatures) == sorted(answer.signatures)
    records = sorted(
        (
            body[start : start + 16]
            for body in bodies
            for start in range(0, len(body) // 16 * 16, 16)
        ),
        reverse=True,
    )
    assert answer.body == b''.join(records[:top_k])
    assert answer.signatures == tuple(item.signature for item in replies)
    assert answer.missing == len(SHARDS) - len(bodies)
