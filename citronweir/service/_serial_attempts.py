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
class Caution:
    """Whether the attempts of a request wait for one another.

    Attributes:
        is_on: Whether one attempt goes at a time.
        losses: Attempts lost since it is on.
        first: Run whose attempt the others wait for.
        held: Attempts that wait, as the arguments to send them.
    """

    is_on: bool = False
    losses: int = 0
    first: object | None = None
    held: list[tuple] = dataclasses.field(default_factory=list)


def make_caution(suspect_status: core.SuspectStatus | None) -> Caution:
    """Builds the state of a request; a suspect has one attempt to lose."""
    if suspect_status is None:
        return Caution()
    return Caution(is_on=True, losses=MAX_LOSSES - 1)


def must_wait(caution: Caution) -> bool:
    """Returns whether an attempt has to wait for the one that is out."""
    return caution.is_on and caution.first is not None


def is_over(caution: Caution) -> bool:
    """Returns whether no further attempt may be sent."""
    return caution.losses >= MAX_LOSSES


def note_outcome(
    caution: Caution,
    run: object,
    outcome: core.AttemptOutcome,
    is_careful: bool,
) -> None:
    """Learns from the end of an attempt.

    Args:
        caution: State of the request.
        run: Run that the attempt belongs to.
        outcome: How it ended.
        is_careful: Whether it was sent while caution was on. Of the
            attempts that were sent together before, many may end at once.
    """
    if caution.first is run:
        caution.first = None
    match outcome:
        case core.Replied():
            if is_careful:
                caution.is_on = False
        case core.Lost(core.UnknownReason.CONNECTION_LOST):
            caution.losses += is_careful
            caution.is_on = True
