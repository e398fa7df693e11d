"""Estimates the lower bound of latency that service times alone impose.

A search ends with its slowest piece. Without queues, faults or overhead of
the query tier, its latency is the maximum of the service times of its pieces,
which the stand-ins draw from an exponential distribution.
"""

import random

SAMPLES = 20_000
QUANTILES = (0.5, 0.99, 0.999)


def sample_bound(
    shards: int, service_ms: float, rng: random.Random
) -> dict[str, float]:
    """Samples the distribution of the slowest piece of a search.

    Args:
        shards: Number of pieces of a search.
        service_ms: Mean service time of a piece, milliseconds.
        rng: Source of the samples.

    Returns:
        Milliseconds by quantile.
    """
    slowest = sorted(
        max(rng.expovariate(1 / service_ms) for _ in range(shards))
        for _ in range(SAMPLES)
    )
    return {
        f'p{quantile * 100:g}': slowest[int(quantile * SAMPLES)]
        for quantile in QUANTILES
    }
