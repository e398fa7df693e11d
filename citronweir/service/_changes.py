"""Makes an operator's change in the store, with one effect.

Every write is a compare-and-swap on the expected revision and carries
the change id. After a lost reply the record is read back: the id tells
whether the write took effect.
"""

import dataclasses

from citronweir import core
from citronweir import telemetry
from citronweir.service import _config as configs

# An operator waits this long at most before the outcome is unknown.
CHANGE_TIMEOUT = 10.0  # seconds
# A change is in force everywhere after this time. If neither the store nor
# another node has shown the expected revision by then, there is none.
STALE_LIMIT = 3.0  # seconds


async def run_change(
    peers: configs.ConfigDependencies,
    config: configs.Configuration,
    change: core.Change,
) -> core.ChangeOutcome:
    """Makes a change and spreads it.

    Args:
        peers: What the flow needs from outside.
        config: Configuration of this node.
        change: Wish of the operator.

    Returns:
        The outcome. ChangeUnknown only after a write was sent.
    """
    deadline = peers.now() + CHANGE_TIMEOUT
    current = await _read_current(peers, config, change)
    if isinstance(current, core.StoreError):
        return core.ChangeUnavailable(current.detail)
    decision = core.decide_change(current, change, peers.wall_now())
    if isinstance(decision, core.ConfigRecord):
        decision = await _write(peers, change, decision, deadline)
    _spread(peers, config, decision)
    _log(change, decision)
    return decision


async def _read_current(peers, config, change):
    """Reads the record; repeats a read of a state before the expected one.

    Such a record would be reported as the winner of a conflict that it
    lost, or hide the ids of later changes.
    """
    key = core.config_key(change.target)
    give_up = peers.now() + STALE_LIMIT
    failures = 0
    while True:
        current = await _read(peers, key)
        if isinstance(current, core.StoreError):
            return current
        known = config.state.records.get(key)
        if known and (current is None or current.revision < known.revision):
            current = known
        revision = current.revision if current else core.NO_REVISION
        left = give_up - peers.now()
        if revision >= change.expected or left <= 0:
            return current
        failures += 1
        wait = configs.draw_backoff(peers.rng, failures)
        await peers.sleep(min(wait, left))


async def _write(peers, change, record, deadline):
    record = dataclasses.replace(record, value=peers.encode(record))
    failures = 0
    while True:
        reply = await peers.write(record.key, record.value, record.revision)
        if isinstance(reply, core.StoreWritten):
            return core.ChangeAccepted(
                dataclasses.replace(record, revision=reply.revision)
            )
        if isinstance(reply, core.StoreConflict):
            current = reply.current and peers.decode(reply.current)[0]
            return core.interpret_conflict(current, change)
        current = await _read(peers, record.key)
        if not isinstance(current, core.StoreError):
            outcome = core.interpret_read_back(current, change)
            if not isinstance(outcome, core.RetryWrite):
                return outcome
        failures += 1
        left = deadline - peers.now()
        if left <= 0:
            return core.ChangeUnknown(change.change_id)
        wait = configs.draw_backoff(peers.rng, failures)
        await peers.sleep(min(wait, left))


async def _read(peers, key):
    record = await peers.read_one(key)
    if isinstance(record, core.ConfigRecord):
        return peers.decode(record)[0]
    return record


def _spread(peers, config, outcome):
    match outcome:
        case core.ChangeAccepted():
            record = outcome.record
        case core.ChangeConflict() if outcome.winner:
            record = outcome.winner
        case _:
            return
    batch = core.ConfigBatch((record,))
    fresh = configs.receive_records(
        peers, config, batch, configs.RecordSource.STORE
    )
    for pushed in core.split_batches(fresh):
        peers.push_remote(pushed)


def _log(change, outcome):
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
