"""Calls to a running fleet, shared by the process tests."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import time
import typing

import aiohttp
from google.protobuf import timestamp_pb2
import uuid6

from citronweir import callers
from citronweir import core
from citronweir import operators
from citronweir.operators import messages as pb
from fakes import fleet as fleets

CONTRACT = 'urgent-1'
POLL_INTERVAL = 0.02  # seconds


@dataclasses.dataclass(slots=True)
class RevisionHistory:
    """Configuration revisions that polling has seen at every node.

    Attributes:
        latest: Latest revision by (node, process id, key).
        decreases: Decreases of a revision; must stay empty.
        first_seen_at: Monotonic time at which a node first had a revision,
            by (node, key, revision).
        polls: Number of polls that were answered.
    """

    latest: dict[tuple, int] = dataclasses.field(default_factory=dict)
    decreases: list[tuple] = dataclasses.field(default_factory=list)
    first_seen_at: dict[tuple, float] = dataclasses.field(default_factory=dict)
    polls: int = 0


async def call_operators_api(
    session: aiohttp.ClientSession,
    fleet: fleets.Fleet,
    node: str,
    method: str,
    msg: typing.Any,
) -> typing.Any:
    """Calls a method of the operators' API of a node."""
    url = f'http://{fleets.HOST}:{fleet.nodes[node].operators}'
    return await operators.call(session, url, fleets.OPERATOR_KEY, method, msg)


def make_contract(
    contract_id: str = CONTRACT,
    start: float = -1.0,
    expiry: float = 600.0,
    batch: str = '',
) -> pb.Contract:
    """Builds an urgent contract; start and expiry are seconds from now."""
    now = time.time()
    return pb.Contract(
        contract_id=contract_id,
        rank=pb.RANK_URGENT,
        latency_target_seconds=2.0,
        start=_make_timestamp(now + start),
        expiry=_make_timestamp(now + expiry),
        batch=batch,
    )


def _make_timestamp(seconds):
    timestamp = timestamp_pb2.Timestamp()
    timestamp.FromMicroseconds(round(seconds * 1e6))
    return timestamp


async def create_contract(
    session: aiohttp.ClientSession,
    fleet: fleets.Fleet,
    node: str,
    contract: pb.Contract | None = None,
) -> pb.ContractRecord:
    """Creates a contract through a node."""
    msg = pb.CreateContractRequest(
        change_id=str(uuid6.uuid7()), contract=contract or make_contract()
    )
    reply = await call_operators_api(
        session, fleet, node, 'CreateContract', msg
    )
    assert isinstance(reply, pb.ContractRecord), reply
    return reply


async def read_revisions(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, node: str
) -> dict[str, int] | None:
    """Reads the revision of each contract; None if the call fails."""
    msg = pb.ListContractsRequest(page_size=500)
    reply = await call_operators_api(
        session, fleet, node, 'ListContracts', msg
    )
    if isinstance(reply, operators.RpcError):
        return None
    return {
        item.contract.contract_id: item.revision for item in reply.contracts
    }


async def has_propagated(
    session: aiohttp.ClientSession,
    fleet: fleets.Fleet,
    contract_id: str,
    revision: int,
    nodes: abc.Iterable[str] | None = None,
) -> bool:
    """Returns whether nodes have a contract at this or a later revision."""
    names = fleet.nodes if nodes is None else nodes
    held = [await read_revisions(session, fleet, name) for name in names]
    return all(
        item is not None and item.get(contract_id, 0) >= revision
        for item in held
    )


async def read_status(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, node: str
) -> pb.Status | operators.RpcError:
    """Reads the status of a node."""
    return await call_operators_api(
        session, fleet, node, 'GetStatus', pb.GetStatusRequest()
    )


async def read_health(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, node: str
) -> dict[str, typing.Any]:
    """Reads ``/healthz`` of a node."""
    async with session.get(f'{fleet.url(node)}/healthz') as resp:
        return await resp.json()


async def wait_until_ready(
    session: aiohttp.ClientSession,
    fleet: fleets.Fleet,
    nodes: abc.Iterable[str] | None = None,
) -> None:
    """Waits until nodes are ready and know their data centre's members."""
    names = list(fleet.nodes if nodes is None else nodes)

    async def is_ready():
        for name in names:
            try:
                health = await read_health(session, fleet, name)
            except aiohttp.ClientError:
                return False
            if not health['ready']:
                return False
            status = await read_status(session, fleet, name)
            alive = sum(item.state == 'alive' for item in status.members)
            if alive < fleet.spec.nodes:
                return False
        return True

    await fleets.wait_for(is_ready, 'all nodes to be ready')


async def post_json(
    session: aiohttp.ClientSession, port: int, path: str, fields: typing.Any
) -> None:
    """Sends a control request to a fake service."""
    url = f'http://{fleets.HOST}:{port}{path}'
    async with session.post(url, json=fields) as resp:
        resp.raise_for_status()


@contextlib.asynccontextmanager
async def poll_revisions(
    session: aiohttp.ClientSession, fleet: fleets.Fleet
) -> abc.AsyncIterator[RevisionHistory]:
    """Polls all nodes continuously; fails if a revision decreases.

    Revisions are compared within one process; a restarted node starts over.
    """
    history = RevisionHistory()
    tasks = [
        asyncio.create_task(_poll_node(session, fleet, name, history))
        for name in fleet.nodes
    ]
    try:
        yield history
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
    assert all(isinstance(item, asyncio.CancelledError) for item in results), (
        results
    )
    assert history.polls
    assert not history.decreases, history.decreases


async def _poll_node(session, fleet, name, history):
    while True:
        process = fleet.procs.get(name)
        held = await read_revisions(session, fleet, name)
        if held is not None and fleet.procs.get(name) is process:
            _record_revisions(history, name, process.pid, held)
        await asyncio.sleep(POLL_INTERVAL)


def _record_revisions(history, name, pid, held):
    history.polls += 1
    known = {
        key: revision
        for (node, owner, key), revision in history.latest.items()
        if (node, owner) == (name, pid)
    }
    for key, revision in known.items():
        if held.get(key, 0) < revision:
            history.decreases.append((name, key, revision, held.get(key)))
    for key, revision in held.items():
        history.latest[name, pid, key] = revision
        history.first_seen_at.setdefault(
            (name, key, revision), time.monotonic()
        )


def make_search_fields(
    contract: str = CONTRACT, limit: int = 10, deadline_seconds: float = 2.0
) -> dict[str, typing.Any]:
    """Returns the fields of a search."""
    return {
        'contract': contract,
        'request_id': str(uuid6.uuid7()),
        'index': 'parts',
        'query': 'worn bearing',
        'limit': limit,
        'deadline_ms': deadline_seconds * 1000,
    }


def make_order_fields(
    contract: str = CONTRACT, deadline_seconds: float = 2.0
) -> dict[str, typing.Any]:
    """Returns the fields of a work order with a unique id."""
    return {
        'contract': contract,
        'request_id': str(uuid6.uuid7()),
        'index': 'parts',
        'body': 'replace bearing 7',
        'deadline_ms': deadline_seconds * 1000,
    }


async def wait_until_serving(
    session: aiohttp.ClientSession,
    fleet: fleets.Fleet,
    nodes: abc.Iterable[str] | None = None,
) -> None:
    """Waits until nodes return complete answers to searches."""
    for name in list(fleet.nodes if nodes is None else nodes):

        async def is_complete():
            reply = await callers.post_search(
                session, fleet.url(name), make_search_fields()
            )
            return isinstance(reply, dict) and reply['outcome'] == 'complete'

        await fleets.wait_for(is_complete, f'a complete answer from {name}')


async def count_order_runs(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, order_id: str
) -> int:
    """Counts how often all upstreams together ran an order."""
    runs = 0
    for port in fleet.upstreams.values():
        async with session.get(f'http://{fleets.HOST}:{port}/orders') as resp:
            orders = (await resp.json())['orders']
        runs += sum(order_id in str(item) for item in orders)
    return runs


async def amend_contract(
    session: aiohttp.ClientSession,
    fleet: fleets.Fleet,
    node: str,
    record: pb.ContractRecord,
    batch: str,
    change_id: str | None = None,
) -> pb.ContractRecord | operators.RpcError:
    """Amends a contract; the batch distinguishes the versions."""
    msg = pb.AmendContractRequest(
        change_id=change_id or str(uuid6.uuid7()),
        expected_revision=record.revision,
        contract=make_contract(record.contract.contract_id, batch=batch),
    )
    return await call_operators_api(session, fleet, node, 'AmendContract', msg)


async def measure_propagation(
    fleet: fleets.Fleet,
    history: RevisionHistory,
    record: pb.ContractRecord,
    sent_at: float,
    nodes: abc.Iterable[str] | None = None,
) -> float:
    """Waits until nodes have a record; returns the seconds since sending."""
    names = list(fleet.nodes if nodes is None else nodes)
    key = record.contract.contract_id

    def find_time(name):
        times = [
            at
            for (node, held, revision), at in history.first_seen_at.items()
            if (node, held) == (name, key) and revision >= record.revision
        ]
        return min(times, default=None)

    async def has_propagated():
        return None not in map(find_time, names)

    await fleets.wait_for(has_propagated, f'{key} on {names}')
    return max(find_time(name) for name in names) - sent_at


async def set_store_faults(
    session: aiohttp.ClientSession,
    fleet: fleets.Fleet,
    faults: dict[str, typing.Any],
    dcs: abc.Iterable[str] | None = None,
) -> None:
    """Sets faults of the fake store for some or all data centres."""
    names = fleet.spec.dcs if dcs is None else dcs
    for port in {fleet.kv_ports[dc] for dc in names}:
        await post_json(session, port, '/faults', faults)


async def cut_streams(
    session: aiohttp.ClientSession,
    fleet: fleets.Fleet,
    *pairs: tuple[str, str],
) -> None:
    """Cuts the streams between these pairs of data centres only."""
    await post_json(session, fleet.relay_port, '/cut', pairs)


async def read_all_revisions(
    session: aiohttp.ClientSession, fleet: fleets.Fleet
) -> list[dict[str, int] | None]:
    """Reads the revisions of all contracts at every node."""
    return [await read_revisions(session, fleet, name) for name in fleet.nodes]


async def count_store_calls(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, dc: str, kind: str
) -> int:
    """Returns how many calls of a kind a data centre made to the store."""
    url = f'http://{fleets.HOST}:{fleet.kv_ports[dc]}/calls'
    async with session.get(url) as resp:
        return (await resp.json()).get(kind, 0)


async def read_store_fault(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, dc: str, name: str
) -> typing.Any:
    """Reads the value of a store fault set for a data centre."""
    url = f'http://{fleets.HOST}:{fleet.kv_ports[dc]}/faults'
    async with session.post(url, json={}) as resp:
        return (await resp.json())[name]


def list_watchers(dc: str, nodes: int) -> list[str]:
    """Lists the nodes that watch the store when all nodes are alive."""
    return sorted(_make_assignment(dc, nodes).watchers)


def find_owner(dc: str, nodes: int, replica: str) -> str:
    """Finds the node that owns a replica when all nodes are alive."""
    owner = core.find_owner(
        _make_assignment(dc, nodes), core.ReplicaId(replica)
    )
    assert owner is not None
    return owner


def _make_assignment(dc, nodes):
    members = [
        core.Member(
            core.NodeId(f'{dc}-n{number}'),
            core.Address(fleets.HOST, 1),
            core.DataCentre(dc),
            core.MemberState.ALIVE,
            core.Incarnation(1),
        )
        for number in range(nodes)
    ]
    assignment = core.Assignment()
    core.update_assignment(assignment, 1, members)
    return assignment
