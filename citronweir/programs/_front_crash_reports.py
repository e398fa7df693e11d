"""Wires the crash reports of a front node to its requests and to peers."""

import asyncio
import dataclasses
import time

from citronweir import core
from citronweir import nodes
from citronweir import telemetry
from citronweir.programs import _front_context as contexts

# Delay before new reports are sent. Most requests whose replica crashes are
# answered by another one within this time, so that no other node needs the
# report.
SEND_DELAY = 0.1  # seconds
# Maximum number of reports in a message, of at most 200 bytes each. A message
# to one node each second takes 6 KB of the 14 KB a second that a node may
# spend on control traffic.
MAX_REPORTS = 32
# Delay before the reports that did not fit into a message are sent.
RESEND_DELAY = 0.5  # seconds
# Unsent reports that are kept. They are also sent in turn to random nodes.
MAX_UNSENT_REPORTS = 1024


def find_suspect_status(
    ctx: contexts.FrontContext, req: core.HttpRequest
) -> core.SuspectStatus | None:
    """Finds whether a request is a suspect, convicted or neither (None).

    A suspect whose next repeat has to wait is returned as convicted, and a
    convicted request that this node sends as a trial as a suspect.
    """
    if not ctx.crash_reports.entries:
        return None
    now, fingerprint = time.monotonic(), core.fingerprint_request(req)
    before = core.is_convicted(ctx.crash_reports, fingerprint, req.caller)
    suspect_status = core.classify_request(
        ctx.crash_reports, fingerprint, req.caller, now
    )
    after = core.is_convicted(ctx.crash_reports, fingerprint, req.caller)
    if before != after:
        _log_state_change(ctx, req, fingerprint, after)
    if suspect_status is None:
        return None
    if not after:
        return _throttle(ctx, fingerprint, suspect_status, now)
    return _run_due_trial(ctx, fingerprint, suspect_status, now)


def _throttle(ctx, fingerprint, suspect_status, now):
    """Delays repeats of a suspect whose conviction is pending."""
    remaining = 0.0
    if suspect_status.is_conviction_pending:
        remaining = core.throttle_suspect(ctx.crash_reports, fingerprint, now)
    if not remaining:
        return suspect_status
    return dataclasses.replace(
        suspect_status,
        state=core.SuspectState.CONVICTED,
        retry_at=now + remaining,
    )


def _run_due_trial(ctx, fingerprint, suspect_status, now):
    """Lets a convicted request through where this node runs a due trial."""
    if now < suspect_status.retry_at:
        return suspect_status
    own = ctx.own.node_id
    others = core.list_others(ctx.catalogue.nodes, own)
    ids = [own, *(node.node_id for node in others)]
    if not core.start_trial(ctx.crash_reports, fingerprint, own, ids, now):
        return suspect_status
    return dataclasses.replace(suspect_status, state=core.SuspectState.SUSPECT)


def record_loss(ctx: contexts.FrontContext, req: core.HttpRequest) -> None:
    """Records that a request was lost at a replica."""
    core.record_lost_request(
        ctx.crash_reports, core.fingerprint_request(req), time.monotonic()
    )


def record_answer(
    ctx: contexts.FrontContext,
    req: core.HttpRequest,
    service: core.ServiceName,
) -> None:
    """Records that a replica answered a request."""
    if not ctx.crash_reports.entries:
        return
    fingerprint = core.fingerprint_request(req)
    if fingerprint in ctx.crash_reports.entries:
        report = core.ReplicaReport(
            core.ReportKind.ANSWERED, fingerprint, req.caller, service
        )
        _add_report(ctx, report, time.monotonic())


def record_crash(
    ctx: contexts.FrontContext,
    req: core.HttpRequest,
    replica: core.ListedReplica,
    lost_at: float,
) -> None:
    """Records and logs that a replica crashed while running a request.

    Args:
        ctx: State of the node.
        req: Request that was running.
        replica: Replica that crashed.
        lost_at: Monotonic second at which the request was lost.
    """
    fingerprint = core.fingerprint_request(req)
    report = core.ReplicaReport(
        core.ReportKind.ENDED,
        fingerprint,
        req.caller,
        replica.service,
        _name_repeat(req),
        replica.replica_id,
    )
    _add_report(ctx, report, lost_at)
    telemetry.count(ctx.counters, 'replicas_ended')
    event = telemetry.Event.REPLICA_ENDED
    if telemetry.may_log(ctx.log_limits, event, time.monotonic()):
        telemetry.log(
            event,
            replica=replica.replica_id,
            service=replica.service,
            request=req.request_id,
            caller=req.caller,
            fingerprint=fingerprint,
        )


def receive_reports(
    ctx: contexts.FrontContext,
    dc: core.DataCentre,
    reports: tuple[tuple[core.ReplicaReport, float], ...],
) -> None:
    """Merges the reports of another node.

    New ones from another data centre are forwarded to the nodes of this one.

    Args:
        ctx: State of the node.
        dc: Data centre of the other node.
        reports: Reports, with the monotonic second of each.
    """
    now = time.monotonic()
    new_reports = tuple(
        (report, at)
        for report, at in reports
        if core.merge_report(ctx.crash_reports, report, at, now)
    )
    if new_reports and dc != ctx.own.dc:
        for node in core.list_in_data_centre(ctx.catalogue.nodes, ctx.own):
            nodes.send_reports(ctx.links, node.address, new_reports)


def push_reports(ctx: contexts.FrontContext) -> None:
    """Sends the most important reports to one random node.

    They also reach nodes that were cut off or have started since.
    """
    now = time.monotonic()
    core.expire_reports(ctx.crash_reports, now)
    reports = core.list_reports(ctx.crash_reports, MAX_REPORTS, now)
    others = core.list_others(ctx.catalogue.nodes, ctx.own.node_id)
    if reports and others:
        node = ctx.rng.choice(others)
        nodes.send_reports(ctx.links, node.address, tuple(reports))


def _log_state_change(ctx, req, fingerprint, is_convicted):
    """Logs that a request was convicted or cleared."""
    event = telemetry.Event.REQUEST_CLEARED
    if is_convicted:
        event = telemetry.Event.REQUEST_CONVICTED
    if telemetry.may_log(ctx.log_limits, event, time.monotonic()):
        telemetry.log(
            event,
            fingerprint=fingerprint,
            caller=req.caller,
            request=req.request_id,
        )


def _name_repeat(req):
    """Returns an id that differs for each repeat and is short.

    A caller may reuse its request ids or send long ones.
    """
    if not req.arrival:
        return req.request_id
    return core.RequestId(f'{req.arrival:x}')


def _add_report(ctx, report, at):
    """Merges a report of this node and sends it to others if they need it."""
    if not core.merge_report(ctx.crash_reports, report, at, time.monotonic()):
        return
    if not ctx.unsent_reports:
        _schedule_send(ctx, SEND_DELAY)
    ctx.unsent_reports.append((report, at))
    if len(ctx.unsent_reports) > MAX_UNSENT_REPORTS:
        ctx.unsent_reports = core.choose_reports(
            ctx.crash_reports,
            ctx.unsent_reports,
            MAX_UNSENT_REPORTS // 2,
            time.monotonic(),
        )


def _schedule_send(ctx, delay):
    asyncio.get_running_loop().call_later(delay, _send_unsent, ctx)


def _send_unsent(ctx):
    """Sends the unsent reports that still count to all nodes.

    Relays forward them to nodes of other data centres.
    """
    reports = core.choose_reports(
        ctx.crash_reports,
        ctx.unsent_reports,
        MAX_UNSENT_REPORTS,
        time.monotonic(),
    )
    ctx.unsent_reports = reports[MAX_REPORTS:]
    if ctx.unsent_reports:
        _schedule_send(ctx, RESEND_DELAY)
    if not reports:
        return
    for node in core.list_broadcast_targets(ctx.catalogue.nodes, ctx.own):
        nodes.send_reports(
            ctx.links, node.address, tuple(reports[:MAX_REPORTS])
        )
