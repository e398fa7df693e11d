"""Measures the dispatch of sub-requests and trials of cheaper designs.

A trial measures a mechanism that the product does not have. Its messages are
encoded here, from the product's own records.
"""

import asyncio
import random
import time

import msgpack

from bench import _fleet_data as fleet_data
from bench import _slopes as slopes
from citronweir import core
from citronweir import service

BATCH_SIZES = (1, 4, 16, 64)
GROUP_COUNTS = (6, 12, 24, 48)
GROUP_SIZES = (5, 10, 20, 40)
PIECES = 490


def measure_all() -> list[slopes.Slope]:
    """Measures the slopes of the dispatch and of the trials."""
    return [
        asyncio.run(_measure_dispatch()),
        _measure_group_call(),
        _measure_partial_merge(),
    ]


async def _measure_dispatch():
    """Measures dispatch_sub, with replies in the next loop iteration."""
    owner = fleet_data.make_members(2)[1]
    answer = fleet_data.make_answer(fleet_data.make_range(0, PIECES), PIECES)

    async def call_owner(member, replica_id, sub):
        await asyncio.sleep(0)
        return answer

    async def refuse(replica_id, sub):
        return core.SubNotRun(core.NotRunReason.NO_REPLICA)

    deps = service.DispatchDependencies(
        now=time.monotonic,
        node_id=core.NodeId('entry-00000'),
        find_owner=lambda replica_id: owner,
        submit=refuse,
        call_owner=call_owner,
        has_received=lambda member, since: True,
        ping=lambda member: None,
        send_direct=refuse,
        record_route=lambda route: None,
    )
    sub = fleet_data.make_sub_search(fleet_data.make_range(0, PIECES), 600.0)
    points = []
    for batch in BATCH_SIZES:

        async def dispatch(batch=batch):
            await asyncio.gather(
                *(
                    service.dispatch_sub(deps, core.ReplicaId('r'), sub)
                    for _ in range(batch)
                )
            )

        count = max(4, 512 // batch)
        points.append((batch, await slopes.time_async(dispatch, count)))
    return slopes.make_slope(
        'dispatch',
        'dispatch of sub-requests to their owner, without the stream',
        'sub-requests at once',
        'us',
        points,
    )


def _measure_group_call():
    """Measures a trial: one message for several pieces of a search.

    The reply to such a message holds the merged hits of its pieces.
    """
    points = [
        (size, slopes.time_call(_make_group_call(size)))
        for size in GROUP_SIZES
    ]
    return slopes.make_slope(
        'group_call',
        'trial: codec of one message for several pieces and its merged'
        ' reply, both ends',
        'pieces of the message',
        'us',
        points,
    )


def _make_group_call(size):
    ranges = [fleet_data.make_range(number, PIECES) for number in range(size)]
    sub = fleet_data.make_sub_search(ranges[0], 600.0)
    replica_ids = [f'readings-{number:05d}' for number in range(size)]
    hits = fleet_data.make_answer(ranges[0], PIECES).hits

    def encode_and_decode():
        request = msgpack.packb(
            {
                'id': sub.request_id,
                'ix': sub.index,
                'sn': sub.snapshot,
                'q': sub.query,
                'n': sub.limit,
                'left': sub.deadline - time.monotonic(),
                'tr': sub.trace,
                'p': [
                    [name, item.lo, item.hi]
                    for name, item in zip(replica_ids, ranges, strict=True)
                ],
            }
        )
        fields = msgpack.unpackb(request)
        for name, lo, hi in fields['p']:
            core.SubSearch(
                fields['id'],
                fields['ix'],
                fields['sn'],
                core.KeyRange(lo, hi),
                fields['q'],
                fields['n'],
                core.Rank.URGENT,
                fields['left'],
                fields['tr'],
            )
            core.ReplicaId(name)
        reply = msgpack.packb(
            {
                'r': [[item.lo, item.hi, 1000, 1000] for item in ranges],
                'h': [[hit.doc_id, hit.score, hit.text] for hit in hits],
            }
        )
        fields = msgpack.unpackb(reply)
        for lo, hi, _, _ in fields['r']:
            core.KeyRange(lo, hi)
        for hit in fields['h']:
            core.Hit(*hit)

    return encode_and_decode


def _measure_partial_merge():
    points = []
    for groups in GROUP_COUNTS:
        table = fleet_data.make_table(groups, groups)
        plan = core.plan_index(table, fleet_data.INDEX)
        answers = [
            fleet_data.make_answer(piece.key_range, groups)
            for piece in plan.pieces
        ]
        random.Random(1).shuffle(answers)

        def merge(plan=plan, answers=answers):
            merge_state = core.Merge(plan)
            for answer in answers:
                core.accept_answer(merge_state, answer.key_range, answer)
            core.build_outcome(merge_state, fleet_data.HITS)

        points.append((groups, slopes.time_call(merge)))
    return slopes.make_slope(
        'partial_merge',
        'trial: merge of partial answers, 10 hits each',
        'partial answers',
        'us',
        points,
    )
