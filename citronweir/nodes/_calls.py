"""Sends requests and one-way messages to other nodes."""

import asyncio
import dataclasses
import math
import time

from citronweir import core
from citronweir.nodes import _codec as codec
from citronweir.nodes import _links as links_
from citronweir.nodes import _messages as messages
from citronweir.nodes import _server as server
from citronweir.nodes import _streams as streams

# Messages queued while a stream is being opened. The membership table for
# a joining node takes about 70.
MAX_QUEUED_MESSAGES = 256


async def call_sub(
    links: links_.Links,
    member: core.Member,
    replica_id: core.ReplicaId,
    sub: core.SubRequest,
) -> core.OwnerAnswer:
    """Runs a sub-request at the owner of a replica.

    Args:
        links: State of the outgoing streams.
        member: Owner of the replica.
        replica_id: The replica.
        sub: The sub-request; its deadline bounds the call.

    Returns:
        The owner's reply. SubNotRun(OWNER_UNREACHABLE) if the request was
        never written to the stream, SubUnknown if it may have been.
    """
    reply = await _request(
        links,
        member,
        lambda seq: messages.Call(seq, replica_id, sub),
        sub.deadline,
    )
    match reply:
        case messages.Reply():
            return reply.answer
        case links_.CallFailure.NOT_WRITTEN:
            outcome = core.SubNotRun(core.NotRunReason.OWNER_UNREACHABLE)
        case links_.CallFailure.TIMEOUT:
            outcome = core.SubUnknown(core.UnknownReason.TIMEOUT)
        case _:
            outcome = core.SubUnknown(core.UnknownReason.REPLY_LOST)
    return core.OwnerAnswer(outcome)


async def call_group(
    links: links_.Links, node: core.ListedNode, query: core.GroupQuery
) -> core.GroupAnswer:
    """Sends a query for a group of shards to another node.

    Args:
        links: State of the outgoing streams.
        node: Node that sends the query to the shards.
        query: The query; its deadline bounds the call.

    Returns:
        The node's answer. Declined if the query was never written to the
        stream, Unanswered if it may have been.
    """
    reply = await _request(
        links, node, lambda seq: messages.Gather(seq, query), query.deadline
    )
    match reply:
        case messages.Group():
            return reply.answer
        case links_.CallFailure.NOT_WRITTEN:
            outcome = core.Declined(core.NotRunReason.OWNER_UNREACHABLE, 0.0)
        case _:
            outcome = core.Unanswered(core.FailureReason.UPSTREAM_ERROR)
    return core.GroupAnswer(outcome, 0.0)


async def fetch_config(
    links: links_.Links,
    member: core.Member | core.ListedNode,
    complete_to: core.Revision,
    timeout: float,
) -> core.ConfigBatch | None:
    """Fetches newer configuration records from a node.

    Args:
        links: State of the outgoing streams.
        member: Node to fetch from.
        complete_to: Revision up to which this node has all records.
        timeout: Seconds to wait.

    Returns:
        The records, or None if no reply came or the other node has no
        complete configuration yet.
    """
    reply = await _request(
        links,
        member,
        lambda seq: messages.Sync(seq, complete_to),
        time.monotonic() + timeout,
    )
    return reply.batch if isinstance(reply, messages.Conf) else None


def send_gossip(
    links: links_.Links, address: core.Address, message: core.Gossip
) -> bool:
    """Sends a membership message without waiting for a reply.

    Args:
        links: State of the outgoing streams.
        address: Listener of the other node.
        message: The message.

    Returns:
        Whether the message was queued; it can still be lost.
    """
    return _send_or_queue(links, address, message)


def send_config(
    links: links_.Links, address: core.Address, batch: core.ConfigBatch
) -> bool:
    """Pushes configuration records without waiting, like ``send_gossip``."""
    return all(
        _send_or_queue(links, address, messages.Conf(0, chunk))
        for chunk in server.split_batch(batch)
    )


def send_suspect(
    links: links_.Links, address: core.Address, record: core.Suspicion
) -> bool:
    """Sends the record of a suspected request, like ``send_gossip``."""
    return _send_or_queue(links, address, messages.Suspect(record))


def send_reports(
    links: links_.Links,
    address: core.Address,
    reports: tuple[tuple[core.ReplicaReport, float], ...],
) -> bool:
    """Sends reports of ends and answers, like ``send_gossip``."""
    return _send_or_queue(links, address, messages.Reports(reports))


def send_departures(
    links: links_.Links,
    address: core.Address,
    departures: tuple[core.Departure, ...],
) -> bool:
    """Sends the departures of replicas, like ``send_gossip``."""
    return _send_or_queue(links, address, messages.Departures(departures))


async def spend(
    links: links_.Links,
    node: core.ListedNode,
    tenant: core.TenantName,
    count: float,
    is_asking: bool,
    timeout: float,
) -> core.QuotaDecision | None:
    """Takes tokens from the quota of a tenant at the node that keeps it.

    Args:
        links: State of the outgoing streams.
        node: Node that may keep the quota.
        tenant: The tenant.
        count: Number of tokens; negative to give some back.
        is_asking: Whether a request waits for the decision.
        timeout: Seconds to wait.

    Returns:
        The decision, or None if none came.
    """
    reply = await _request(
        links,
        node,
        lambda seq: messages.Spend(seq, tenant, count, is_asking),
        time.monotonic() + timeout,
    )
    return reply.decision if isinstance(reply, messages.Spent) else None


def send_limited(
    links: links_.Links,
    address: core.Address,
    tenant: core.TenantName,
    seconds: float,
) -> bool:
    """Sends the notice that a tenant is near its limit."""
    return _send_or_queue(links, address, messages.Limited(tenant, seconds))


def _translate_confirmation(link, message):
    """States the time of a confirmation in the clock of the receiver.

    The pong of the other node is assumed to have taken no time, so the time
    can only be too early, however long the message waits on its way.
    """
    batch = message.batch
    confirmed_boot = -math.inf
    if link.clocks is not None:
        other_boot, own_boot = link.clocks
        confirmed_boot = other_boot + (batch.confirmed_boot - own_boot)
    return dataclasses.replace(
        message,
        batch=dataclasses.replace(batch, confirmed_boot=confirmed_boot),
    )


def _send_or_queue(links, address, message):
    if links.is_closed:
        return False
    link = links_.get_link(links, address)
    if isinstance(message, messages.Conf):
        message = _translate_confirmation(link, message)
    if link.state is links_.LinkState.OPEN:
        frame = codec.encode(message, time.monotonic())
        return streams.send(link.stream, frame)
    if (
        link.state is links_.LinkState.OPENING
        and len(link.queued) < MAX_QUEUED_MESSAGES
    ):
        link.queued.append(message)
        return True
    return False


async def _request(links, member, make_message, deadline):
    if links.is_closed:
        return links_.CallFailure.NOT_WRITTEN
    link = links_.get_link(links, member.address)
    if link.state is links_.LinkState.OPENING:
        # All callers share this task, so the deadline or cancellation of
        # one must not cancel it. asyncio.wait leaves it running.
        remaining = max(0.0, deadline - time.monotonic())
        await asyncio.wait((link.task,), timeout=remaining)
    if (
        link.state is not links_.LinkState.OPEN
        or link.node_id != member.node_id
    ):
        return links_.CallFailure.NOT_WRITTEN
    stream = link.stream
    link.seq += 1
    seq = link.seq
    frame = codec.encode(make_message(seq), time.monotonic())
    if not streams.send(stream, frame, seq):
        return links_.CallFailure.NOT_WRITTEN
    loop = asyncio.get_running_loop()
    link.pending_replies[seq] = future = loop.create_future()
    timer = loop.call_at(deadline, _time_out, stream, seq, future)
    try:
        return await future
    finally:
        timer.cancel()
        # After a reconnect, the sequence number may belong to a newer
        # request.
        if link.pending_replies.get(seq) is future:
            del link.pending_replies[seq]
            _send_cancel(stream, seq)
            links_.close_if_drained(links, link)


def _time_out(stream, seq, future):
    if not future.done():
        is_unwritten = seq in stream.unwritten
        future.set_result(
            links_.CallFailure.NOT_WRITTEN
            if is_unwritten
            else links_.CallFailure.TIMEOUT
        )


def _send_cancel(stream, seq):
    frame = codec.encode(messages.Cancel(seq), 0.0)
    streams.send(stream, frame)
