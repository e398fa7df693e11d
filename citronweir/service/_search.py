"""Admits, plans and runs a search."""

import asyncio

from citronweir import core
from citronweir.service import _fanout as fanouts
from citronweir.service import _fanout_state as states
from citronweir.service import _peers as service_peers

# Time before the deadline at which a search is answered with the replies
# received so far, so that the answer arrives in time.
ANSWER_MARGIN = 0.005  # seconds


async def run_search(
    peers: service_peers.SearchDependencies,
    req: core.SearchRequest,
    trace: str,
) -> core.Outcome:
    """Runs one search and returns its outcome.

    Args:
        peers: Dependencies of the search.
        req: Search request of a caller.
        trace: W3C ``traceparent`` of the caller, or empty.

    Returns:
        The outcome. It is Refused only if no sub-search was sent.
    """
    started = peers.now()
    contract = peers.find_contract(req.contract_id)
    reason = core.check_contract(contract, peers.wall_now())
    if reason is None and peers.is_quarantined(req):
        reason = core.NotRunReason.QUARANTINED
    if reason is not None:
        return _refuse(peers, contract, started, reason)
    plan = peers.plan(req.index)
    if plan is None or not plan.pieces:
        reason = core.NotRunReason.NO_REPLICA
        return _refuse(peers, contract, started, reason)
    fanout = _make_fanout(peers, req, contract, trace, plan, started)
    estimate = core.Estimate(
        fanout.expected_wait,
        core.mean_service_time(fanout.budgets, req.index),
        fanout.deadline - started,
    )
    reason = core.admit(peers.admission, contract.rank, estimate, started)
    if reason is not None:
        return _refuse(peers, contract, started, reason)
    try:
        await fanouts.run(fanout, plan, peers.needs_canary(req))
    finally:
        core.release(
            peers.admission,
            contract.rank,
            fanouts.lacked_capacity(fanout),
            peers.now(),
        )
    return _answer(fanout, started)


def _make_fanout(peers, req, contract, trace, plan, started):
    budget = req.budget or contract.latency_target
    return states.Fanout(
        peers,
        peers.budgets[contract.rank],
        req,
        contract.rank,
        trace,
        started + budget - ANSWER_MARGIN,
        budget,
        peers.expected_wait(plan, contract.rank),
        asyncio.get_running_loop().create_future(),
    )


def _refuse(peers, contract, started, reason):
    outcome = core.Refused(reason)
    rank = None if contract is None else contract.rank
    seconds = peers.now() - started
    peers.record(core.SearchReport(rank, outcome, seconds))
    return outcome


def _answer(fanout, started):
    outcome = core.choose_outcome(fanout.merges, fanout.req.limit)
    if not fanout.sent:
        outcome = core.Refused(core.NotRunReason.NO_REPLICA)
    peers = fanout.peers
    peers.record(
        core.SearchReport(
            fanout.rank,
            outcome,
            peers.now() - started,
            fanout.sent,
            fanout.hedges,
            fanout.retries,
            fanout.replans,
        )
    )
    return outcome
