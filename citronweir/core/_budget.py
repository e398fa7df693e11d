"""Budgets for hedged and retried sub-requests, and latency quantiles.

Each extra sub-request takes a token from a bucket that fills in
proportion to the sub-requests sent, so that failing upstreams receive
little more than their regular load. A hedge takes a token from the
retry bucket as well, which keeps hedges and retries together within the
retry share.
"""

import dataclasses
import math

from citronweir.core import _data as data

# Largest number of tokens in a bucket. A search of 490 pieces deposits 49
# tokens at a share of 10% and may need all of them at once, since the
# crash of a replica loses everything that runs there.
BUCKET_CAPACITY = 50.0
# Tokens in a new bucket, so that the first searches of a node can retry.
INITIAL_TOKENS = 5.0
# Share of failed sub-requests above which no retry is sent: if most
# upstreams fail, retries only add load.
MAX_FAILURE_RATE = 0.5
FAILURE_WEIGHT = 1 / 32  # of a new outcome in the failure rate
# Sub-requests that are rerouted because a replica does not hold the piece,
# as a share of all that are sent. The refusal costs that replica next to
# nothing, and a repartition reroutes all of its pieces, so these
# sub-requests take no tokens of the retry share.
REROUTE_SHARE = 1.0
REROUTE_BUCKET_CAPACITY = 1000.0
# Hedges at the 95th percentile would spend the whole budget of 5% on the
# ordinary spread of latencies and leave nothing for a replica that becomes
# slow.
HEDGE_QUANTILE = 0.97
# Replies that a quantile needs at least.
MIN_SAMPLES = 20
MIN_HEDGE_DELAY = 0.001  # seconds, resolution of the event loop's timers
HALF_WINDOW = 5.0  # seconds, half of a latency window
REFRESH_REPLIES = 64  # replies between updates of a quantile
# The histogram's bins widen by a factor of 2 ** (1 / 8), which bounds the
# error of a quantile to 9%.
BINS_PER_DOUBLING = 8
FIRST_BIN_END = 0.0001  # seconds, upper end of the first bin
BIN_COUNT = 160  # up to 100 s
SERVICE_WEIGHT = 1 / 64  # of a new reply in the mean service time
SHED_WEIGHT = 1 / 64  # of a new reply in the shed rate
# Share of shed sub-requests above which the upstreams count as overloaded.
OVERLOAD_SHED_RATE = 0.05


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket that fills in proportion to the sub-requests sent.

    Attributes:
        share: Tokens that each sub-request deposits.
        capacity: Largest number of tokens.
        tokens: Tokens that are left.
    """

    share: float
    capacity: float
    tokens: float


@dataclasses.dataclass(slots=True)
class LatencyWindow:
    """Histogram of latencies over the last 5 to 10 seconds.

    Attributes:
        bins: Number of replies by latency in the current half window.
        previous_bins: The same of the previous half window.
        rotate_at: Monotonic second at which the next half window begins.
        count: Replies since the window was made.
        service: Moving average of the service time: seconds of a reply
            without its queue delay.
        quantile: Quantile that gives the hedge delay.
        delay: Hedge delay in seconds, or None before there are enough
            replies.
    """

    bins: list[int]
    previous_bins: list[int]
    rotate_at: float
    count: int = 0
    service: float = 0.0
    quantile: float = HEDGE_QUANTILE
    delay: float | None = None


@dataclasses.dataclass(slots=True)
class Budgets:
    """Budgets and reply statistics of a node for one rank.

    Ranks have different queue delays and must not spend each other's
    tokens. With shared budgets a flood of deferrable work would use up
    the hedges of urgent work and lengthen their hedge delay.

    Attributes:
        hedges: Bucket of hedges alone.
        extra: Bucket of hedges and retries together.
        reroutes: Bucket of sub-requests that are rerouted because a
            replica does not hold the piece.
        shed_rate: Moving average of the share of shed sub-requests.
        failure_rate: Moving average of the share of failed sub-requests.
        windows: Latencies by index.
    """

    hedges: Bucket
    extra: Bucket
    reroutes: Bucket
    shed_rate: float = 0.0
    failure_rate: float = 0.0
    windows: dict[data.IndexName, LatencyWindow] = dataclasses.field(
        default_factory=dict
    )


def make_budgets(hedge_share: float, retry_share: float) -> Budgets:
    """Builds the budgets of a node for one rank.

    Args:
        hedge_share: Hedges as a share of sub-requests.
        retry_share: Hedges and retries together as a share of
            sub-requests.
    """
    return Budgets(
        _make_bucket(hedge_share),
        _make_bucket(retry_share),
        Bucket(
            REROUTE_SHARE, REROUTE_BUCKET_CAPACITY, REROUTE_BUCKET_CAPACITY
        ),
    )


def _make_bucket(share):
    # A share of zero disables hedges or retries, also for the first search.
    return Bucket(share, BUCKET_CAPACITY, INITIAL_TOKENS if share else 0.0)


def deposit_tokens(budgets: Budgets, count: int) -> None:
    """Deposits the tokens that first sub-requests earn in each bucket."""
    for bucket in (budgets.hedges, budgets.extra, budgets.reroutes):
        bucket.tokens = min(
            bucket.capacity, bucket.tokens + bucket.share * count
        )


def take_hedge(budgets: Budgets) -> bool:
    """Takes a token for a hedge; returns whether there was one."""
    return _take_token(budgets.hedges, budgets.extra)


def take_retry(budgets: Budgets) -> bool:
    """Takes a token for a retry; returns whether there was one."""
    if budgets.failure_rate > MAX_FAILURE_RATE:
        return False
    return _take_token(budgets.extra)


def take_reroute(budgets: Budgets) -> bool:
    """Takes a token for a reroute; returns whether there was one."""
    return _take_token(budgets.reroutes)


def record_latency(
    budgets: Budgets,
    index: data.IndexName,
    seconds: float,
    wait: float,
    now: float,
) -> None:
    """Records the latency of a reply.

    Args:
        budgets: Budgets of the search's rank.
        index: Index that was searched.
        seconds: Time from sending the sub-request until its reply arrived
            or was no longer waited for.
        wait: Queue delay that was expected when the sub-request was sent,
            seconds.
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
    """Builds an empty latency window.

    Args:
        now: Monotonic clock, seconds.
        service: Initial value of the average service time, seconds.
        quantile: Quantile that gives the hedge delay.
    """
    empty_bins = [0] * BIN_COUNT
    return LatencyWindow(
        empty_bins,
        empty_bins[:],
        now + HALF_WINDOW,
        service=service,
        quantile=quantile,
    )


def add_latency(window: LatencyWindow, seconds: float, now: float) -> None:
    """Adds one latency and updates the hedge delay at intervals."""
    if now >= window.rotate_at:
        _rotate_bins(window, now)
    window.bins[_bin_index(seconds)] += 1
    window.count += 1
    if window.count % REFRESH_REPLIES == 0 or window.count == MIN_SAMPLES:
        window.delay = _compute_hedge_delay(window)


def record_shed(budgets: Budgets, is_shed: bool) -> None:
    """Updates the shed rate with the outcome of one sub-request."""
    budgets.shed_rate += (is_shed - budgets.shed_rate) * SHED_WEIGHT


def record_failure(budgets: Budgets, is_failed: bool) -> None:
    """Updates the failure rate with the outcome of one sub-request."""
    budgets.failure_rate += (is_failed - budgets.failure_rate) * FAILURE_WEIGHT


def is_overloaded(budgets: Budgets) -> bool:
    """Returns whether the shed rate shows an overload of the upstreams."""
    return budgets.shed_rate > OVERLOAD_SHED_RATE


def hedge_delay(
    budgets: Budgets, index: data.IndexName, wait: float
) -> float | None:
    """Returns the seconds after which a sub-request is hedged.

    Args:
        budgets: Budgets of the search's rank.
        index: Index that is searched.
        wait: Expected queue delay, seconds. If it exceeds the service
            time, replies are late because of load, and a hedge would add
            to that load.

    Returns:
        The 97th percentile of the index's latencies, or None if no hedge
        should be sent: under overload, with long queues and before there
        are enough replies.
    """
    window = budgets.windows.get(index)
    if window is None or is_overloaded(budgets) or wait > window.service:
        return None
    return window.delay


def mean_service_time(budgets: Budgets, index: data.IndexName) -> float:
    """Returns the average service time of an index, 0 if unknown."""
    window = budgets.windows.get(index)
    return 0.0 if window is None else window.service


def read_quantile(window: LatencyWindow, share: float) -> float | None:
    """Estimates the latency that a share of the replies did not exceed.

    Returns:
        Seconds, at most 9% above the exact quantile, or None if there are
        fewer than 20 replies.
    """
    bins = [
        sum(pair)
        for pair in zip(window.bins, window.previous_bins, strict=True)
    ]
    total = sum(bins)
    if total < MIN_SAMPLES:
        return None
    remaining = share * total
    for position, count in enumerate(bins):
        remaining -= count
        if remaining <= 0:
            break
    return FIRST_BIN_END * 2 ** (position / BINS_PER_DOUBLING)


def _take_token(*buckets):
    if any(bucket.tokens < 1 for bucket in buckets):
        return False
    for bucket in buckets:
        bucket.tokens -= 1
    return True


def _rotate_bins(window, now):
    is_stale = now >= window.rotate_at + HALF_WINDOW
    window.previous_bins = [0] * BIN_COUNT if is_stale else window.bins
    window.bins = [0] * BIN_COUNT
    window.rotate_at = now + HALF_WINDOW


def _bin_index(seconds):
    if seconds <= FIRST_BIN_END:
        return 0
    position = math.ceil(
        math.log2(seconds / FIRST_BIN_END) * BINS_PER_DOUBLING
    )
    return min(position, BIN_COUNT - 1)


def _compute_hedge_delay(window):
    delay = read_quantile(window, window.quantile)
    return None if delay is None else max(delay, MIN_HEDGE_DELAY)
