"""Writes an operator's change to the store at most once.

Every write is a compare-and-swap on the expected revision and carries
the change id. After a lost reply the record is read back: its change ids
show whether the write took effect.
"""

import dataclasses

from citronweir import core
from citronweir import telemetry
from citronweir.service import _config as configs

# Longest wait of an operator, after which the outcome is unknown.
CHANGE_TIMEOUT = 10.0  # seconds
# A change is in force everywhere after this time. If neither the store nor
# another node has returned the expected revision by then, it does not exist.
MAX_PROPAGATION_TIME = 3.0  # seconds


async def run_change(
    deps: configs.ConfigDependencies,
    config: configs.Configuration,
    change: core.Change,
) -> core.ChangeOutcome:
    """Writes a change to the store and distributes it to the nodes.

    Args:
        deps: Functions that the change calls.
        config: Configuration of this node.
        change: Change that the operator requests.

    Returns:
        The outcome; ChangeUnknown only if a write was sent.
    """
    deadline = deps.now() + CHANGE_TIMEOUT
    current = await _read_current(deps, config, change)
    if isinstance(current, core.StoreError):
        return core.ChangeUnavailable(current.detail)
    decision = core.decide_change(current, change, deps.wall_now())
    if isinstance(decision, core.ConfigRecord):
        decision = await _write(deps, change, decision, deadline)
    _distribute(deps, config, decision)
    _log_outcome(change, decision)
    return decision


async def _read_current(deps, config, change):
    """Reads the record, again while it is older than the expected one.

    An outdated record would be reported as the winner of a conflict that
    it lost, or would lack the ids of later changes.
    """
    key = core.config_key(change.target)
    read_deadline = deps.now() + MAX_PROPAGATION_TIME
    failures = 0
    while True:
        current = await _read(deps, key)
        if isinstance(current, core.StoreError):
            return current
        known = config.state.records.get(key)
        if known and (current is None or current.revision < known.revision):
            current = known
        revision = current.revision if current else core.NO_REVISION
        remaining = read_deadline - deps.now()
        if revision >= change.expected or remaining <= 0:
            return current
        failures += 1
        wait = configs.draw_backoff(deps.rng, failures)
        await deps.sleep(min(wait, remaining))


async def _write(deps, change, record, deadline):
    record = dataclasses.replace(record, value=deps.encode(record))
    failures = 0
    while True:
        reply = await deps.write(record.key, record.value, record.revision)
        if isinstance(reply, core.StoreWritten):
            return core.ChangeAccepted(
                dataclasses.replace(record, revision=reply.revision)
            )
        if isinstance(reply, core.StoreConflict):
            current = reply.current and deps.decode(reply.current)[0]
            return core.interpret_conflict(current, change)
        current = await _read(deps, record.key)
        if not isinstance(current, core.StoreError):
            outcome = core.interpret_read_back(current, change)
            if not isinstance(outcome, core.RetryWrite):
                return outcome
        failures += 1
        remaining = deadline - deps.now()
        if remaining <= 0:
            return core.ChangeUnknown(change.change_id)
        wait = configs.draw_backoff(deps.rng, failures)
        await deps.sleep(min(wait, remaining))


async def _read(deps, key):
    record = await deps.read_one(key)
    if isinstance(record, core.ConfigRecord):
        return deps.decode(record)[0]
    return record


def _distribute(deps, config, outcome):
    match outcome:
        case core.ChangeAccepted():
            record = outcome.record
        case core.ChangeConflict() if outcome.winner:
            record = outcome.winner
        case _:
            return
    batch = core.ConfigBatch((record,))
    new_records = configs.receive_records(
        deps, config, batch, configs.RecordSource.STORE
    )
    for pushed in core.split_batches(new_records):
        deps.push_remote(pushed)


def _log_outcome(change, outcome):
    key = core.config_key(change.target)
    fields = {'change': change.change_id, 'key': key}
    match outcome:
        case core.ChangeAccepted():
            event = telemetry.Event.CHANGE_ACCEPTED
            fields['revision'] = outcome.record.revision
        case core.ChangeConflict():
            event = telemetry.Event.CHANGE_CONFLICT
            winner = outcome.winner
            fields['revision'] = winner.revision if winner else 0
        case core.ChangeUnknown():
            event = telemetry.Event.CHANGE_UNKNOWN
        case _:
            return
    telemetry.log(event, **fields)
