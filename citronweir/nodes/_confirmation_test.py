"""Tests of the time of a confirmation on its way to another node."""

import math

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir.nodes import _calls as calls
from citronweir.nodes import _codec as codec
from citronweir.nodes import _links as links
from citronweir.nodes import _messages as messages

SECONDS = st.floats(0.0, 100.0)


def _deliver(link, confirmed_boot):
    batch = core.ConfigBatch((), 9, 3, 0.0, confirmed_boot=confirmed_boot)
    message = calls._translate_confirmation(link, messages.Conf(0, batch))
    frame = codec.encode(message, 0.0)
    return codec.decode(frame[4:], 0.0).batch.confirmed_boot


@given(
    offset=st.floats(-1000.0, 1000.0),
    transit=SECONDS,
    pong_at=SECONDS,
    confirmed_at=SECONDS,
)
def test_confirmation_never_seems_younger_than_it_is(
    offset, transit, pong_at, confirmed_at
):
    """Guards withdrawn keys against announcements that waited in a buffer.

    The receiver's clock differs by an offset, and its pong took some time.
    How long the announcement takes doesn't matter.
    """
    link = links.Link(core.Address('10.0.0.1', 1))
    link.clocks = pong_at + offset, pong_at + transit
    received = _deliver(link, confirmed_at)
    assert received <= confirmed_at + offset + 1e-6
    assert received == pytest.approx(confirmed_at + offset - transit)


def test_announcement_before_the_first_pong_confirms_nothing():
    """Guards against a confirmation in a clock that is not known."""
    link = links.Link(core.Address('10.0.0.1', 1))
    assert _deliver(link, 5.0) == -math.inf
