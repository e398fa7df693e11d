"""Has other nodes ask groups of shards, and falls back to asking them.

Another node may die, hang or be cut off with the query, so a late answer
is hedged by asking the shards from here, for tokens of the extra load.
"""

import asyncio

from citronweir import core
from citronweir import telemetry
from citronweir.service import _attempts as attempts


def start_group(request: attempts.Request, group: attempts.Group) -> None:
    """Asks the services of a group, here or through another node."""
    peers = request.peers
    owner = peers.choose_owner(group.owners)
    if owner is None:
        ask_here(request, group, core.AttemptKind.FIRST)
        return
    query = core.GroupQuery(
        request.version,
        request.route.name,
        group.shard_positions,
        request.req,
        # Times travel as what is left of them, so the way of the query
        # delays the due time as the way of the answer does.
        request.due - peers.round_trip(owner),
        request.deadline,
    )
    sent_at = peers.now()
    group.is_asked, group.owner = True, owner
    group.query = asyncio.ensure_future(peers.ask_group(owner, query))
    group.query.add_done_callback(
        lambda query: _take_answer(request, group, owner, sent_at, query)
    )
    if request.route.max_attempts > 1:
        _arm_fallback(request, group, owner)


def ask_here(
    request: attempts.Request, group: attempts.Group, kind: core.AttemptKind
) -> None:
    """Asks the services of a group from this node, once."""
    if group.runs:
        return
    if kind is core.AttemptKind.RETRY:
        # Replicas may have ended under it where the other node asked.
        request.serial.is_on = True
    for service in group.services:
        if request.done.done():
            return
        attempts.start_run(request, group, attempts.Run(service), kind)


def ask_absent(request: attempts.Request) -> bool:
    """Asks for the shards that other nodes answered without, once.

    They are asked only where the rest is too little for an answer, since
    the target has mostly passed by then.

    Returns:
        Whether there were any.
    """
    waiting = [
        group for group in request.groups if group.is_absent and not group.runs
    ]
    for group in waiting:
        ask_here(request, group, core.AttemptKind.RETRY)
    return bool(waiting)


def count_parts(group: attempts.Group) -> int:
    """Returns the shards of a group that are in."""
    merged = len(group.merged.signatures) if group.merged else 0
    return max(merged, group.parts)


def count_reachable(group: attempts.Group) -> int:
    """Returns the shards of a group that are in or may still come."""
    if group.query is not None:
        return len(group.services)
    return max(count_parts(group), group.parts + group.open_runs)


def _arm_fallback(request, group, owner):
    key = (request.route.name, owner.dc)
    window = request.peers.group_windows.get(key)
    expected = request.route.target  # before it is known: half of that
    delay = attempts.hedge_delay(request, window, expected)

    def ask():
        if group.query is not None and not request.done.done():
            ask_here(request, group, core.AttemptKind.HEDGE)

    loop = asyncio.get_running_loop()
    request.timers.append(loop.call_later(delay, ask))


def _take_answer(request, group, owner, sent_at, query):
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
    peers = request.peers
    match outcome:
        case core.Gathered():
            now = peers.now()
            key = (request.route.name, owner.dc)
            attempts.learn(peers.group_windows, key, now - sent_at, now)
            group.merged = outcome
            _set_apart(request, group, query.result().missing_positions)
        case core.Declined(core.NotRunReason.QUARANTINED):
            pass  # nobody may run it
        case core.Declined():
            group.is_asked, group.owner = False, None
            ask_here(request, group, core.AttemptKind.FIRST)
        case _:
            ask_here(request, group, core.AttemptKind.RETRY)
    request.judge(request)


def _set_apart(request, group, missing_positions):
    """Makes a group of its own of the shards that were not answered."""
    if group.runs or not missing_positions:
        return
    count = len(group.services)
    names = tuple(
        group.services[place]
        for place in missing_positions
        if 0 <= place < count
    )
    group.services = tuple(
        name for name in group.services if name not in names
    )
    request.groups.append(
        attempts.Group(
            (), names, owner=group.owner, is_asked=True, is_absent=True
        )
    )
