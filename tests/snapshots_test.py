"""Tests that each answer uses one snapshot and reports its coverage (G1, G2).

The query matches every document and the limit exceeds their number, so
the hits of an answer are exactly the documents that were searched.
"""

import asyncio
import collections
import dataclasses
import random

import aiohttp

from citronweir import callers
from fakes import _index as index_data
from fakes import fleet as fleets
from tests import _helpers as helpers

SHARDS = 3
DOCS = 200  # in the first snapshot of the fake upstreams
SNAPSHOTS = 4
LIMIT = 400
DEADLINE_SECONDS = 0.6
SEARCHERS = 4
ANSWERS_PER_STEP = 4
QUERY = 'valve bearing parts pump worn leaking gasket'
SPEC = fleets.FleetSpec(
    dcs=('dc1',),
    indexes=(fleets.IndexSpec('parts', SHARDS, 2, slots=4, service_ms=3.0),),
)


@dataclasses.dataclass(slots=True)
class Model:
    """Expected documents by snapshot, and counts of the answers.

    Attributes:
        documents: Texts by document id, by snapshot.
        ranges: Key ranges of the newest snapshot, by replica.
        answer_counts: Numbers of answers by (outcome, snapshot).
        total_answers: Number of all answers.
    """

    documents: dict[int, dict[str, str]]
    ranges: dict[str, list[tuple[int, int]]]
    answer_counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    total_answers: int = 0


def _make_model(fleet):
    end = index_data.KEY_SPACE_END
    documents = {
        number: index_data.sample_documents(
            'parts', number, _count_documents(number)
        )
        for number in range(1, SNAPSHOTS + 1)
    }
    ranges = {}
    for name in fleet.upstreams:
        shard = int(name.split('-')[2])
        ranges[name] = [(end * shard // SHARDS, end * (shard + 1) // SHARDS)]
    return Model(documents, ranges)


def _count_documents(snapshot):
    return DOCS + 20 * (snapshot - 1)


def _find_best_hits(docs, query, limit):
    words = query.split()
    hits = []
    for doc_id, text in docs.items():
        held = set(text.split())
        score = sum(word in held for word in words)
        if score:
            hits.append({'id': doc_id, 'score': score, 'text': text})
    hits.sort(key=lambda hit: (-hit['score'], hit['id']))
    return hits[:limit]


def _check_reply(model, reply, query, limit):
    """Checks an answer against the expected documents."""
    model.total_answers += 1
    model.answer_counts[reply['outcome'], reply.get('snapshot', 0)] += 1
    if reply['outcome'] not in ('complete', 'partial'):
        assert reply['outcome'] in ('refused', 'failed'), reply
        return
    docs = model.documents[reply['snapshot']]
    assert reply['total_docs'] == len(docs)
    best = _find_best_hits(docs, query, len(docs))
    known = {hit['id']: hit for hit in best}
    ids = [hit['id'] for hit in reply['hits']]
    assert len(set(ids)) == len(ids)
    for hit in reply['hits']:
        assert known.get(hit['id']) == hit, (reply['snapshot'], hit)
    order = [(-hit['score'], hit['id']) for hit in reply['hits']]
    assert order == sorted(order)
    if limit >= len(docs):
        assert reply['docs_searched'] == len(ids)
    searched = reply['docs_searched']
    assert reply['coverage'] == searched / len(docs)
    assert (reply['outcome'] == 'complete') == (searched == len(docs))
    if reply['outcome'] == 'complete':
        assert reply['hits'] == best[:limit]


async def _search_until_stopped(session, fleet, model, stopped):
    turn = 0
    while not stopped.is_set():
        turn += 1
        for node in fleet.nodes:
            # Each query text has its own fingerprint; with only two texts, few
            # searches run as canaries.
            query, limit = QUERY, LIMIT
            if turn % 4 == 0:
                query, limit = 'worn bearing', 10
            fields = helpers.make_search_fields(
                limit=limit, deadline_seconds=DEADLINE_SECONDS
            )
            reply = await callers.post_search(
                session, fleet.url(node), fields | {'query': query}
            )
            assert isinstance(reply, dict), reply
            _check_reply(model, reply, query, limit)


class _ReplicaChanger:
    """Publishes, repartitions and breaks replicas while searches run."""

    def __init__(self, session, fleet, model, searchers):
        self.session = session
        self.fleet = fleet
        self.model = model
        self.searchers = searchers
        self.rng = random.Random(1)

    async def control(self, name, fields):
        port = self.fleet.upstreams[name]
        await helpers.post_json(self.session, port, '/control', fields)
        reached = self.model.total_answers + ANSWERS_PER_STEP

        async def is_reached():
            for task in self.searchers:
                if task.done():
                    task.result()
            return self.model.total_answers >= reached

        await fleets.wait_for(is_reached, f'answers after {fields}')

    async def wait_complete(self, snapshot):
        async def is_complete():
            return self.model.answer_counts['complete', snapshot] > 0

        await fleets.wait_for(
            is_complete, f'a complete answer from snapshot {snapshot}'
        )

    def shuffle_replicas(self):
        names = list(self.fleet.upstreams)
        self.rng.shuffle(names)
        return names

    async def repartition(self, snapshot):
        for name in self.shuffle_replicas()[:3]:
            ranges = self.model.ranges[name]
            if len(ranges) > 1:
                lo, hi = ranges[0][0], ranges[-1][1]
                await self.control(name, {'merge': [snapshot, lo, hi]})
                ranges[:] = [(lo, hi)]
                continue
            lo, hi = ranges.pop()
            await self.control(name, {'split': [snapshot, lo, hi]})
            ranges += [(lo, (lo + hi) // 2), ((lo + hi) // 2, hi)]

    async def run(self):
        faulty = self.shuffle_replicas()
        cleared_faults = {'set': {'lag_s': 0.0, 'truncate': 1.0}}
        for snapshot in range(2, SNAPSHOTS + 1):
            faults = (
                {'set': {'lag_s': 2.0}},
                {'warm_s': 1.0, 'set': {'cold_empty': True}},
                {'set': {'truncate': 0.5}},
            )
            for name, fields in zip(faulty, faults):
                await self.control(name, fields)
            await self.repartition(snapshot - 1)
            for name in self.shuffle_replicas():
                fields = {'publish': [snapshot, _count_documents(snapshot)]}
                await self.control(name, fields)
            # A range that only a truncating replica has in this
            # partitioning stays partial, so the faults are cleared here.
            for name in faulty[:3]:
                await self.control(name, cleared_faults)
            await self.wait_complete(snapshot)
            for name, fields in zip(faulty, faults):
                await self.control(name, fields)
            for name in self.shuffle_replicas():
                await self.control(name, {'retire': snapshot - 1})
            for name in faulty[:3]:
                await self.control(name, cleared_faults)
            faulty = faulty[1:] + faulty[:1]


async def test_answers_use_one_snapshot_and_report_correct_coverage(tmp_path):
    """Guards against mixed snapshots and wrong coverage."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_until_ready(session, fleet)
        await helpers.create_contract(session, fleet, 'dc1-n0')
        await helpers.wait_until_serving(session, fleet)
        model, stopped = _make_model(fleet), asyncio.Event()
        searchers = [
            asyncio.create_task(
                _search_until_stopped(session, fleet, model, stopped)
            )
            for _ in range(SEARCHERS)
        ]
        try:
            await _ReplicaChanger(session, fleet, model, searchers).run()
        finally:
            stopped.set()
            results = await asyncio.gather(*searchers, return_exceptions=True)
        print(dict(model.answer_counts))
        assert not any(results), results
        # Both outcomes must occur, or the checks above tested nothing.
        complete = {
            key for (kind, key) in model.answer_counts if kind == 'complete'
        }
        assert complete == set(model.documents)
        assert any(kind == 'partial' for kind, _ in model.answer_counts)

        async def is_newest():
            replies = [
                await callers.post_search(
                    session, fleet.url(node), helpers.make_search_fields()
                )
                for node in fleet.nodes
            ]
            for reply in replies:
                _check_reply(model, reply, 'worn bearing', 10)
            return {
                (item['outcome'], item.get('snapshot')) for item in replies
            } == {('complete', SNAPSHOTS)}

        await fleets.wait_for(
            is_newest, 'complete answers from the newest snapshot'
        )
