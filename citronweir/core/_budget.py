"""Limits the extra load of hedges and retries and learns latencies.

Extra sub-requests are paid from token buckets that fill with the
sub-requests sent, so that a failing fleet gets little more than its
plain load. A hedge also draws on the bucket of the retries: hedges and
retries together stay within the retry share.
"""

import dataclasses
import math

from citronweir.core import _data as data

# Tokens that a bucket holds at most. One search of 490 pieces deposits
# 49 tokens at a share of 10%, which it may need at once; a crash loses
# all that ran at a replica at once.
BURST = 50.0
# Tokens at the start, so that the first searches of a node can retry.
START_TOKENS = 5.0
# Share of failed sub-requests from which no retry is sent: when most of
# the upstreams fail, retries only add load.
RETRY_STOP_SHARE = 0.5
FAIL_WEIGHT = 1 / 32  # of a new outcome in the share of failures
# Sub-requests to other replicas after "not held" as a share of those
# sent. They cost the replicas next to nothing, and a repartition needs
# them for all of its pieces, so they do not draw on the retry share.
MOVE_SHARE = 1.0
MOVE_BURST = 1000.0
# At the 95th percentile ordinary lateness alone would spend the whole
# budget of 5%, and nothing would be left for a replica that turns slow.
HEDGE_QUANTILE = 0.97
# Replies from which a quantile is taken seriously.
MIN_SAMPLES = 20
MIN_HEDGE_DELAY = 0.001  # seconds, the resolution of the loop's timers
WINDOW = 5.0  # seconds that one half of a latency window covers
REFRESH = 64  # replies after which a quantile is worked out again
# Bins grow by 2 ** (1 / 8), which bounds the error of a quantile to 9%.
BINS_PER_DOUBLING = 8
SMALLEST = 0.0001  # seconds, upper end of the first bin
BIN_COUNT = 160  # up to 100 s
SERVICE_WEIGHT = 1 / 64  # of a new reply in the mean service time
SHED_WEIGHT = 1 / 64  # of a new reply in the share of shed work
# Share of shed sub-requests from which the fleet counts as overloaded.
OVERLOAD_SHARE = 0.05


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket that fills with the sub-requests sent."""

    share: float
    burst: float
    tokens: float


@dataclasses.dataclass(slots=True)
class LatencyWindow:
    """Latencies of an index over the last 5 to 10 seconds.

    Attributes:
        bins: Replies of the current half window by size of latency.
        previous: Replies of the half window before.
        rotate_at: Monotonic second at which the halves change over.
        service: Mean seconds of a reply without its queue delay.
        quantile: Share of replies that are not late.
        delay: Hedge delay as last worked out, or None.
    """

    bins: list[int]
    previous: list[int]
    rotate_at: float
    count: int = 0
    service: float = 0.0
    quantile: float = HEDGE_QUANTILE
    delay: float | None = None


@dataclasses.dataclass(slots=True)
class Budgets:
    """Budgets of a node for one rank and what it learned from replies.

    Ranks wait differently and must not spend each other's tokens: a
    flood of deferrable work would else drain the hedges of urgent work
    and lengthen their delay.

    Attributes:
        hedges: Bucket of hedges alone.
        extra: Bucket of hedges and retries together.
        moves: Bucket of sub-requests that follow "not held".
        shed_share: Moving share of sub-requests that were shed.
        fail_share: Moving share of sub-requests that failed.
    """

    hedges: Bucket
    extra: Bucket
    moves: Bucket
    shed_share: float = 0.0
    fail_share: float = 0.0
    windows: dict[data.IndexName, LatencyWindow] = dataclasses.field(
        default_factory=dict
    )


def make_budgets(hedge_share: float, retry_share: float) -> Budgets:
    """Builds the budgets of a node for one rank.

    Args:
        hedge_share: Hedges as a share of sub-requests.
        retry_share: Hedges and retries together as a share of them.
    """
    return Budgets(
        _make_bucket(hedge_share),
        _make_bucket(retry_share),
        Bucket(MOVE_SHARE, MOVE_BURST, MOVE_BURST),
    )


def _make_bucket(share):
    # A share of zero switches hedges or retries off from the start.
    return Bucket(share, BURST, START_TOKENS if share else 0.0)


def deposit_tokens(budgets: Budgets, count: int) -> None:
    """Deposits the share of some first sub-requests."""
    for bucket in (budgets.hedges, budgets.extra, budgets.moves):
        bucket.tokens = min(bucket.burst, bucket.tokens + bucket.share * count)


def take_hedge(budgets: Budgets) -> bool:
    """Takes the token of a hedge; returns whether there was one."""
    return _take(budgets.hedges, budgets.extra)


def take_retry(budgets: Budgets) -> bool:
    """Takes the token of a retry; returns whether there was one."""
    if budgets.fail_share > RETRY_STOP_SHARE:
        return False
    return _take(budgets.extra)


def take_reroute(budgets: Budgets) -> bool:
    """Takes the token of a sub-request that follows "not held"."""
    return _take(budgets.moves)


def record_latency(
    budgets: Budgets,
    index: data.IndexName,
    seconds: float,
    wait: float,
    now: float,
) -> None:
    """Records the latency of a reply.

    Args:
        budgets: Where to record it.
        index: Index that was searched.
        seconds: From sending to the reply, or to the moment when the
            wait for it ended.
        wait: Queue delay that was expected when it was sent, seconds.
        now: Monotonic clock, seconds.
    """
    window = budgets.windows.get(index)
    if window is None:
        window = make_latency_window(now, max(0.0, seconds - wait))
        budgets.windows[index] = window
    add_latency(window, seconds, now)
    service = seconds - wait
    window.service += (max(0.0, service) - window.service) * SERVICE_WEIGHT


def make_latency_window(
    now: float, service: float = 0.0, quantile: float = HEDGE_QUANTILE
) -> LatencyWindow:
    """Builds an empty window.

    Args:
        now: Monotonic clock, seconds.
        service: Seconds of a reply that are assumed at first.
        quantile: Share of replies that are not late.
    """
    empty = [0] * BIN_COUNT
    return LatencyWindow(
        empty, empty[:], now + WINDOW, service=service, quantile=quantile
    )


def add_latency(window: LatencyWindow, seconds: float, now: float) -> None:
    """Records one latency; now and then works out the hedge delay."""
    if now >= window.rotate_at:
        _rotate(window, now)
    window.bins[_find_bin(seconds)] += 1
    window.count += 1
    if window.count % REFRESH == 0 or window.count == MIN_SAMPLES:
        window.delay = _read_delay(window)


def record_shed(budgets: Budgets, is_shed: bool) -> None:
    """Records whether a sub-request was shed for lack of capacity."""
    budgets.shed_share += (is_shed - budgets.shed_share) * SHED_WEIGHT


def record_failure(budgets: Budgets, is_failed: bool) -> None:
    """Records whether a sub-request ended without a usable reply."""
    budgets.fail_share += (is_failed - budgets.fail_share) * FAIL_WEIGHT


def is_overloaded(budgets: Budgets) -> bool:
    """Returns whether the upstreams shed a noticeable share of work."""
    return budgets.shed_share > OVERLOAD_SHARE


def hedge_delay(
    budgets: Budgets, index: data.IndexName, wait: float
) -> float | None:
    """Returns the seconds after which a reply is late enough to hedge.

    Args:
        budgets: Budgets of the search's rank.
        index: Index that is searched.
        wait: Queue delay that is expected, seconds. Where it exceeds
            the service time, late replies come from load, and a hedge
            would add to it.

    Returns:
        The 97th percentile of the index, or None under overload and
        before there are enough replies.
    """
    window = budgets.windows.get(index)
    if window is None or is_overloaded(budgets) or wait > window.service:
        return None
    return window.delay


def mean_service_time(budgets: Budgets, index: data.IndexName) -> float:
    """Returns the mean seconds of a reply without its queue delay."""
    window = budgets.windows.get(index)
    return 0.0 if window is None else window.service


def read_quantile(window: LatencyWindow, share: float) -> float | None:
    """Returns the latency that a share of replies did not exceed.

    Returns:
        Seconds, at most 9% too long, or None below 20 replies.
    """
    bins = [
        sum(pair) for pair in zip(window.bins, window.previous, strict=True)
    ]
    total = sum(bins)
    if total < MIN_SAMPLES:
        return None
    left = share * total
    for number, count in enumerate(bins):
        left -= count
        if left <= 0:
            break
    return SMALLEST * 2 ** (number / BINS_PER_DOUBLING)


def _take(*buckets):
    if any(bucket.tokens < 1 for bucket in buckets):
        return False
    for bucket in buckets:
        bucket.tokens -= 1
    return True


def _rotate(window, now):
    stale = now >= window.rotate_at + WINDOW
    window.previous = [0] * BIN_COUNT if stale else window.bins
    window.bins = [0] * BIN_COUNT
    window.rotate_at = now + WINDOW


def _find_bin(seconds):
    if seconds <= SMALLEST:
        return 0
    number = math.ceil(math.log2(seconds / SMALLEST) * BINS_PER_DOUBLING)
    return min(number, BIN_COUNT - 1)


def _read_delay(window):
    delay = read_quantile(window, window.quantile)
    return None if delay is None else max(delay, MIN_HEDGE_DELAY)
