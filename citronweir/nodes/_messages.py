"""Defines the messages that only streams between nodes need.

Messages that carry decisions are core types; these are about the
stream itself and about matching replies to requests.
"""

import dataclasses

from citronweir import core

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the listener; the nonce goes into the MAC."""

    version: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of the connecting node.

    Attributes:
        mac: MAC of the cluster key over the challenge and the identity.
        nonce: What the listener's own MAC has to cover.
    """

    version: int
    node_id: core.NodeId
    incarnation: core.Incarnation
    dc: core.DataCentre
    mac: bytes
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Identity of the listener, after the Hello was accepted."""

    version: int
    node_id: core.NodeId
    incarnation: core.Incarnation
    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a Pong when nothing else was received for a while."""

    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers a Ping with the wall clock of the listener."""

    seq: int
    wall: float


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
    """Nobody waits for the reply to a Call any more."""

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
        batch: The records, or None if the node has no whole
            configuration yet.
    """

    seq: int
    batch: core.ConfigBatch | None


@dataclasses.dataclass(frozen=True, slots=True)
class Gather:
    """Request for a group of shards that the receiver asks."""

    seq: int
    query: core.GroupQuery


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Answer to a Gather."""

    seq: int
    answer: core.GroupAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """Suspected request, for the receiver's own table."""

    record: core.Suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Reports:
    """What nodes saw of requests under which replicas ended.

    Attributes:
        reports: Each with the monotonic second at which it was seen.
    """

    reports: tuple[tuple[core.ReplicaReport, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Bye:
    """The listener shuts down; it still answers what was written.

    The connecting node writes no further request and closes the stream
    when it has its replies, so that no request is cut off between the
    two ends.
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
    | Bye
    | core.Gossip
)


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Frame that cannot be read; its connection is closed."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """Frame of a type that a later version has added."""

    kind: str
