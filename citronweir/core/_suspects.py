"""Finds requests that crash the upstreams that run them.

Callers retry such a request, and each retry crashes another replica.
Requests that were in flight at a crash become suspects. Two suspects never
run at one replica at the same time, so a second crash identifies the cause.
"""

import collections
from collections import abc
import dataclasses
import hashlib

from citronweir.core import _data as data

QUARANTINE_TIME = 600.0  # seconds
# A completed request counts as seen, and needs no canary, for this time.
SEEN_TIME = 60.0  # seconds
# Maximum number of seen fingerprints; at 171 searches a second a node sees
# about 10,000 in the 60 s of SEEN_TIME.
SEEN_LIMIT = 20_000
MAX_RECORDS = 10_000  # suspicions

# States in ascending precedence, for records of the same time.
_ORDER = (
    data.SuspectState.CLEARED,
    data.SuspectState.SUSPECT,
    data.SuspectState.CONVICTED,
)


@dataclasses.dataclass(slots=True)
class SuspectTable:
    """Suspicions known to a node, and requests that run at its replicas.

    Attributes:
        in_flight: Running requests of each fingerprint, by replica.
        seen: Wall-clock second of the last completion.
    """

    records: dict[data.Fingerprint, data.Suspicion] = dataclasses.field(
        default_factory=dict
    )
    in_flight: dict[data.ReplicaId, collections.Counter] = dataclasses.field(
        default_factory=dict
    )
    seen: collections.OrderedDict[data.Fingerprint, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def make_fingerprint(sub: data.SubRequest) -> data.Fingerprint:
    """Hashes the content of a sub-request, without ids and ranges."""
    text = sub.query if isinstance(sub, data.SubSearch) else sub.body
    return fingerprint_text(sub.index, text)


def fingerprint_text(index: data.IndexName, text: str) -> data.Fingerprint:
    """Hashes a query or an order's body together with its index."""
    digest = hashlib.blake2b(
        f'{index}\0{text}'.encode(errors='surrogatepass'), digest_size=12
    )
    return data.Fingerprint(digest.hexdigest())


def check_send(
    table: SuspectTable,
    replica_id: data.ReplicaId,
    fingerprint: data.Fingerprint,
    now: float,
) -> data.SendCheck:
    """Decides whether a request may go to a replica now.

    Args:
        table: Suspicions of the node.
        replica_id: Replica to send the request to.
        fingerprint: Fingerprint of the request.
        now: Wall clock, seconds.

    Returns:
        REFUSE for a convicted request; WAIT for a suspect while another
        suspect runs at the replica.
    """
    state = find_state(table, fingerprint, now)
    if state is data.SuspectState.CONVICTED:
        return data.SendCheck.REFUSE
    if state is data.SuspectState.SUSPECT:
        running = table.in_flight.get(replica_id, ())
        if _find_suspects(table, running, now):
            return data.SendCheck.WAIT
    return data.SendCheck.SEND


def needs_canary(
    table: SuspectTable,
    fingerprint: data.Fingerprint,
    now: float,
    canary_unseen: bool,
) -> bool:
    """Decides whether one replica, the canary, must answer before a fan-out.

    Args:
        table: Suspicions of the node.
        fingerprint: Fingerprint of the request.
        now: Wall clock, seconds.
        canary_unseen: Whether unseen requests need a canary as well.
    """
    if find_state(table, fingerprint, now) is data.SuspectState.SUSPECT:
        return True
    seen = table.seen.get(fingerprint)
    return canary_unseen and (seen is None or now - seen > SEEN_TIME)


def find_state(
    table: SuspectTable, fingerprint: data.Fingerprint, now: float
) -> data.SuspectState | None:
    """Returns the state of an unexpired record, or None."""
    record = table.records.get(fingerprint)
    if record is None or record.expiry_wall <= now:
        return None
    return record.state


def start_request(
    table: SuspectTable,
    replica_id: data.ReplicaId,
    fingerprint: data.Fingerprint,
) -> None:
    """Records that a request has started at a replica."""
    running = table.in_flight.setdefault(replica_id, collections.Counter())
    running[fingerprint] += 1


def end_request(
    table: SuspectTable,
    replica_id: data.ReplicaId,
    fingerprint: data.Fingerprint,
) -> None:
    """Records that a request has ended at a replica."""
    running = table.in_flight[replica_id]
    running[fingerprint] -= 1
    if not running[fingerprint]:
        del running[fingerprint]
    if not running:
        del table.in_flight[replica_id]


def list_in_flight(
    table: SuspectTable, replica_id: data.ReplicaId
) -> frozenset[data.Fingerprint]:
    """Returns the fingerprints of the requests at a replica."""
    return frozenset(table.in_flight.get(replica_id, ()))


def report_crash(
    table: SuspectTable,
    in_flight: abc.Collection[data.Fingerprint],
    now: float,
) -> list[data.Suspicion]:
    """Marks requests that were in flight at a crash as suspects.

    If exactly one of them is a suspect already, it is the cause: it is
    convicted, and the others do not become suspects.

    Args:
        table: Suspicions of the node.
        in_flight: Requests that were running at the replica.
        now: Wall clock, seconds.

    Returns:
        Changed records, to send to the other nodes.
    """
    earlier_suspects = _find_suspects(table, in_flight, now)
    if len(earlier_suspects) == 1:
        changed, state = earlier_suspects, data.SuspectState.CONVICTED
    else:
        changed, state = sorted(in_flight), data.SuspectState.SUSPECT
    records = [
        data.Suspicion(fingerprint, state, now, now + QUARANTINE_TIME)
        for fingerprint in changed
    ]
    return [record for record in records if merge_record(table, record, now)]


def clear_request(
    table: SuspectTable, fingerprint: data.Fingerprint, now: float
) -> data.Suspicion | None:
    """Records that every shard has answered a search, and clears a suspect.

    The reply of a single shard clears nothing: the request may crash only
    replicas of another shard.

    Args:
        table: Suspicions of the node.
        fingerprint: Fingerprint of the search.
        now: Wall clock, seconds.

    Returns:
        The cleared record, to send to the other nodes, or None if the
        request was not a suspect.
    """
    table.seen[fingerprint] = now
    table.seen.move_to_end(fingerprint)
    while len(table.seen) > SEEN_LIMIT:
        table.seen.popitem(last=False)
    if find_state(table, fingerprint, now) is not data.SuspectState.SUSPECT:
        return None
    cleared = data.SuspectState.CLEARED
    record = data.Suspicion(fingerprint, cleared, now, now + QUARANTINE_TIME)
    return record if merge_record(table, record, now) else None


def merge_record(
    table: SuspectTable, record: data.Suspicion, now: float
) -> bool:
    """Merges a record of this or another node.

    The result does not depend on the order of merges. A conviction holds
    until it expires. Otherwise the latest change wins, and at equal times a
    suspicion takes precedence over a clearance.

    Args:
        table: Suspicions of the node.
        record: New record.
        now: Wall clock, seconds.

    Returns:
        Whether the table changed.
    """
    if (
        record.expiry_wall <= now
        or record.expiry_wall > now + 2 * QUARANTINE_TIME
    ):
        return False
    known = table.records.get(record.fingerprint)
    if known is not None and _precedence(record) <= _precedence(known):
        return False
    if known is None and len(table.records) >= MAX_RECORDS:
        expire_records(table, now)
        if len(table.records) >= MAX_RECORDS:
            return False
    table.records[record.fingerprint] = record
    return True


def expire_records(table: SuspectTable, now: float) -> None:
    """Removes expired records."""
    for fingerprint, record in list(table.records.items()):
        if record.expiry_wall <= now:
            del table.records[fingerprint]


def _precedence(record):
    """Returns the key by which a record takes precedence over another."""
    convicted = record.state is data.SuspectState.CONVICTED
    at = record.expiry_wall if convicted else record.modified_wall
    return at, _ORDER.index(record.state)


def _find_suspects(table, fingerprints, now):
    return [
        fingerprint
        for fingerprint in fingerprints
        if find_state(table, fingerprint, now) is data.SuspectState.SUSPECT
    ]
