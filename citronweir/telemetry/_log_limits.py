"""Limits the log lines of each event, so that load cannot flood the log."""

import dataclasses

from citronweir.telemetry import _events as events

RATE = 5.0  # lines per second of one event
BURST = 20.0  # lines of one event at once


@dataclasses.dataclass(slots=True)
class LogLimits:
    """Token bucket of each event; one token is one log line.

    Attributes:
        tokens: Tokens and the monotonic time of their last update,
            seconds.
        dropped: Lines suppressed since the counts were last taken.
    """

    tokens: dict[events.Event, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    dropped: dict[events.Event, int] = dataclasses.field(default_factory=dict)


def make_log_limits() -> LogLimits:
    """Builds limits with full buckets."""
    return LogLimits()


def may_log(limits: LogLimits, event: events.Event, now: float) -> bool:
    """Takes a token for a line of an event, or counts the line as dropped.

    Args:
        limits: Token buckets of the events.
        event: Event to log.
        now: Monotonic clock, seconds.

    Returns:
        Whether the line may be logged.
    """
    tokens, updated = limits.tokens.get(event, (BURST, now))
    tokens = min(BURST, tokens + (now - updated) * RATE)
    is_allowed = tokens >= 1.0
    limits.tokens[event] = (tokens - is_allowed, now)
    if not is_allowed:
        limits.dropped[event] = limits.dropped.get(event, 0) + 1
    return is_allowed


def take_dropped(limits: LogLimits) -> dict[events.Event, int]:
    """Returns and resets the counts of suppressed lines."""
    dropped, limits.dropped = limits.dropped, {}
    return dropped
