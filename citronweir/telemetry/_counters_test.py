"""Tests of the counters of a front node."""

from citronweir import telemetry


def test_counts_and_latencies_are_rendered():
    """Guards against counts that are lost or rendered with wrong labels."""
    counters = telemetry.make_counters()
    telemetry.count(counters, 'requests', route='r', outcome='ok')
    telemetry.count(counters, 'requests', 2, route='r', outcome='late')
    telemetry.observe(counters, 'request_seconds', 0.03, rank='urgent')
    telemetry.observe(counters, 'request_seconds', 9.0, rank='urgent')
    text = telemetry.render(counters, {'nodes': 8.0}).decode()
    lines = text.splitlines()
    assert 'citronweir_requests_total{outcome="late",route="r"} 2.0' in (
        line.replace('route="r",outcome="late"', 'outcome="late",route="r"')
        for line in lines
    )
    prefix = 'citronweir_request_seconds_bucket{le="0.05",rank="urgent"}'
    assert f'{prefix} 1.0' in (
        line.replace('rank="urgent",le="0.05"', 'le="0.05",rank="urgent"')
        for line in lines
    )
    assert 'citronweir_request_seconds_count{rank="urgent"} 2.0' in lines
    assert 'citronweir_nodes 8.0' in lines
