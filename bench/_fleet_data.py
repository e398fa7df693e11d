"""Builds test data for measurements at the planned fleet size."""

import time

from citronweir import core
from citronweir import metastore
from citronweir import service

INDEX = core.IndexName('readings')
SNAPSHOT = core.SnapshotId(1001)
DOCS = 100_000  # documents per piece
HITS = 10  # hits per reply
CANDIDATES = 5  # replicas per piece; 2,750 replicas of 490 pieces are 5.6
SNAPSHOTS_PER_REPLICA = 2  # the newest and the previous one
REQUEST_ID = core.RequestId('01936d3c-7a5e-7000-8000-000000000000')
TRACE = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
DC = core.DataCentre('dc1')


def make_range(number: int, pieces: int) -> core.KeyRange:
    """Builds the key range of a piece."""
    end = core.KEY_SPACE_END
    return core.KeyRange(end * number // pieces, end * (number + 1) // pieces)


def make_replica(
    number: int, pieces: int, version: int = 1, port: int = 9000
) -> core.Replica:
    """Builds the record of a replica that holds one piece.

    Args:
        number: Number of the replica; it holds piece ``number % pieces``.
        pieces: Number of pieces of the index.
        version: Version of the record.
        port: Port on which the replica listens.

    Returns:
        The record.
    """
    key_range = make_range(number % pieces, pieces)
    holdings = tuple(
        core.Holding(
            INDEX,
            core.SnapshotId(SNAPSHOT - age),
            key_range,
            DOCS,
            DOCS * pieces,
        )
        for age in range(SNAPSHOTS_PER_REPLICA)
    )
    return core.Replica(
        core.ReplicaId(f'readings-{number:05d}'),
        core.Address('127.0.0.1', port),
        core.ReplicaState.READY,
        holdings,
        core.Epoch(1),
        version,
        2,
        25,
    )


def make_table(replicas: int, pieces: int) -> core.ReplicaTable:
    """Builds a table of replicas that are all warmed up."""
    table = core.ReplicaTable()
    now = time.monotonic()
    for number in range(replicas):
        replica = make_replica(number, pieces)
        core.update_replica(table, replica, now)
        state = table.observed[replica.replica_id]
        state.latency, state.samples = 0.01, 100
        state.warm_since = now - 1000
    return table


def make_members(count: int) -> list[core.Member]:
    """Builds the members of a data centre."""
    return [
        core.Member(
            core.NodeId(f'entry-{number:05d}'),
            core.Address(f'10.0.{number // 250}.{number % 250}', 7003),
            DC,
            core.MemberState.ALIVE,
            core.Incarnation(1_796_380_000_000 + number),
        )
        for number in range(count)
    ]


def make_sub_search(
    key_range: core.KeyRange, budget: float = 10.0
) -> core.SubSearch:
    """Builds a sub-search for a piece."""
    return core.SubSearch(
        REQUEST_ID,
        INDEX,
        SNAPSHOT,
        key_range,
        'pump line pressure',
        HITS,
        core.Rank.URGENT,
        time.monotonic() + budget,
        TRACE,
    )


def make_answer(
    key_range: core.KeyRange, pieces: int, hits: int = HITS
) -> core.SubAnswer:
    """Builds the reply of a replica to a sub-search for a piece."""
    return core.SubAnswer(
        SNAPSHOT,
        key_range,
        DOCS,
        DOCS,
        DOCS * pieces,
        tuple(
            core.Hit(
                f'pump-{key_range.lo}-{at}',
                1.0 / (1 + at + key_range.lo % 97),
                'pressure of the line behind the pump',
            )
            for at in range(hits)
        ),
    )


def make_contract(number: int, wall_now: float) -> core.Contract:
    """Builds a contract that is in force."""
    return core.Contract(
        core.ContractId(f'contract-{number:06d}'),
        core.Rank.URGENT,
        0.34,
        wall_now - 3600,
        wall_now + 86400 * 28,
        f'batch-{number // 100}',
    )


def make_contract_record(
    contract: core.Contract, revision: core.Revision
) -> core.ConfigRecord:
    """Builds the stored, encoded record of a contract."""
    key = core.contract_key(contract.contract_id)
    ids = tuple(
        core.ChangeId(f'01936d3c-7a5e-7000-8000-00000000000{at}')
        for at in range(2)
    )
    record = core.ConfigRecord(key, '', revision, ids, 0.0, contract)
    return core.ConfigRecord(key, metastore.encode_record(record), revision)


def count_owned_replicas(
    assignment: core.Assignment,
    membership: core.Membership,
    replicas: list[core.ReplicaId],
) -> int:
    """Looks up the owner of each replica, as the probes do every second.

    Returns:
        Number of replicas that this node owns.
    """
    own = membership.records.node_id
    return sum(
        service.find_owner(assignment, membership, replica_id).node_id == own
        for replica_id in replicas
    )
