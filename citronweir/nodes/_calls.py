"""Requests and messages to other nodes over the outgoing streams."""

import asyncio
import time

from citronweir import core
from citronweir.nodes import _codec as codec
from citronweir.nodes import _links as links_
from citronweir.nodes import _messages as messages
from citronweir.nodes import _server as server
from citronweir.nodes import _streams as streams

# Messages kept for a stream that is being opened; the whole table for a
# joining node is about 70.
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
        certainly not written, SubUnknown if it may have been.
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
    """Has another node ask a group of shards.

    Args:
        links: State of the outgoing streams.
        node: Whom to ask.
        query: The query; its deadline bounds the call.

    Returns:
        The node's answer. Declined if the query was certainly not
        written, Unanswered if it may have been.
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
    """Asks a node for newer configuration records.

    Args:
        links: State of the outgoing streams.
        member: Whom to ask.
        complete_to: Revision up to which this node has everything.
        timeout: Seconds to wait.

    Returns:
        The records, or None without an answer or while the node has
        no whole configuration.
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
    """Sends a message of the membership without waiting for anything.

    Args:
        links: State of the outgoing streams.
        address: Listener of the other node.
        message: What to send.

    Returns:
        Whether the message was taken; it can still be lost.
    """
    return _send_or_queue(links, address, message)


def send_config(
    links: links_.Links, address: core.Address, batch: core.ConfigBatch
) -> bool:
    """Pushes configuration records; like ``send_gossip``."""
    return all(
        _send_or_queue(links, address, messages.Conf(0, chunk))
        for chunk in server.split_batch(batch)
    )


def send_suspect(
    links: links_.Links, address: core.Address, record: core.Suspicion
) -> bool:
    """Sends the record of a suspected request; like ``send_gossip``."""
    return _send_or_queue(links, address, messages.Suspect(record))


def send_reports(
    links: links_.Links,
    address: core.Address,
    reports: tuple[tuple[core.ReplicaReport, float], ...],
) -> bool:
    """Sends reports of ends and answers; like ``send_gossip``."""
    return _send_or_queue(links, address, messages.Reports(reports))


def _send_or_queue(links, address, message):
    if links.is_closed:
        return False
    link = links_.get_link(links, address)
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
        # The task is shared by all callers, so one caller's deadline or
        # cancellation must not cancel it.
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
        # After a reconnect the number may belong to a newer request.
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
