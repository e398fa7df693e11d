"""Tests of the request log of a front node."""

import types

from citronweir import core
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _front_requests as requests
from fakes import routes


def _log(monkeypatch, ctx, report):
    lines = []
    monkeypatch.setattr(
        telemetry, 'log', lambda event, **fields: lines.append((event, fields))
    )
    requests.make_request_recorder(ctx)(report)
    [line] = lines
    return line


def _make_context():
    return types.SimpleNamespace(
        catalogue=types.SimpleNamespace(
            index=None, directory=core.Directory()
        ),
        counters=telemetry.make_counters(),
        log_limits=telemetry.make_log_limits(),
    )


def test_log_line_of_a_failed_request_has_the_retry_policy(monkeypatch):
    """Without these fields no log line explains why there was no hedge."""
    route = routes.make_gather_route(2)
    reason = core.FailureReason.DEADLINE_PASSED
    report = service.RequestReport(
        core.RequestId('id'), route, core.Unanswered(reason), 0.4
    )
    event, fields = _log(monkeypatch, _make_context(), report)
    assert event is telemetry.Event.REQUEST_FAILED
    assert fields['attempts'] == route.max_attempts
    assert fields['repeat'] == route.repeat.value


def test_log_line_of_a_declined_request_names_services_without_a_replica(
    monkeypatch,
):
    """Without the names, 208 lines of a simulated day named no service."""
    reason = core.NotRunReason.NO_REPLICA
    report = service.RequestReport(
        core.RequestId('id'),
        routes.make_gather_route(2),
        core.Declined(reason, 1.0),
        0.0,
    )
    event, fields = _log(monkeypatch, _make_context(), report)
    assert event is telemetry.Event.REQUEST_DECLINED
    assert fields['lacking'] == 's0 s1'
