"""Defines the state of a front node, which all its wiring shares."""

import asyncio
import dataclasses
import math
import random

import aiohttp

from citronweir import core
from citronweir import nodes
from citronweir import platform
from citronweir import service
from citronweir import telemetry
from citronweir import upstreams


@dataclasses.dataclass(slots=True)
class FrontContext:
    """State of a front node.

    Attributes:
        intake: Memory that requests being received or handled take.
        started_at: Monotonic second at which the node started.
        loads: Load and latency observed for each replica.
        windows: Latencies by route and data centre of the replica.
        usual_times: Mean seconds of an answer by route and data centre of
            the replica.
        group_windows: Latencies of group answers by route and data centre
            of the node that answered.
        node_loads: Load and latency observed for each other node.
        round_trips: Seconds of a network round trip to each node.
        plans: Cached groups by route, its home regions and plan variant, with
            the shards that they were made for and the monotonic second of
            their expiry.
        crash_reports: Requests that ran at replicas when these crashed.
        unsent_reports: Crash reports to send to other nodes next.
        convictions: Refused requests that the store records.
        pauses: Replicas that asked this node for a pause.
        quotas: Quotas of tenants that this node keeps or draws on.
        plan_variant: Variant of the cached groups in use.
        last_request_number: Number of the last request to a replica or
            node.
        store_era: Era of the store that this node's records come from.
        config_write: Writes a configuration that the store has lost.
        store_lost_at: Monotonic second since which the store has not
            answered, or None.
        is_stopping: Whether the node received SIGTERM.
        stop_at: Monotonic second at which the node then ends its requests.
    """

    boot: platform.BootSettings
    own: core.ListedNode
    identity: nodes.Identity
    rng: random.Random
    session: aiohttp.ClientSession
    channels: upstreams.Channels
    links: nodes.Links
    extra: core.ExtraLoad
    locality: core.Locality
    intake: core.Intake
    log_limits: telemetry.LogLimits
    started_at: float
    counters: telemetry.Counters = dataclasses.field(
        default_factory=telemetry.make_counters
    )
    config: service.Configuration = dataclasses.field(
        default_factory=service.Configuration
    )
    catalogue: service.Catalogue = dataclasses.field(
        default_factory=service.Catalogue
    )
    loads: dict[core.ReplicaId, core.ReplicaLoad] = dataclasses.field(
        default_factory=dict
    )
    windows: dict[
        tuple[core.RouteName, core.DataCentre], core.LatencyWindow
    ] = dataclasses.field(default_factory=dict)
    usual_times: dict[tuple[core.RouteName, core.DataCentre], float] = (
        dataclasses.field(default_factory=dict)
    )
    group_windows: dict[
        tuple[core.RouteName, core.DataCentre], core.LatencyWindow
    ] = dataclasses.field(default_factory=dict)
    node_loads: dict[core.NodeId, core.ReplicaLoad] = dataclasses.field(
        default_factory=dict
    )
    round_trips: dict[core.NodeId, float] = dataclasses.field(
        default_factory=dict
    )
    plans: dict[
        tuple[core.RouteName, frozenset[core.Region], int],
        tuple[
            tuple[core.ServiceName, ...], float, tuple[core.ShardGroup, ...]
        ],
    ] = dataclasses.field(default_factory=dict)
    registration: service.Registration = dataclasses.field(
        default_factory=service.Registration
    )
    crash_reports: core.CrashReportTable = dataclasses.field(
        default_factory=core.CrashReportTable
    )
    unsent_reports: list[tuple[core.ReplicaReport, float]] = dataclasses.field(
        default_factory=list
    )
    convictions: core.ConvictionTable = dataclasses.field(
        default_factory=core.ConvictionTable
    )
    pauses: core.PauseTable = dataclasses.field(default_factory=dict)
    quotas: service.Quotas = dataclasses.field(default_factory=service.Quotas)
    plan_variant: int = 0
    last_request_number: int = 0
    store_era: int = 0
    config_write: asyncio.Task | None = None
    store_lost_at: float | None = None
    is_stopping: bool = False
    stop_at: float = math.inf
