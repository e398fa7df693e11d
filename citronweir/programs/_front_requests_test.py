"""Tests of what a front node logs of its requests."""

import types

from citronweir import core
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _front_requests as requests
from fakes import routes


def test_line_of_a_failed_request_tells_what_its_route_allows(monkeypatch):
    """Guards on-call: without it no line explains that none was hedged."""
    lines = []
    monkeypatch.setattr(
        telemetry, 'log', lambda event, **fields: lines.append((event, fields))
    )
    parts = types.SimpleNamespace(
        catalogue=types.SimpleNamespace(index=None),
        counters=telemetry.make_counters(),
        log_limits=telemetry.make_log_limits(),
    )
    route = routes.make_gather_route(2)
    reason = core.FailureReason.DEADLINE_PASSED
    report = service.RequestReport(
        core.RequestId('id'), route, core.Unanswered(reason), 0.4
    )
    requests.make_record(parts)(report)
    [(event, fields)] = lines
    assert event is telemetry.Event.REQUEST_FAILED
    assert fields['attempts'] == route.max_attempts
    assert fields['repeat'] == route.repeat.value
