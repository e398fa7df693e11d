"""Defines the core types: ids, states, records and outcomes.

Every type that crosses a module border lives here, so that decisions,
front ends and codecs share one vocabulary. All records are immutable.
Times are seconds: wall-clock times since the epoch where the field says
``wall``, monotonic times of one process otherwise.
"""

from collections import abc
import dataclasses
import enum
import math
import typing

ContractId = typing.NewType('ContractId', str)
RequestId = typing.NewType('RequestId', str)
CallerId = typing.NewType('CallerId', str)
ChangeId = typing.NewType('ChangeId', str)
NodeId = typing.NewType('NodeId', str)
ReplicaId = typing.NewType('ReplicaId', str)
DataCentre = typing.NewType('DataCentre', str)
IndexName = typing.NewType('IndexName', str)
SnapshotId = typing.NewType('SnapshotId', int)
Revision = typing.NewType('Revision', int)
Incarnation = typing.NewType('Incarnation', int)
Epoch = typing.NewType('Epoch', int)
Fingerprint = typing.NewType('Fingerprint', str)
ClaimToken = typing.NewType('ClaimToken', str)
ConfigKey = typing.NewType('ConfigKey', str)
ServiceName = typing.NewType('ServiceName', str)
RouteName = typing.NewType('RouteName', str)

# Exclusive upper end of the key space that the shards of an index divide.
KEY_SPACE_END = 1 << 32
NO_REVISION = Revision(0)


class Rank(enum.Enum):
    """Rank of a contract; urgent work is served first."""

    URGENT = 'urgent'
    ORDINARY = 'ordinary'
    DEFERRABLE = 'deferrable'


class ContractState(enum.Enum):
    """State of a contract record; a withdrawn one stays as a tombstone."""

    ACTIVE = 'active'
    WITHDRAWN = 'withdrawn'


class ReplicaState(enum.Enum):
    """State of a replica as its owner sees it."""

    WARMING = 'warming'
    READY = 'ready'
    DRAINING = 'draining'
    FAILED = 'failed'


class MemberState(enum.Enum):
    """State of a node in the membership view of its data centre."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class ClaimState(enum.Enum):
    """State of the claim of a non-idempotent request."""

    CLAIMED = 'claimed'
    DONE = 'done'
    VOID = 'void'


class NotRunReason(enum.Enum):
    """Why a request or sub-request did not run."""

    NO_CONTRACT = 'no_contract'
    NOT_IN_FORCE = 'not_in_force'
    NO_CONFIGURATION = 'no_configuration'
    NO_REPLICA = 'no_replica'
    OVERLOADED = 'overloaded'
    QUEUE_FULL = 'queue_full'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    DEADLINE_PASSED = 'deadline_passed'
    CANCELLED = 'cancelled'
    STOPPING = 'stopping'
    DRAINING = 'draining'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'
    OWNER_UNREACHABLE = 'owner_unreachable'
    QUARANTINED = 'quarantined'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    INVALID_ID = 'invalid_id'
    MISDIRECTED = 'misdirected'


class UnknownReason(enum.Enum):
    """Why it is not known whether a request ran."""

    REPLY_LOST = 'reply_lost'
    CONNECTION_LOST = 'connection_lost'
    TIMEOUT = 'timeout'
    CLAIMED_ELSEWHERE = 'claimed_elsewhere'
    ID_EXPIRED = 'id_expired'
    NOT_CHECKED = 'not_checked'
    INTERNAL_ERROR = 'internal_error'


class FailureReason(enum.Enum):
    """Why a request ran, or may have run, without a usable answer."""

    DEADLINE_PASSED = 'deadline_passed'
    NO_COVERAGE = 'no_coverage'
    UPSTREAM_ERROR = 'upstream_error'
    INTERNAL_ERROR = 'internal_error'
    RESULT_NOT_KEPT = 'result_not_kept'


class Idempotency(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'


class ListedState(enum.Enum):
    """State of a replica in the registry of the platform."""

    READY = 'ready'
    DRAINING = 'draining'


class AttemptKind(enum.Enum):
    """Why a request is sent to a replica."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """Half-open range of an index's key space."""

    lo: int
    hi: int


WHOLE_KEY_SPACE = KeyRange(0, KEY_SPACE_END)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP number and TCP port of a listener."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """Promise of an operator for a batch of work.

    Attributes:
        start: Wall-clock second from which the contract is in force.
        expiry: Wall-clock second from which it is no longer in force.
        latency_target: Seconds within which answers are due.
    """

    contract_id: ContractId
    rank: Rank
    latency_target: float
    start: float
    expiry: float
    batch: str = ''
    state: ContractState = ContractState.ACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings that the operators change for the whole fleet at once.

    Attributes:
        shares: Share of a replica's work that each rank keeps.
        hedge_budget: Hedges as a share of sub-requests.
        retry_budget: Retries as a share of sub-requests.
    """

    shares: abc.Mapping[Rank, float]
    hedge_budget: float
    retry_budget: float


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Operator's decision whether a replica takes new work."""

    replica_id: ReplicaId
    drained: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Contract of an operator for the requests under one path.

    Attributes:
        host: Host name that the caller asks for, lower case.
        prefix: Path prefix; begins and ends with a slash.
        target: Seconds within which an answer has its full worth.
        timeout: Longest time that a caller is kept waiting, seconds.
        max_attempts: Replicas that one request may be sent to; for each
            shard where there are shards.
        splits: Services with their weights; empty where there are shards.
        shards: Services that each hold a part of the answer.
        top_k: Records in a merged answer.
        min_coverage: Share of the shards that an answer needs.
    """

    name: RouteName
    host: str
    prefix: str
    repeat: Idempotency
    rank: Rank
    target: float
    timeout: float
    max_attempts: int
    splits: tuple[tuple[ServiceName, float], ...] = ()
    shards: tuple[ServiceName, ...] = ()
    top_k: int = 0
    min_coverage: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send; bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one version of the operators' configuration.

    Attributes:
        max_conns: Connections that a replica of each service accepts
            from all callers together.
    """

    version: int
    routes: tuple[Route, ...]
    max_conns: abc.Mapping[ServiceName, int]
    limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedReplica:
    """Replica of a service as the platform's registry lists it.

    Attributes:
        slots: Requests that it runs at the same time.
        warmup: Seconds for which it is slow after its start.
        epoch: Wall-clock millisecond of its start.
    """

    replica_id: ReplicaId
    service: ServiceName
    address: Address
    dc: DataCentre
    state: ListedState
    slots: int = 1
    warmup: float = 0.0
    epoch: Epoch = Epoch(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ListedNode:
    """Node of the system as its own record in the store lists it.

    Attributes:
        incarnation: Wall-clock millisecond of the process start.
    """

    node_id: NodeId
    address: Address
    dc: DataCentre
    incarnation: Incarnation


ConfigBody = (
    Contract | FleetSettings | Drain | RouteTable | ListedReplica | ListedNode
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRecord:
    """One configuration record at the store's revision.

    Nodes exchange key, value and revision; the other fields are read
    from the value where a record enters a node.

    Attributes:
        value: JSON text, as stored by the platform's key-value service.
        revision: The store's modification revision of the key.
        change_ids: Ids of the last changes, oldest first.
        changed_wall: Wall-clock second of the last change, on the clock
            of the node that wrote it.
        body: What the value says, or None if it cannot be read.
    """

    key: ConfigKey
    value: str
    revision: Revision
    change_ids: tuple[ChangeId, ...] = ()
    changed_wall: float = 0.0
    body: ConfigBody | None = None


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Holding:
    """Key range of one snapshot of an index that a replica can search."""

    index: IndexName
    snapshot: SnapshotId
    key_range: KeyRange
    docs: int
    total_docs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """What the data centre knows of one replica of an upstream.

    Attributes:
        epoch: Grows with each start of the replica.
        version: Grows with each change within an epoch.
        slots: Requests that it runs at the same time.
        max_conns: Connections that it accepts in all.
    """

    replica_id: ReplicaId
    address: Address
    state: ReplicaState
    holdings: tuple[Holding, ...] = ()
    epoch: Epoch = Epoch(0)
    version: int = 0
    slots: int = 1
    max_conns: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One node in the membership view."""

    node_id: NodeId
    address: Address
    dc: DataCentre
    state: MemberState
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Durable claim on the single run of a non-idempotent request.

    Attributes:
        result: Result of the run, empty until the state is DONE.
        revision: The store's revision of the record that was read.
        result_omitted: Whether the run's result was too large to keep.
    """

    state: ClaimState
    token: ClaimToken
    node: NodeId
    result: str = ''
    revision: Revision = NO_REVISION
    result_omitted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SearchRequest:
    """Search of a caller.

    Attributes:
        budget: Seconds from arrival within which the answer is due, or
            None for the contract's latency target.
        limit: Largest number of hits in the answer.
    """

    request_id: RequestId
    contract_id: ContractId
    index: IndexName
    query: str
    limit: int = 10
    budget: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRequest:
    """Non-idempotent request of a caller, such as a work order.

    Attributes:
        is_first: Whether the caller states that it has sent the request
            id to no node before.
    """

    request_id: RequestId
    contract_id: ContractId
    index: IndexName
    body: str
    budget: float | None = None
    is_first: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Range of a snapshot to search and the replicas that hold it."""

    index: IndexName
    snapshot: SnapshotId
    key_range: KeyRange
    docs: int
    candidates: tuple[ReplicaId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Disjoint pieces of one snapshot that a search covers.

    Attributes:
        total_docs: Documents of the whole index at the snapshot.
    """

    index: IndexName
    snapshot: SnapshotId
    total_docs: int
    pieces: tuple[Piece, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Hit:
    """One matching document."""

    doc_id: str
    score: float
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubSearch:
    """Search of one piece, sent to one replica.

    Attributes:
        deadline: Monotonic second of this process by which the reply
            is of use.
        trace: W3C ``traceparent`` of the sending span, or empty.
        suspect: Whether the request is suspected of crashing upstreams.
    """

    request_id: RequestId
    index: IndexName
    snapshot: SnapshotId
    key_range: KeyRange
    query: str
    limit: int
    rank: Rank
    deadline: float
    trace: str = ''
    suspect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SubOrder:
    """Non-idempotent request, sent at most once to one replica."""

    request_id: RequestId
    index: IndexName
    body: str
    rank: Rank
    deadline: float
    trace: str = ''


SubRequest = SubSearch | SubOrder


@dataclasses.dataclass(frozen=True, slots=True)
class SubAnswer:
    """Reply of a replica to a sub-search."""

    snapshot: SnapshotId
    key_range: KeyRange
    docs_searched: int
    docs: int
    total_docs: int
    hits: tuple[Hit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SubDone:
    """Reply of a replica to a non-idempotent request."""

    result: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubNotRun:
    """The sub-request did not run at the replica, with certainty."""

    reason: NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class SubGone:
    """The replica does not hold the snapshot and range asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubUnknown:
    """The sub-request may have run; no usable reply came."""

    reason: UnknownReason


@dataclasses.dataclass(frozen=True, slots=True)
class SubFailed:
    """The replica answered with an error after it may have run."""

    detail: str


SubOutcome = SubAnswer | SubDone | SubNotRun | SubGone | SubUnknown | SubFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Whole answer to a search."""

    snapshot: SnapshotId
    hits: tuple[Hit, ...]
    docs_searched: int
    total_docs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """Result of a non-idempotent request; callers see it as complete."""

    result: str


@dataclasses.dataclass(frozen=True, slots=True)
class Partial:
    """Answer from part of one snapshot."""

    snapshot: SnapshotId
    hits: tuple[Hit, ...]
    docs_searched: int
    total_docs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run."""

    reason: NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It is not known whether the request ran."""

    reason: UnknownReason


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request ran, or may have, without a usable answer."""

    reason: FailureReason


Outcome = Complete | Executed | Partial | Refused | Unknown | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class FieldError:
    """Error of one field of a caller's or operator's message."""

    field: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubReport:
    """Outcome of one sub-request with what was seen of the connection.

    Attributes:
        latency: Seconds from the first byte sent to the outcome.
        broken: Whether a connection died with the request in flight.
        unreachable: Whether the replica then refused a new connection.
    """

    outcome: SubOutcome
    latency: float = 0.0
    broken: bool = False
    unreachable: bool = False


Update = Member | Replica


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a member for an acknowledgement.

    Attributes:
        seq: Number that the acknowledgement repeats.
        sender: The sender's own record.
        updates: Records that ride on the message.
    """

    seq: int
    sender: Member
    updates: tuple[Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a member to probe another one that did not acknowledge."""

    seq: int
    sender: Member
    target: Member
    updates: tuple[Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a probe, or passes on the acknowledgement."""

    seq: int
    sender: Member
    updates: tuple[Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Announces that the sender shuts down; its record says LEAVING."""

    sender: Member
    updates: tuple[Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Asks a node for its whole table."""

    sender: Member


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Chunk of a node's table.

    Attributes:
        is_join: Whether it answers a Join, not a Digest.
    """

    sender: Member
    updates: tuple[Update, ...]
    is_join: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Checksums of the sender's table.

    Attributes:
        sums: One checksum for each bucket of records.
        is_reply: Whether it answers a Digest; it is not answered again.
    """

    sender: Member
    sums: tuple[int, ...]
    is_reply: bool = False


Gossip = Probe | ProbeRequest | Ack | Leave | Join | Table | Digest


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """Answer of a replica's owner to a sub-request.

    Attributes:
        latency: Seconds that the replica took, without the queue.
        delays: Expected seconds in the owner's queue, by rank.
        service: Smoothed seconds of the replica's answers to all nodes,
            0 if unknown.
    """

    outcome: SubOutcome
    latency: float = 0.0
    delays: tuple[tuple[Rank, float], ...] = ()
    service: float = 0.0


class EntryState(enum.Enum):
    """State of an entry of an owner's queue; each leaves WAITING once."""

    WAITING = 'waiting'
    TAKEN = 'taken'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'


class SuspectState(enum.Enum):
    """What is known of a request that was in flight at a crash."""

    CLEARED = 'cleared'
    SUSPECT = 'suspect'
    CONVICTED = 'convicted'


class SendCheck(enum.Enum):
    """Whether a sub-request may go to a replica now."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Record of a request that may crash upstreams.

    Attributes:
        at_wall: Wall-clock second of the last change.
        until_wall: Wall-clock second at which the record expires.
    """

    fingerprint: Fingerprint
    state: SuspectState
    modified_wall: float
    expiry_wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigBatch:
    """Configuration records that travel together.

    A batch with ``since < complete_to`` holds every record whose
    revision lies in (since, complete_to]. A pushed batch claims nothing
    about completeness: both are 0.

    Attributes:
        age: Seconds since a node confirmed the batch with the store.
        more: Whether the sender holds more than fitted in the batch.
    """

    records: tuple[ConfigRecord, ...] = ()
    complete_to: Revision = NO_REVISION
    since: Revision = NO_REVISION
    age: float = math.inf
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SearchReport:
    """What a finished search cost, for the metrics.

    Attributes:
        rank: Rank of the contract, or None without a contract.
        seconds: From arrival to the outcome.
        sent: Sub-requests in all.
        hedges: Sub-requests that were hedges.
        retries: Sub-requests that followed another outcome.
        replans: Times that the whole search was planned again.
    """

    rank: Rank | None
    outcome: Outcome
    seconds: float
    sent: int = 0
    hedges: int = 0
    retries: int = 0
    replans: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """What a claim is for; the request id is in its canonical form."""

    contract_id: ContractId
    request_id: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWritten:
    """A conditional write of a claim that took effect."""

    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState:
    """Configuration of a node.

    Attributes:
        complete_to: The node has, or has compacted, every record up to
            this revision of the store.
        newest: Highest revision of a record.
    """

    records: abc.Mapping[ConfigKey, ConfigRecord] = dataclasses.field(
        default_factory=dict
    )
    complete_to: Revision = NO_REVISION
    newest_revision: Revision = NO_REVISION


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """Operator's wish to withdraw a contract."""

    contract_id: ContractId


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Operator's change of one record.

    Attributes:
        change_id: Names the change; a repeat has no second effect.
        expected: Revision that the record must have, 0 if absent.
    """

    change_id: ChangeId
    expected: Revision
    target: ConfigBody | Withdrawal


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is durable; the record may hold later changes too."""

    record: ConfigRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The change was not made, because of its fields."""

    errors: tuple[FieldError, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """The change was not made, because another one came first.

    Attributes:
        winner: The record that holds, or None if there is none.
    """

    winner: ConfigRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The change may yet take effect; repeat it with the same id."""

    change_id: ChangeId


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUnavailable:
    """The change was not made; the store did not answer."""

    detail: str


ChangeOutcome = (
    ChangeAccepted
    | ChangeInvalid
    | ChangeConflict
    | ChangeUnknown
    | ChangeUnavailable
)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryWrite:
    """The record is unchanged after a write whose reply was lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWritten:
    """A conditional write of a record that took effect."""

    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimConflict:
    """A conditional write that cannot take effect any more.

    Attributes:
        current: The record that stands, or None if there is none.
    """

    current: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnsent:
    """A write that certainly took no effect and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUncertain:
    """A write without a reply; it may take effect, even later."""


ClaimWriteReply = ClaimWritten | ClaimConflict | ClaimUnsent | ClaimUncertain


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFound:
    """Reply of a read; it may be older than the last write."""

    claim: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnread:
    """A read without a usable reply."""


ClaimReadReply = ClaimFound | ClaimUnread


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Next step of an attempt: write a record.

    Attributes:
        expected: Revision at which the record must be, NO_REVISION if
            it must be absent.
    """

    claim: Claim
    expected: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBack:
    """Next step of an attempt: read what became of a write."""

    attempted: WriteClaim


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchOrder:
    """Last step of an attempt: its claim stands, it may dispatch.

    Attributes:
        claim: The attempt's own record with its revision.
    """

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerOrder:
    """Last step of an attempt: it answers and never dispatches.

    Attributes:
        is_checked: Whether the outcome holds for every attempt with the
            id, since the claim was read or fenced.
    """

    outcome: Outcome
    is_checked: bool = True


ClaimStep = WriteClaim | ReadBack | DispatchOrder | AnswerOrder


@dataclasses.dataclass(frozen=True, slots=True)
class StoreConflict:
    """A conditional write of a record that did not take effect.

    Attributes:
        current: Record that the store holds, or None if absent.
    """

    current: ConfigRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A call of the store without a reply; a write may have worked."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """What a node reports to the operators.

    Attributes:
        config_age: Seconds since the configuration was confirmed.
    """

    node_id: NodeId
    dc: DataCentre
    incarnation: Incarnation
    revision: Revision
    config_age: float
    members: tuple[Member, ...]
    replicas: tuple[Replica, ...]
    stopping: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """Request of a caller that goes on to replicas unchanged.

    Attributes:
        target: Path and query as the caller sent them.
        headers: Fields to send on, without those of the connection.
        budget: Seconds that the caller waits.
        caller: Who sent it, empty if that is not known.
    """

    request_id: RequestId
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    budget: float
    caller: CallerId = CallerId('')


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Whole reply of a replica.

    Attributes:
        signature: The replica's proof of its own answer, or empty.
        load: Running and waiting requests and slots, or None.
        is_closing: Whether the replica ends the connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signature: str = ''
    load: tuple[int, int, int] | None = None
    is_closing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """The replica ran the request and sent a whole reply."""

    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The replica did not run the request and never will."""

    reason: NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The replica may have run the request; no usable reply came."""

    reason: UnknownReason


AttemptOutcome = Replied | NotRun | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """The reply of one replica is the answer."""

    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """Merged answer of the shards of one version of the configuration.

    Attributes:
        signatures: One for each shard that is in.
        missing: Shards that are left out.
    """

    body: bytes
    signatures: tuple[str, ...]
    missing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The request has not run and never will.

    Attributes:
        retry_after: Seconds after which a new attempt makes sense.
    """

    reason: NotRunReason
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route of the configuration in force matches the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """The request ran, or may have, without a usable answer."""

    reason: FailureReason


RequestOutcome = Forwarded | Gathered | Declined | NoRoute | Unanswered


@dataclasses.dataclass(frozen=True, slots=True)
class ShardGroup:
    """Shards of a route that one node asks.

    Attributes:
        places: Positions in the shards of the route, ascending.
        owners: Nodes that may ask them, the preferred one first; empty
            for the node that has the request.
    """

    shard_positions: tuple[int, ...]
    owners: tuple[ListedNode, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupQuery:
    """Request for some shards of a route, from one node to another.

    Attributes:
        version: Version of the configuration that names the shards.
        due: Monotonic second of this process at which an answer with
            enough shards goes out as it is.
        deadline: Monotonic second after which no answer is of use.
    """

    version: int
    route: RouteName
    shard_positions: tuple[int, ...]
    req: HttpRequest
    due: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class GroupAnswer:
    """Answer to a group query.

    Attributes:
        outcome: Gathered; Declined if no replica was asked; Unanswered
            otherwise.
        seconds: Time that it took at the other node.
        absent: Positions in the places of the query that are not in.
    """

    outcome: Gathered | Declined | Unanswered
    seconds: float
    missing_positions: tuple[int, ...] = ()
