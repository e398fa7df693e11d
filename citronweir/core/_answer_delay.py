"""Estimates how late a node sends the answers that are due.

A busy event loop runs timers late, and merging the parts takes time. Without
an allowance for both, many answers miss their latency target by a few
milliseconds.
"""

import dataclasses

SMOOTHING_FACTOR = 0.1  # weight of the newest sample
# Number of mean deviations that the allowance adds to the mean.
DEVIATION_FACTOR = 2.0
# A node that is later than this is overloaded. Answers with still fewer parts
# would not help it.
MAX_ALLOWANCE = 0.020  # seconds


@dataclasses.dataclass(slots=True)
class AnswerDelay:
    """Moving averages of the delays of answers, in seconds.

    Attributes:
        mean: Mean delay.
        deviation: Mean deviation from it.
    """

    mean: float = 0.0
    deviation: float = 0.0


def record_answer_delay(delay: AnswerDelay, seconds: float) -> None:
    """Records the seconds from the due time of an answer to its end."""
    sample = min(max(0.0, seconds), 2 * MAX_ALLOWANCE)
    deviation = abs(sample - delay.mean)
    delay.deviation += SMOOTHING_FACTOR * (deviation - delay.deviation)
    delay.mean += SMOOTHING_FACTOR * (sample - delay.mean)


def find_allowance(delay: AnswerDelay) -> float:
    """Returns the seconds by which answers have to be due earlier."""
    allowance = delay.mean + DEVIATION_FACTOR * delay.deviation
    return min(MAX_ALLOWANCE, allowance)
