"""Defines the core types: ids, states, records and outcomes.

Every type that is used by more than one package is defined here, so that
the decision logic, the listeners and the codecs share one vocabulary. All
records are immutable. Times are in seconds. Fields whose names end in
``wall`` and the start and expiry of a contract hold wall-clock times since
the epoch. Unless described otherwise, other points in time are on the
monotonic clock of one process.
"""

from collections import abc
import dataclasses
import enum
import math
import typing

ContractId = typing.NewType('ContractId', str)
RequestId = typing.NewType('RequestId', str)
ArrivalId = typing.NewType('ArrivalId', int)
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
TenantName = typing.NewType('TenantName', str)
KeyDigest = typing.NewType('KeyDigest', str)
Region = typing.NewType('Region', str)

# Exclusive upper end of the key space that an index's shards partition.
KEY_SPACE_END = 1 << 32
NO_REVISION = Revision(0)


class Rank(enum.Enum):
    """Priority of a contract's work; urgent work is served first."""

    URGENT = 'urgent'
    ORDINARY = 'ordinary'
    DEFERRABLE = 'deferrable'


class ContractState(enum.Enum):
    """State of a contract; a withdrawn one is kept as a tombstone."""

    ACTIVE = 'active'
    WITHDRAWN = 'withdrawn'


class ReplicaState(enum.Enum):
    """State of a replica as observed by its owner."""

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
    """State of the claim on a non-idempotent request."""

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
    LEAVING = 'leaving'
    PAUSED = 'paused'
    KEY_WITHDRAWN = 'key_withdrawn'
    UNCONFIRMED = 'unconfirmed'
    OVER_QUOTA = 'over_quota'


class UnknownReason(enum.Enum):
    """Why it is not known whether a request ran."""

    REPLY_LOST = 'reply_lost'
    CONNECTION_LOST = 'connection_lost'
    TIMEOUT = 'timeout'
    ABANDONED = 'abandoned'
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
    """Whether the requests of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'


class ListedState(enum.Enum):
    """State of a replica in the platform's registry."""

    READY = 'ready'
    DRAINING = 'draining'


class AttemptKind(enum.Enum):
    """Why a request is sent to a replica."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """Half-open range ``[lo, hi)`` of an index's key space."""

    lo: int
    hi: int


WHOLE_KEY_SPACE = KeyRange(0, KEY_SPACE_END)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port of a listener."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """Service level that an operator grants to a batch of work.

    Attributes:
        latency_target: Seconds within which answers are due.
        start: Wall-clock second from which the contract is in force.
        expiry: Wall-clock second from which it is no longer in force.
        batch: Name of the batch.
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
    """Settings that apply to all nodes and that operators can change.

    Attributes:
        shares: Guaranteed share of a replica's work, by rank.
        hedge_budget: Hedges as a share of sub-requests.
        retry_budget: Hedges and retries together as a share of
            sub-requests.
    """

    shares: abc.Mapping[Rank, float]
    hedge_budget: float
    retry_budget: float


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Operator's setting of whether a replica receives new work."""

    replica_id: ReplicaId
    drained: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Operators' rules for requests with one host and path prefix.

    Attributes:
        host: Host name of the requests, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        repeat: Whether the requests are idempotent.
        rank: Priority of the requests.
        target: Seconds after which an answer is worth less.
        timeout: Longest time that a caller waits, seconds.
        max_attempts: Largest number of replicas to which one request is
            sent, for each shard if the route has shards.
        splits: Services with their weights; empty if there are shards.
        shards: Services that each hold a part of the answer.
        top_k: Number of records in a merged answer.
        min_coverage: Smallest share of the shards that an answer may have.
        is_public: Whether its requests need no API key.
        homes: Regions whose replicas may run its requests; empty for all.
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
    is_public: bool = False
    homes: frozenset[Region] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """Customer whose callers send an API key.

    Attributes:
        key_digests: Digests of its API keys.
        rank: Priority that replaces the one of the route, or None.
        rate: Requests per second that all nodes together serve; 0 for no
            limit.
        burst: Requests that are served beyond the rate.
        homes: Regions whose replicas may run its requests; empty for all.
    """

    name: TenantName
    key_digests: frozenset[KeyDigest]
    rank: Rank | None = None
    rate: float = 0.0
    burst: float = 0.0
    homes: frozenset[Region] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """Operator's request that the replicas of a data centre get no work."""

    dc: DataCentre


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests of callers, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one version of the operators' configuration.

    Attributes:
        max_conns: Connections that a replica accepts from all of its
            callers together, by service.
        limits: Limits on requests of callers.
        tenants: Tenants; if there are any, requests carry an API key.
    """

    version: int
    routes: tuple[Route, ...]
    max_conns: abc.Mapping[ServiceName, int]
    limits: CallerLimits = CallerLimits()
    tenants: tuple[Tenant, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedReplica:
    """Replica of a service as the platform's registry lists it.

    Attributes:
        slots: Number of requests that it runs concurrently.
        warmup: Seconds after its start in which it is slow.
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
    """Node as listed by its own record in the store.

    Attributes:
        incarnation: Wall-clock millisecond of the process start.
    """

    node_id: NodeId
    address: Address
    dc: DataCentre
    incarnation: Incarnation


ConfigBody = (
    Contract
    | FleetSettings
    | Drain
    | RouteTable
    | Evacuation
    | ListedReplica
    | ListedNode
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRecord:
    """One configuration record at a revision of the store.

    Nodes exchange key, value and revision; the other fields are decoded
    from the value when a node receives the record.

    Attributes:
        value: JSON text, as stored by the platform's key-value service.
        revision: The store's modification revision of the key.
        change_ids: Ids of the latest changes, oldest first.
        changed_wall: Wall-clock second of the last change, on the clock
            of the node that wrote it.
        body: Decoded value, or None if the value is malformed. It may also
            be a Conviction, whose module depends on this one.
    """

    key: ConfigKey
    value: str
    revision: Revision
    change_ids: tuple[ChangeId, ...] = ()
    changed_wall: float = 0.0
    body: ConfigBody | None = None


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Holding:
    """Key range of an index snapshot that a replica holds.

    Attributes:
        docs: Documents in the key range.
        total_docs: Documents in the whole snapshot.
    """

    index: IndexName
    snapshot: SnapshotId
    key_range: KeyRange
    docs: int
    total_docs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """Replica of an upstream as known in its data centre.

    Attributes:
        epoch: Increases with each start of the replica.
        version: Increases with each change within an epoch.
        slots: Number of requests that it runs concurrently.
        max_conns: Largest number of connections that it accepts.
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
    """Record of a node in the membership view."""

    node_id: NodeId
    address: Address
    dc: DataCentre
    state: MemberState
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Durable claim on the only execution of a non-idempotent request.

    Attributes:
        token: Identifies the attempt that made the claim.
        node: Node that made the claim.
        result: Result of the request, empty until the state is DONE.
        revision: The store's revision of the record that was read.
        result_omitted: Whether the result was too large to store.
    """

    state: ClaimState
    token: ClaimToken
    node: NodeId
    result: str = ''
    revision: Revision = NO_REVISION
    result_omitted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SearchRequest:
    """Search request of a caller.

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
        is_first: Whether the caller states that it has never sent the
            request id before, to any node.
    """

    request_id: RequestId
    contract_id: ContractId
    index: IndexName
    body: str
    budget: float | None = None
    is_first: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Key range of a snapshot that one sub-search covers.

    Attributes:
        docs: Documents in the key range.
        candidates: Replicas that hold the key range.
    """

    index: IndexName
    snapshot: SnapshotId
    key_range: KeyRange
    docs: int
    candidates: tuple[ReplicaId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Disjoint pieces of one snapshot that together form a search.

    Attributes:
        total_docs: Documents of the whole index in the snapshot.
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
        deadline: Monotonic second of this process after which the reply is
            useless.
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
    """The sub-request certainly did not run at the replica."""

    reason: NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class SubGone:
    """The replica does not hold the requested snapshot and key range."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubUnknown:
    """The sub-request may have run, but no usable reply was received."""

    reason: UnknownReason


@dataclasses.dataclass(frozen=True, slots=True)
class SubFailed:
    """The replica replied with an error; the sub-request may have run."""

    detail: str


SubOutcome = SubAnswer | SubDone | SubNotRun | SubGone | SubUnknown | SubFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Complete answer to a search."""

    snapshot: SnapshotId
    hits: tuple[Hit, ...]
    docs_searched: int
    total_docs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """Result of a non-idempotent request, reported to callers as complete."""

    result: str


@dataclasses.dataclass(frozen=True, slots=True)
class Partial:
    """Answer to a search that covers only part of a snapshot."""

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
    """Outcome of one sub-request and state of its connection.

    Attributes:
        latency: Seconds from the first byte sent to the outcome.
        broken: Whether a connection was lost with the request in flight.
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
        updates: Records that are piggybacked on the message.
    """

    seq: int
    sender: Member
    updates: tuple[Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a member to probe a target that did not acknowledge."""

    seq: int
    sender: Member
    target: Member
    updates: tuple[Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a probe, or relays an acknowledgement."""

    seq: int
    sender: Member
    updates: tuple[Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Announces that the sender shuts down; its state is LEAVING."""

    sender: Member
    updates: tuple[Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Asks a node for its full table of members and replicas."""

    sender: Member


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Part of a node's table of members and replicas.

    Attributes:
        is_join: Whether it answers a Join rather than a Digest.
    """

    sender: Member
    updates: tuple[Update, ...]
    is_join: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Checksums of the sender's table.

    Attributes:
        sums: One checksum for each bucket of records.
        is_reply: Whether it answers a Digest; a reply is not answered.
    """

    sender: Member
    sums: tuple[int, ...]
    is_reply: bool = False


Gossip = Probe | ProbeRequest | Ack | Leave | Join | Table | Digest


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """Answer of a replica's owner to a sub-request.

    Attributes:
        latency: Seconds that the replica took, without the queue delay.
        delays: Expected queue delay at the owner in seconds, by rank.
        service: Moving average of the replica's service time for all
            nodes, in seconds; 0 if unknown.
    """

    outcome: SubOutcome
    latency: float = 0.0
    delays: tuple[tuple[Rank, float], ...] = ()
    service: float = 0.0


class EntryState(enum.Enum):
    """State of a queue entry; it changes only once, from WAITING."""

    WAITING = 'waiting'
    TAKEN = 'taken'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'


class SuspectState(enum.Enum):
    """State of a request that was in flight when an upstream crashed."""

    CLEARED = 'cleared'
    SUSPECT = 'suspect'
    CONVICTED = 'convicted'


class SendCheck(enum.Enum):
    """Whether a sub-request may be sent to a replica now."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Record of a request that is suspected of crashing upstreams.

    Attributes:
        modified_wall: Wall-clock second of the last change.
        expiry_wall: Wall-clock second at which the record expires.
    """

    fingerprint: Fingerprint
    state: SuspectState
    modified_wall: float
    expiry_wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigBatch:
    """Configuration records that are sent together.

    A batch with ``since < complete_to`` holds every record whose
    revision lies in (since, complete_to]. A pushed batch makes no
    statement about completeness, and both are 0.

    Attributes:
        age: Seconds since a node confirmed the batch with the store.
        confirmed_boot: Boot-clock second of this node at which the batch was
            confirmed, if its sender has stated it; -infinity otherwise.
        more: Whether the sender has further records for which the batch
            had no room.
    """

    records: tuple[ConfigRecord, ...] = ()
    complete_to: Revision = NO_REVISION
    since: Revision = NO_REVISION
    age: float = math.inf
    more: bool = False
    confirmed_boot: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class SearchReport:
    """Outcome and cost of a finished search, for the metrics.

    Attributes:
        rank: Rank of the contract, or None without a contract.
        seconds: Time from arrival to the outcome.
        sent: Number of all sub-requests.
        hedges: Number of sub-requests that were hedges.
        retries: Number of sub-requests that were retries or reroutes.
        replans: How often the whole search was planned again.
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
    """Identifies a claim; the request id is in its canonical form."""

    contract_id: ContractId
    request_id: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWritten:
    """A conditional write of a claim took effect."""

    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState:
    """Configuration of a node.

    Attributes:
        complete_to: The node has, or has compacted, every record up to
            this revision of the store.
        newest_revision: Highest revision of a record.
    """

    records: abc.Mapping[ConfigKey, ConfigRecord] = dataclasses.field(
        default_factory=dict
    )
    complete_to: Revision = NO_REVISION
    newest_revision: Revision = NO_REVISION


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """Operator's request to withdraw a contract."""

    contract_id: ContractId


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Operator's change of one record.

    Attributes:
        change_id: Identifies the change, so that a repeated request has
            no second effect.
        expected: Revision that the record must have, 0 if it must not
            exist.
    """

    change_id: ChangeId
    expected: Revision
    target: ConfigBody | Withdrawal


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is durable; the record may include later changes."""

    record: ConfigRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The change was not made, because some of its fields are invalid."""

    errors: tuple[FieldError, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """The change was not made, because another change came first.

    Attributes:
        winner: Current record, or None if there is none.
    """

    winner: ConfigRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The change may still take effect; retry it with the same id."""

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
    """The record is unchanged after a write whose reply was lost.

    The write must be sent again.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWritten:
    """A conditional write of a record took effect."""

    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimConflict:
    """A conditional write that can no longer take effect.

    Attributes:
        current: Current record, or None if there is none.
    """

    current: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnsent:
    """A write that certainly had no effect and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUncertain:
    """A write without a reply; it may have taken effect or still do so."""


ClaimWriteReply = ClaimWritten | ClaimConflict | ClaimUnsent | ClaimUncertain


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFound:
    """Reply to a read, which may be older than the last write."""

    claim: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnread:
    """A read without a usable reply."""


ClaimReadReply = ClaimFound | ClaimUnread


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Next step of an attempt: write a claim.

    Attributes:
        expected: Revision that the record must have, NO_REVISION if it
            must not exist.
    """

    claim: Claim
    expected: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBack:
    """Next step of an attempt: read whether a write took effect."""

    attempted: WriteClaim


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchOrder:
    """Last step of an attempt that holds the claim: dispatch the request.

    Attributes:
        claim: The attempt's own record with its revision.
    """

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerOrder:
    """Last step of an attempt: answer without dispatching the request.

    Attributes:
        is_checked: Whether the outcome holds for every attempt with the
            same id, because the claim was read or fenced.
    """

    outcome: Outcome
    is_checked: bool = True


ClaimStep = WriteClaim | ReadBack | DispatchOrder | AnswerOrder


@dataclasses.dataclass(frozen=True, slots=True)
class StoreConflict:
    """A conditional write of a record that did not take effect.

    Attributes:
        current: Current record in the store, or None if there is none.
    """

    current: ConfigRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A call to the store without a reply; a write may have succeeded."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of a node, as reported to operators.

    Attributes:
        revision: Revision of the configuration in use.
        config_age: Seconds since the configuration was last confirmed.
    """

    node_id: NodeId
    dc: DataCentre
    incarnation: Incarnation
    revision: Revision
    config_age: float
    members: tuple[Member, ...]
    replicas: tuple[Replica, ...]
    stopping: bool


# Assumed for a caller whose network round trip is not known.
DEFAULT_ROUND_TRIP = 0.006  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidKey:
    """The caller sent a malformed API key, or more than one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Tenant of a request and the digest of the key that proved it."""

    tenant: TenantName
    digest: KeyDigest


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """Request of a caller that is forwarded to replicas unchanged.

    Attributes:
        target: Path and query as the caller sent them.
        headers: Headers to forward, without those of the connection.
        budget: Seconds that the caller waits.
        caller: Caller that sent the request, empty if unknown.
        round_trip: Seconds of a network round trip to the caller.
        elapsed: Seconds that the caller has waited in addition to the transit
            of the request.
        identity_headers: Headers that name the caller's identity. They are
            forwarded only where the configuration has no tenants.
        credential: What the caller states about its API key.
        identity: Tenant of the request, once its key was found.
        arrival: Random number of this arrival at a node, 0 if unknown. Repeats
            of a caller that reuses a request id differ in it.
    """

    request_id: RequestId
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    budget: float
    caller: CallerId = CallerId('')
    round_trip: float = DEFAULT_ROUND_TRIP
    elapsed: float = 0.0
    identity_headers: tuple[tuple[str, str], ...] = ()
    credential: KeyDigest | InvalidKey | None = None
    identity: Identity | None = None
    arrival: ArrivalId = ArrivalId(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a replica reported with an answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run at the same time.
        slowdown: Time that work takes at this moment, as a multiple of the
            usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaNotice:
    """What a replica says about itself, whatever it answers.

    Attributes:
        load: Its load, if reported.
        is_leaving: Whether it shuts down and wants no more requests.
        pause: Seconds for which it wants no request from this node, or None.
        has_malformed_load: Whether the load could not be read.
    """

    load: ReportedLoad | None = None
    is_leaving: bool = False
    pause: float | None = None
    has_malformed_load: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Complete reply of a replica.

    Attributes:
        signature: The replica's proof that the reply is its own, or empty.
        is_closing: Whether the replica closes the connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signature: str = ''
    is_closing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """The replica ran the request and sent a complete reply."""

    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The replica did not run the request and never will."""

    reason: NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The replica may have run the request; no usable reply was received."""

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
        signatures: Signature of each shard in the answer.
        missing: Number of shards that are not in the answer.
    """

    body: bytes
    signatures: tuple[str, ...]
    missing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The request has not run and never will.

    Attributes:
        retry_after: Seconds after which the caller should try again.
    """

    reason: NotRunReason
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route of the active configuration matches the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unauthorised:
    """The request lacks a valid API key and has not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """The request ran, or may have, without a usable answer."""

    reason: FailureReason


RequestOutcome = (
    Forwarded | Gathered | Declined | NoRoute | Unauthorised | Unanswered
)


@dataclasses.dataclass(frozen=True, slots=True)
class ShardGroup:
    """Shards of a route that one node queries.

    Attributes:
        shard_positions: Indexes into the shards of the route, ascending.
        owners: Nodes that may query these shards, the preferred one first;
            empty for the node that received the request.
    """

    shard_positions: tuple[int, ...]
    owners: tuple[ListedNode, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupQuery:
    """Query of one node to another for some shards of a route.

    Attributes:
        version: Version of the configuration that lists the shards.
        shard_positions: Indexes into the shards of the route.
        due: Monotonic second of this process at which an answer is sent
            if it has enough shards.
        deadline: Monotonic second after which an answer is useless.
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
        seconds: Time that the query took at the other node.
        missing_positions: Indexes into the query's ``shard_positions`` of the
            shards that are not in the answer.
    """

    outcome: Gathered | Declined | Unanswered
    seconds: float
    missing_positions: tuple[int, ...] = ()
