"""Admits, plans and runs a search."""

import asyncio

from citronweir import core
from citronweir.service import _fanout as fanouts
from citronweir.service import _fanout_state as states
from citronweir.service import _search_dependencies as search_dependencies

# Time before the deadline at which a search is answered with the replies
# received so far, so that the answer arrives in time.
ANSWER_MARGIN = 0.005  # seconds


async def run_search(
    deps: search_dependencies.SearchDependencies,
    req: core.SearchRequest,
    trace: str,
) -> core.Outcome:
    """Runs one search and returns its outcome.

    Args:
        deps: Dependencies of the search.
        req: Search request of a caller.
        trace: W3C ``traceparent`` of the caller, or empty.

    Returns:
        The outcome. It is Refused only if no sub-search was sent.
    """
    started = deps.now()
    contract = deps.find_contract(req.contract_id)
    reason = core.check_contract(contract, deps.wall_now())
    if reason is None and deps.is_quarantined(req):
        reason = core.NotRunReason.QUARANTINED
    if reason is not None:
        return _refuse(deps, contract, started, reason)
    plan = deps.plan(req.index)
    if plan is None or not plan.pieces:
        reason = core.NotRunReason.NO_REPLICA
        return _refuse(deps, contract, started, reason)
    fanout = _make_fanout(deps, req, contract, trace, plan, started)
    estimate = core.Estimate(
        fanout.expected_wait,
        core.mean_service_time(fanout.budgets, req.index),
        fanout.deadline - started,
    )
    reason = core.admit(deps.admission, contract.rank, estimate, started)
    if reason is not None:
        return _refuse(deps, contract, started, reason)
    try:
        await fanouts.run(fanout, plan, deps.needs_canary(req))
    finally:
        core.release(
            deps.admission,
            contract.rank,
            fanouts.lacked_capacity(fanout),
            deps.now(),
        )
    return _answer(fanout, started)


def _make_fanout(deps, req, contract, trace, plan, started):
    budget = req.budget or contract.latency_target
    return states.Fanout(
        deps,
        deps.budgets[contract.rank],
        req,
        contract.rank,
        trace,
        started + budget - ANSWER_MARGIN,
        budget,
        deps.expected_wait(plan, contract.rank),
        asyncio.get_running_loop().create_future(),
    )


def _refuse(deps, contract, started, reason):
    outcome = core.Refused(reason)
    rank = None if contract is None else contract.rank
    seconds = deps.now() - started
    deps.record(core.SearchReport(rank, outcome, seconds))
    return outcome


def _answer(fanout, started):
    outcome = core.choose_outcome(fanout.merges, fanout.req.limit)
    if not fanout.sent:
        outcome = core.Refused(core.NotRunReason.NO_REPLICA)
    deps = fanout.deps
    deps.record(
        core.SearchReport(
            fanout.rank,
            outcome,
            deps.now() - started,
            fanout.sent,
            fanout.hedges,
            fanout.retries,
            fanout.replans,
        )
    )
    return outcome
