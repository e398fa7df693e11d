"""Sends the attempts of a request serially if it may crash replicas.

A replica that crashed while running a request may have crashed because of it.
Further attempts could crash one replica each, so they are sent one at a time.
Once one is answered, the others are sent at once. If further attempts are lost
to crashes as well, no more are sent.
"""

import dataclasses

from citronweir import core

# Maximum number of serial attempts that may be lost after the first loss. Only
# a few percent of answers are lost for unrelated reasons, so two losses in a
# row are unlikely to be a coincidence.
MAX_LOSSES = 2


@dataclasses.dataclass(slots=True, eq=False)
class SerialState:
    """Whether the attempts of a request are sent one at a time.

    Attributes:
        is_on: Whether one attempt is sent at a time.
        is_strict: Whether the next attempt waits for the outcome of the one
            before it, however late that is.
        losses: Serial attempts that were lost.
        awaited: Call whose attempt the others wait for.
        held: Attempts held back, each as its group, call and kind.
    """

    is_on: bool = False
    is_strict: bool = False
    losses: int = 0
    awaited: object | None = None
    held: list[tuple] = dataclasses.field(default_factory=list)


def make_serial_state(
    suspect_status: core.SuspectStatus | None,
) -> SerialState:
    """Builds the initial state; a suspect may lose only one attempt.

    Where there are enough crashes for a conviction, a late attempt more
    likely crashes its replica than not, and the next one would too.
    """
    if suspect_status is None:
        return SerialState()
    return SerialState(
        is_on=True,
        is_strict=suspect_status.is_conviction_pending,
        losses=MAX_LOSSES - 1,
    )


def must_wait(serial: SerialState) -> bool:
    """Returns whether an attempt has to wait for one that is in flight."""
    return serial.is_on and serial.awaited is not None


def is_exhausted(serial: SerialState) -> bool:
    """Returns whether no further attempt may be sent."""
    return serial.losses >= MAX_LOSSES


def record_outcome(
    serial: SerialState,
    call: object,
    outcome: core.AttemptOutcome,
    is_serial: bool,
) -> None:
    """Updates the state after an attempt.

    Args:
        serial: State of the request.
        call: Call that the attempt belongs to.
        outcome: Outcome of the attempt.
        is_serial: Whether it was sent in serial mode. Other attempts are
            sent together, so many may be lost at once; their losses don't
            count, and their replies don't end the mode.
    """
    if serial.awaited is call:
        serial.awaited = None
    match outcome:
        case core.Replied():
            if is_serial:
                serial.is_on = False
        case core.Lost(core.UnknownReason.CONNECTION_LOST):
            serial.losses += is_serial
            serial.is_on = True
