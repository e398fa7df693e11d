"""Log events, metrics and traces.

Metrics and traces use the OpenTelemetry SDK, which takes 0.4 s of processor
time and 20 MB of memory. They are imported on first use, so that programs
that only log do not incur that cost.
"""

import importlib

from citronweir.telemetry._counters import count
from citronweir.telemetry._counters import Counters
from citronweir.telemetry._counters import make_counters
from citronweir.telemetry._counters import observe
from citronweir.telemetry._counters import render
from citronweir.telemetry._events import Event
from citronweir.telemetry._events import log
from citronweir.telemetry._events import render_catalogue
from citronweir.telemetry._events import start_json_logging
from citronweir.telemetry._events import start_logging
from citronweir.telemetry._log_limits import LogLimits
from citronweir.telemetry._log_limits import make_log_limits
from citronweir.telemetry._log_limits import may_log
from citronweir.telemetry._log_limits import take_dropped

_LAZY = {
    'citronweir.telemetry._metrics': (
        'Gauge',
        'make_metrics',
        'make_metrics_app',
        'Metrics',
        'record_claim',
        'record_order',
        'record_platform_call',
        'record_queue_delay',
        'record_route',
        'record_search',
        'watch_values',
    ),
    'citronweir.telemetry._traces': (
        'annotate_span',
        'end_span',
        'export_spans',
        'is_recorded',
        'name_outcome',
        'Span',
        'span',
        'start_span',
        'start_tracing',
        'stop_tracing',
        'Tracing',
    ),
}
_MODULE_OF = {
    name: module for module, names in _LAZY.items() for name in names
}


def __getattr__(name: str) -> object:
    """Imports the module that defines a name on the name's first use."""
    module = _MODULE_OF.get(name)
    if module is None:
        raise AttributeError(f'no attribute {name!r}')
    value = getattr(importlib.import_module(module), name)
    globals()[name] = value
    return value
