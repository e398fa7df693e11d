"""Keeps the convictions of crashing requests in the store."""

from collections import abc
import time

from citronweir import core
from citronweir import platform
from citronweir import telemetry
from citronweir.programs import _front_context as contexts

# Time between two checks whether a record has to be written or removed.
CHECK_INTERVAL = 0.5  # seconds


def apply_records(
    ctx: contexts.FrontContext, new_records: abc.Iterable[core.ConfigRecord]
) -> None:
    """Applies the convictions among new records of the store.

    Args:
        ctx: State of the node.
        new_records: Records that a merge has added.
    """
    for record in new_records:
        if isinstance(record.body, core.Conviction):
            _restore(ctx, record.body)
    for fingerprint in list(ctx.convictions.stored):
        if not _find_revision(ctx, fingerprint):
            _drop(ctx, fingerprint)


async def write_due(ctx: contexts.FrontContext) -> None:
    """Makes the write that is due, if any."""
    if not ctx.config.ready or not (
        ctx.crash_reports.entries or ctx.convictions.stored
    ):
        return
    others = core.list_others(ctx.catalogue.nodes, ctx.own.node_id)
    ids = [ctx.own.node_id, *(node.node_id for node in others)]
    write = core.choose_write(
        ctx.convictions,
        ctx.crash_reports,
        ctx.own.node_id,
        ids,
        (time.monotonic(), time.time()),
        ctx.rng,
    )
    if write is not None:
        await _write(ctx, write)


async def _write(ctx, write):
    reply = await platform.write_conviction(
        ctx.session,
        ctx.boot.store,
        write,
        _find_revision(ctx, write.fingerprint),
    )
    outcome = 'ok' if reply is None else reply.fault.value
    telemetry.count(ctx.counters, 'conviction_writes', outcome=outcome)
    is_answered = reply is None or reply.fault is platform.StoreFault.CONFLICT
    if not is_answered:
        core.retry_write(ctx.convictions, write, time.monotonic())
    event = telemetry.Event.CONVICTION_WRITTEN
    if telemetry.may_log(ctx.log_limits, event, time.monotonic()):
        telemetry.log(
            event,
            fingerprint=write.fingerprint,
            crashes=len(write.conviction.crashes) if write.conviction else 0,
            outcome=outcome,
        )


def _restore(ctx, conviction):
    is_new = core.restore_conviction(
        ctx.convictions,
        ctx.crash_reports,
        conviction,
        (time.monotonic(), time.time()),
    )
    event = telemetry.Event.CONVICTION_RESTORED
    if is_new and telemetry.may_log(ctx.log_limits, event, time.monotonic()):
        telemetry.log(
            event,
            fingerprint=conviction.fingerprint,
            crashes=len(conviction.crashes),
        )


def _drop(ctx, fingerprint):
    core.drop_conviction(ctx.convictions, ctx.crash_reports, fingerprint)
    event = telemetry.Event.CONVICTION_DROPPED
    if telemetry.may_log(ctx.log_limits, event, time.monotonic()):
        telemetry.log(event, fingerprint=fingerprint)


def _find_revision(ctx, fingerprint):
    """Returns the revision of the record of a conviction, 0 without one."""
    record = ctx.config.state.records.get(platform.conviction_key(fingerprint))
    if record is None or not record.value:
        return core.NO_REVISION
    return record.revision
