"""Wires what a front node knows of requests under which replicas end."""

import asyncio
import dataclasses
import time

from citronweir import core
from citronweir import nodes
from citronweir import telemetry
from citronweir.programs import _front_parts as parts_

# Most requests that lose a replica are answered by another within this time
# and concern no other node.
SPREAD_DELAY = 0.1  # seconds
# Reports in one message, of at most 200 bytes each. One message a second to
# one node takes 6 KB of the 14 KB a second that a node spends on control.
MAX_REPORTS = 32


def judge(
    parts: parts_.FrontParts, req: core.HttpRequest
) -> core.Judgement | None:
    """Tells whether replicas end under a request."""
    if not parts.blame.entries:
        return None
    now, fingerprint = time.monotonic(), core.fingerprint_request(req)
    before = core.is_convicted(parts.blame, fingerprint, req.caller)
    judgement = core.judge_request(parts.blame, fingerprint, req.caller, now)
    after = core.is_convicted(parts.blame, fingerprint, req.caller)
    if before != after:
        _log_verdict(parts, req, fingerprint, after)
    if judgement is None:
        return None
    if not after:
        return _hold(parts, fingerprint, judgement, now)
    return _try_again(parts, fingerprint, judgement, now)


def _hold(parts, fingerprint, judgement, now):
    """Lets repeats of a suspect wait until its verdict can be known."""
    left = 0.0
    if judgement.is_due:
        left = core.hold_suspect(parts.blame, fingerprint, now)
    if not left:
        return judgement
    return dataclasses.replace(
        judgement, state=core.SuspectState.CONVICTED, until=now + left
    )


def _try_again(parts, fingerprint, judgement, now):
    """Lets a convicted request through at one node when a trial is due."""
    if now < judgement.until:
        return judgement
    own = parts.own.node_id
    others = core.list_others(parts.catalogue.nodes, own)
    ids = [own, *(node.node_id for node in others)]
    if not core.start_trial(parts.blame, fingerprint, own, ids, now):
        return judgement
    return dataclasses.replace(judgement, state=core.SuspectState.SUSPECT)


def note_loss(parts: parts_.FrontParts, req: core.HttpRequest) -> None:
    """Notes that a request was lost at a replica."""
    core.watch_request(
        parts.blame, core.fingerprint_request(req), time.monotonic()
    )


def note_answer(
    parts: parts_.FrontParts,
    req: core.HttpRequest,
    service: core.ServiceName,
) -> None:
    """Notes that a replica answered a request."""
    if not parts.blame.entries:
        return
    fingerprint = core.fingerprint_request(req)
    if fingerprint in parts.blame.entries:
        report = core.ReplicaReport(
            core.ReportKind.ANSWERED, fingerprint, req.caller, service
        )
        _note(parts, report, time.monotonic())


def note_end(
    parts: parts_.FrontParts,
    req: core.HttpRequest,
    replica: core.ListedReplica,
    lost_at: float,
) -> None:
    """Notes and logs that a replica ended with a request running.

    Args:
        parts: State of the node.
        req: The request.
        replica: What ended.
        lost_at: Monotonic second at which the request was lost.
    """
    fingerprint = core.fingerprint_request(req)
    report = core.ReplicaReport(
        core.ReportKind.ENDED,
        fingerprint,
        req.caller,
        replica.service,
        req.request_id,
        replica.replica_id,
    )
    _note(parts, report, lost_at)
    telemetry.count(parts.counters, 'replicas_ended')
    event = telemetry.Event.REPLICA_ENDED
    if telemetry.may_log(parts.log_limits, event, time.monotonic()):
        telemetry.log(
            event,
            replica=replica.replica_id,
            service=replica.service,
            request=req.request_id,
            caller=req.caller,
            fingerprint=fingerprint,
        )


def take_reports(
    parts: parts_.FrontParts,
    dc: core.DataCentre,
    reports: tuple[tuple[core.ReplicaReport, float], ...],
) -> None:
    """Takes over what another node saw, and passes on what is new.

    Args:
        parts: State of the node.
        dc: Data centre of the other node.
        reports: What was seen, with the monotonic second of each.
    """
    now = time.monotonic()
    news = tuple(
        (report, at)
        for report, at in reports
        if core.note_report(parts.blame, report, at, now)
    )
    if news and dc != parts.own.dc:
        for node in core.list_in_data_centre(parts.catalogue.nodes, parts.own):
            nodes.send_reports(parts.links, node.address, news)


def push_reports(parts: parts_.FrontParts) -> None:
    """Sends the reports that matter most to another node at random.

    This reaches nodes that were cut off or have started since.
    """
    now = time.monotonic()
    core.expire_reports(parts.blame, now)
    reports = core.list_reports(parts.blame, MAX_REPORTS, now)
    others = core.list_others(parts.catalogue.nodes, parts.own.node_id)
    if reports and others:
        node = parts.rng.choice(others)
        nodes.send_reports(parts.links, node.address, tuple(reports))


def _log_verdict(parts, req, fingerprint, is_convicted):
    event = telemetry.Event.REQUEST_CLEARED
    if is_convicted:
        event = telemetry.Event.REQUEST_CONVICTED
    if telemetry.may_log(parts.log_limits, event, time.monotonic()):
        telemetry.log(
            event,
            fingerprint=fingerprint,
            caller=req.caller,
            request=req.request_id,
        )


def _note(parts, report, at):
    if not core.note_report(parts.blame, report, at, time.monotonic()):
        return
    if not parts.unsent:
        asyncio.get_running_loop().call_later(SPREAD_DELAY, _spread, parts)
    if len(parts.unsent) < MAX_REPORTS:
        parts.unsent.append((report, at))


def _spread(parts):
    """Sends what still holds to all nodes, through relays to far ones."""
    reports = tuple(
        (report, at)
        for report, at in parts.unsent
        if report.kind is core.ReportKind.ANSWERED
        or core.is_valid(parts.blame, report)
    )
    parts.unsent.clear()
    if not reports:
        return
    for node in core.list_broadcast_targets(parts.catalogue.nodes, parts.own):
        nodes.send_reports(parts.links, node.address, reports)
