"""Inverted index of a fake upstream, by snapshot and key range."""

import collections
import dataclasses
import random
import zlib

KEY_SPACE_END = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """Documents of one key range of one snapshot and their index.

    Attributes:
        lo: First key of the range.
        hi: First key after the range.
        total_docs: Number of documents in the whole snapshot.
        docs: Texts by document id.
        postings: Ids of the documents that contain each term.
    """

    lo: int
    hi: int
    total_docs: int
    docs: dict[str, str]
    postings: dict[str, list[str]]


# Shards by snapshot, first key and first key after the range.
ShardMap = dict[tuple[int, int, int], Shard]


def document_key(doc_id: str) -> int:
    """Returns the key of a document in the key space."""
    return zlib.crc32(doc_id.encode())


def build_shard(docs: dict[str, str], lo: int, hi: int) -> Shard:
    """Indexes the documents of a range.

    Args:
        docs: Texts of the whole snapshot by document id.
        lo: First key of the range.
        hi: First key after the range.
    """
    own_docs = {
        doc_id: text
        for doc_id, text in docs.items()
        if lo <= document_key(doc_id) < hi
    }
    postings = collections.defaultdict(list)
    for doc_id, text in own_docs.items():
        for term in set(text.lower().split()):
            postings[term].append(doc_id)
    return Shard(lo, hi, len(docs), own_docs, dict(postings))


def sample_documents(index: str, snapshot: int, count: int) -> dict[str, str]:
    """Generates the documents of a snapshot, identical in every process."""
    rng = random.Random(f'{index}/{snapshot}')
    words = ('valve', 'bearing', 'parts', 'pump', 'worn', 'leaking', 'gasket')
    return {
        f'{index}-{number}': ' '.join(rng.choices(words, k=4))
        for number in range(count)
    }


def search_shard(
    shard: Shard, query: str, limit: int, searched_docs: int
) -> list[dict]:
    """Returns the best hits among the first documents of a shard.

    Args:
        shard: Shard to search.
        query: Search terms, separated by whitespace.
        limit: Maximum number of hits.
        searched_docs: Number of documents to search.
    """
    searchable = set(list(shard.docs)[:searched_docs])
    scores = collections.Counter()
    for term in query.lower().split():
        scores.update(
            doc_id
            for doc_id in shard.postings.get(term, ())
            if doc_id in searchable
        )
    ranked = sorted(scores.items(), key=lambda item: (-item[1], item[0]))
    return [
        {'id': doc_id, 'score': score, 'text': shard.docs[doc_id]}
        for doc_id, score in ranked[:limit]
    ]


def publish(shards: ShardMap, index: str, snapshot: int, count: int) -> None:
    """Adds a snapshot with the key ranges of the newest one."""
    newest = max((held_snapshot for held_snapshot, _, _ in shards), default=0)
    docs = sample_documents(index, snapshot, count)
    for held_snapshot, lo, hi in list(shards):
        if held_snapshot == newest:
            shards[snapshot, lo, hi] = build_shard(docs, lo, hi)


def retire(shards: ShardMap, snapshot: int) -> None:
    """Removes a snapshot."""
    for key in [key for key in shards if key[0] == snapshot]:
        del shards[key]


def split(shards: ShardMap, snapshot: int, lo: int, hi: int) -> None:
    """Splits a key range of a snapshot into two halves."""
    shard = shards.pop((snapshot, lo, hi))
    middle = (lo + hi) // 2
    for start, end in ((lo, middle), (middle, hi)):
        shards[snapshot, start, end] = _cut_range(shard, start, end)


def merge(shards: ShardMap, snapshot: int, lo: int, hi: int) -> None:
    """Merges all ranges inside a key range of a snapshot into one."""
    parts = [key for key in shards if key[0] == snapshot and lo <= key[1] < hi]
    docs, total = {}, 0
    for key in sorted(parts):
        shard = shards.pop(key)
        docs, total = docs | shard.docs, shard.total_docs
    merged = build_shard(docs, lo, hi)
    shards[snapshot, lo, hi] = dataclasses.replace(merged, total_docs=total)


def _cut_range(shard, lo, hi):
    part = build_shard(shard.docs, lo, hi)
    return dataclasses.replace(part, total_docs=shard.total_docs)
