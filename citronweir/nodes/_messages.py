"""Defines the messages of the protocol between nodes.

They set up and close a stream and match replies to requests. The
payloads, such as requests, answers and gossip, are core types.
"""

import dataclasses

from citronweir import core

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the listener; the MAC of the Hello covers its nonce."""

    version: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of the connecting node.

    Attributes:
        mac: MAC of the cluster key over the challenge and the identity.
        nonce: Random bytes that the MAC of the Welcome must cover.
    """

    version: int
    node_id: core.NodeId
    incarnation: core.Incarnation
    dc: core.DataCentre
    mac: bytes
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Identity of the listener; sent when the Hello was accepted.

    Attributes:
        mac: MAC of the cluster key over the nonce and the identity.
    """

    version: int
    node_id: core.NodeId
    incarnation: core.Incarnation
    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a Pong, to check that the other end is alive."""

    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers a Ping with the clocks of the listener.

    Attributes:
        boot: Boot clock in seconds, 0 if the listener doesn't state it.
    """

    seq: int
    wall: float
    boot: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Sub-request for a replica that the receiver owns."""

    seq: int
    replica_id: core.ReplicaId
    sub: core.SubRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer to a Call."""

    seq: int
    answer: core.OwnerAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a Call or a Gather whose reply is no longer needed."""

    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sync:
    """Asks for the configuration records newer than a revision."""

    seq: int
    complete_to: core.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Conf:
    """Configuration records; ``seq`` is 0 unless it answers a Sync.

    Attributes:
        batch: The records, or None while the node has no complete
            configuration. ``confirmed_boot`` is sent in the boot clock of
            the receiver.
    """

    seq: int
    batch: core.ConfigBatch | None


@dataclasses.dataclass(frozen=True, slots=True)
class Gather:
    """Request that the receiver sends to a group of shards.

    Attributes:
        accepts_packed: Whether the sender reads compressed signatures, which
            nodes of earlier versions don't.
    """

    seq: int
    query: core.GroupQuery
    accepts_packed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Answer to a Gather.

    Attributes:
        is_packed: Whether its signatures are sent compressed.
    """

    seq: int
    answer: core.GroupAnswer
    is_packed: bool = dataclasses.field(default=True, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """Record of a suspected request, for the receiver to store."""

    record: core.Suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Reports:
    """Reports of requests that were answered or during which replicas ended.

    Attributes:
        reports: Each with the monotonic second of its observation.
    """

    reports: tuple[tuple[core.ReplicaReport, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Departures:
    """Replicas that said that they are leaving."""

    departures: tuple[core.Departure, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Spend:
    """Takes tokens from the quota of a tenant, which the receiver keeps.

    Attributes:
        count: Number of tokens; negative to give some back.
        is_asking: Whether the request waits for the decision. Otherwise the
            tokens were used already.
    """

    seq: int
    tenant: core.TenantName
    count: float
    is_asking: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """Answer to a Spend."""

    seq: int
    decision: core.QuotaDecision


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """Tells nodes to ask for a token before each request of a tenant.

    Attributes:
        seconds: Time for which this holds.
    """

    tenant: core.TenantName
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bye:
    """Announces that the listener shuts down.

    The listener still answers the requests that were sent. The connecting
    node sends no more and closes the stream when it has all replies, so
    that no request is lost in transit.
    """


Message = (
    Challenge
    | Hello
    | Welcome
    | Ping
    | Pong
    | Call
    | Reply
    | Cancel
    | Sync
    | Conf
    | Gather
    | Group
    | Suspect
    | Reports
    | Departures
    | Spend
    | Spent
    | Limited
    | Bye
    | core.Gossip
)


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Frame that cannot be decoded; the receiver closes the connection."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """Frame of an unknown type, sent by a later version."""

    kind: str
