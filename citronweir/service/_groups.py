"""Delegates groups of shards to other nodes, with a direct fallback.

Another node may crash, hang or become unreachable during a query. A late
answer is therefore hedged by calling the shards from this node, which takes a
token of each service.
"""

import asyncio

from citronweir import core
from citronweir import telemetry
from citronweir.service import _attempts as attempts


def start_group(
    request: attempts.Request, group: attempts.ServiceGroup
) -> None:
    """Asks another node for a group, or calls its services directly."""
    deps = request.deps
    owner = deps.choose_owner(group.owners)
    if owner is None:
        ask_directly(request, group, core.AttemptKind.FIRST)
        return
    query = core.GroupQuery(
        request.version,
        request.route.name,
        group.shard_positions,
        request.req,
        # Times are sent as remaining times. The network time of the query
        # therefore delays the due time just as that of the answer does.
        request.due - deps.round_trip(owner),
        request.deadline,
    )
    sent_at = deps.now()
    group.is_delegated, group.owner = True, owner
    group.query = asyncio.ensure_future(deps.ask_group(owner, query))
    group.query.add_done_callback(
        lambda query: _handle_answer(request, group, owner, sent_at, query)
    )
    if request.route.max_attempts > 1:
        _schedule_fallback(request, group, owner)


def ask_directly(
    request: attempts.Request,
    group: attempts.ServiceGroup,
    kind: core.AttemptKind,
) -> None:
    """Calls the services of a group from this node, once."""
    if group.calls:
        return
    if kind is core.AttemptKind.RETRY:
        # The request may have crashed replicas that the other node called.
        request.serial.is_on = True
    for service in group.services:
        if request.done.done():
            return
        attempts.start_call(
            request, group, attempts.ServiceCall(service), kind
        )


def ask_omitted(request: attempts.Request) -> bool:
    """Calls the shards that are missing from other nodes' answers, once.

    Only done if the other shards are too few for an answer, because the
    latency target has usually passed by then.

    Returns:
        Whether any shards were called.
    """
    waiting = [
        group
        for group in request.groups
        if group.is_omitted and not group.calls
    ]
    for group in waiting:
        ask_directly(request, group, core.AttemptKind.RETRY)
    return bool(waiting)


def count_parts(group: attempts.ServiceGroup) -> int:
    """Returns the number of services of a group that have replied."""
    merged = len(group.merged.signatures) if group.merged else 0
    return max(merged, group.reply_count)


def count_reachable(group: attempts.ServiceGroup) -> int:
    """Returns the number of services that have replied or still may."""
    if group.query is not None:
        return len(group.services)
    return max(count_parts(group), group.reply_count + group.pending_calls)


def _schedule_fallback(request, group, owner):
    key = (request.route.name, owner.dc)
    window = request.deps.group_windows.get(key)
    # Until latencies are known, an answer is thus late after half the target
    # (HEDGE_LATEST_SHARE).
    expected = request.route.target
    delay = attempts.hedge_delay(request, window, expected)

    def hedge_directly():
        if group.query is not None and not request.done.done():
            ask_directly(request, group, core.AttemptKind.HEDGE)

    loop = asyncio.get_running_loop()
    request.timers.append(loop.call_later(delay, hedge_directly))


def _handle_answer(request, group, owner, sent_at, query):
    group.query = None
    if query.cancelled() or not request.is_open:
        return
    exc = query.exception()
    if exc is not None:
        telemetry.log(
            telemetry.Event.INTERNAL_ERROR, task='group', error=repr(exc)
        )
        outcome = core.Unanswered(core.FailureReason.INTERNAL_ERROR)
    else:
        outcome = query.result().outcome
    deps = request.deps
    match outcome:
        case core.Gathered():
            now = deps.now()
            key = (request.route.name, owner.dc)
            attempts.record_latency(
                deps.group_windows, key, now - sent_at, now
            )
            group.merged = outcome
            missing_positions = query.result().missing_positions
            if not missing_positions:
                attempts.end_calls(request, group)
            _split_off_missing(request, group, missing_positions)
        case core.Declined(core.NotRunReason.QUARANTINED):
            pass  # the request must not be executed on any node
        case core.Declined():
            group.is_delegated, group.owner = False, None
            ask_directly(request, group, core.AttemptKind.FIRST)
        case _:
            ask_directly(request, group, core.AttemptKind.RETRY)
    request.check_completion(request)


def _split_off_missing(request, group, missing_positions):
    """Moves the shards missing from an answer to a group of their own."""
    if group.calls or not missing_positions:
        return
    count = len(group.services)
    names = tuple(
        group.services[position]
        for position in missing_positions
        if 0 <= position < count
    )
    group.services = tuple(
        name for name in group.services if name not in names
    )
    request.groups.append(
        attempts.ServiceGroup(
            (), names, owner=group.owner, is_delegated=True, is_omitted=True
        )
    )
