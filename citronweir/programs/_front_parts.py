"""Holds the state of a front node, which the wiring passes around."""

import dataclasses
import random

import aiohttp

from citronweir import core
from citronweir import nodes
from citronweir import platform
from citronweir import service
from citronweir import telemetry
from citronweir import upstreams


@dataclasses.dataclass(slots=True)
class FrontParts:
    """State of a front node.

    Attributes:
        loads: What this node observed of each replica.
        windows: Latencies by route and data centre of the replica.
        group_windows: The same for answers of other nodes.
        node_loads: What this node observed of each other node.
        round_trips: Seconds to each node and back.
        plans: Splits of each route's shards, with their end of use.
        crash_reports: Requests that ran at replicas when these crashed.
        unsent_reports: Crash reports to send to the other nodes next.
        turn: Which of the splits is next.
        sent: Number of the last request to a replica or node.
        started: Monotonic second of the start.
        lost_at: Monotonic second since which the store is silent.
        is_stopping: Whether SIGTERM has come.
    """

    boot: platform.BootSettings
    own: core.ListedNode
    identity: nodes.Identity
    rng: random.Random
    session: aiohttp.ClientSession
    lanes: upstreams.Lanes
    links: nodes.Links
    extra: core.ExtraLoad
    locality: core.Locality
    log_limits: telemetry.LogLimits
    started: float
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
        tuple[core.RouteName, int],
        tuple[core.Route, float, tuple[core.ShardGroup, ...]],
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
    turn: int = 0
    sent: int = 0
    lost_at: float | None = None
    is_stopping: bool = False
