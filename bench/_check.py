"""Checks that the hits of a reply come from the snapshot that it names."""

from collections import abc

from fakes import _index as index_data
from fakes import fleet as fleets

SNAPSHOTS = (1, 2)


def make_check(
    index: fleets.IndexSpec,
) -> abc.Callable[[dict], bool]:
    """Builds a function that checks the coverage and hits of a reply."""
    documents_by_snapshot = {
        snapshot: index_data.sample_documents(index.name, snapshot, index.docs)
        for snapshot in SNAPSHOTS
    }

    def check(reply):
        if 'snapshot' not in reply:
            return True
        documents = documents_by_snapshot.get(reply['snapshot'], {})
        return 0.0 <= reply['coverage'] <= 1.0 and all(
            documents.get(hit['id']) == hit['text'] for hit in reply['hits']
        )

    return check
