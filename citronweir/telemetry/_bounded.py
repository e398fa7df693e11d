"""Bounds the log lines of each event, so that load cannot flood the log."""

import dataclasses

from citronweir.telemetry import _events as events

RATE = 5.0  # lines of one event in a second
BURST = 20.0  # lines of one event at once


@dataclasses.dataclass(slots=True)
class LogLimits:
    """Lines that each event may still write.

    Attributes:
        tokens: Lines left and the monotonic second of that count.
        dropped: Lines left out since they were last reported.
    """

    tokens: dict[events.Event, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    dropped: dict[events.Event, int] = dataclasses.field(default_factory=dict)


def make_log_limits() -> LogLimits:
    """Builds full limits."""
    return LogLimits()


def may_log(limits: LogLimits, event: events.Event, now: float) -> bool:
    """Takes a line of an event; counts it as dropped if there is none.

    Args:
        limits: Lines left.
        event: Event to log.
        now: Monotonic clock, seconds.
    """
    tokens, at = limits.tokens.get(event, (BURST, now))
    tokens = min(BURST, tokens + (now - at) * RATE)
    is_left = tokens >= 1.0
    limits.tokens[event] = (tokens - is_left, now)
    if not is_left:
        limits.dropped[event] = limits.dropped.get(event, 0) + 1
    return is_left


def take_dropped(limits: LogLimits) -> dict[events.Event, int]:
    """Returns and resets the counts of lines that were left out."""
    dropped, limits.dropped = limits.dropped, {}
    return dropped
