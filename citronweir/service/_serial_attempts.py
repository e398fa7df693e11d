"""Sends attempts one at a time where replicas may end under a request.

A replica that ends with a request may have ended because of it. The next
attempts could end one replica each, so one goes first: if it is answered,
the others follow at once; if replicas end under further ones, no more are
sent.
"""

import dataclasses

from citronweir import core

# Attempts after the first loss that may be lost as well. Answers that are
# lost by themselves are few in a hundred, so two in a row are no accident.
MAX_LOSSES = 2


@dataclasses.dataclass(slots=True, eq=False)
class SerialState:
    """Whether the attempts of a request wait for one another.

    Attributes:
        is_on: Whether one attempt goes at a time.
        losses: Attempts lost since it is on.
        first: Run whose attempt the others wait for.
        held: Attempts that wait, as the arguments to send them.
    """

    is_on: bool = False
    losses: int = 0
    awaited: object | None = None
    held: list[tuple] = dataclasses.field(default_factory=list)


def make_serial_state(
    suspect_status: core.SuspectStatus | None,
) -> SerialState:
    """Builds the state of a request; a suspect has one attempt to lose."""
    if suspect_status is None:
        return SerialState()
    return SerialState(is_on=True, losses=MAX_LOSSES - 1)


def must_wait(serial: SerialState) -> bool:
    """Returns whether an attempt has to wait for the one that is out."""
    return serial.is_on and serial.awaited is not None


def is_over(serial: SerialState) -> bool:
    """Returns whether no further attempt may be sent."""
    return serial.losses >= MAX_LOSSES


def note_outcome(
    serial: SerialState,
    run: object,
    outcome: core.AttemptOutcome,
    is_serial: bool,
) -> None:
    """Learns from the end of an attempt.

    Args:
        caution: State of the request.
        run: Run that the attempt belongs to.
        outcome: How it ended.
        is_careful: Whether it was sent while caution was on. Of the
            attempts that were sent together before, many may end at once.
    """
    if serial.awaited is run:
        serial.awaited = None
    match outcome:
        case core.Replied():
            if is_serial:
                serial.is_on = False
        case core.Lost(core.UnknownReason.CONNECTION_LOST):
            serial.losses += is_serial
            serial.is_on = True
