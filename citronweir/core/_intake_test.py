"""Tests of which incomplete requests are dropped when memory is short."""

import hypothesis
from hypothesis import strategies as st
import pytest

from citronweir import core

MAX_BYTES = 3 * 1_000_000


def _make_crowd(count, size, at=0.0):
    intake = core.Intake(MAX_BYTES)
    for _ in range(count):
        upload = core.begin_upload(intake, at)
        core.hold_bytes(intake, upload, size, at)
    return intake


@hypothesis.given(
    parts=st.lists(
        st.tuples(
            st.integers(0, 9), st.integers(0, 300_000), st.floats(0.0, 2.0)
        ),
        max_size=100,
    ),
    completed=st.sets(st.integers(0, 9)),
)
def test_memory_stays_within_the_limit_for_any_crowd(parts, completed):
    """Guards the process against any mix of sizes, times and completions."""
    intake, now, by_number = core.Intake(MAX_BYTES), 0.0, {}
    for number, size, gap in parts:
        now += gap
        upload = by_number.get(number)
        if upload is None or upload not in intake.uploads:
            upload = by_number[number] = core.begin_upload(intake, now)
        if upload.is_complete:
            continue
        before = [item for item in intake.uploads if item.is_complete]
        core.hold_bytes(intake, upload, size, now)
        assert all(item in intake.uploads for item in before)
        assert intake.total <= MAX_BYTES * (1 + 0.25)
        if number in completed and upload in intake.uploads:
            upload.is_complete = True
        sizes = sum(item.size for item in intake.uploads)
        assert intake.total == core.INTAKE_COPIES * sizes


def test_stalled_bodies_are_dropped_for_one_that_arrives():
    """Guards callers with a large request against a crowd that has stopped."""
    intake = _make_crowd(3, 262_143)
    upload = core.begin_upload(intake, 5.0)
    dropped = []
    for number in range(16):
        now = 5.0 + number / 1000
        dropped += core.hold_bytes(intake, upload, 16_384, now)
    assert upload in intake.uploads
    assert len(dropped) == 1


@pytest.mark.parametrize('size', [262_143, 4000])
def test_small_request_finds_room_in_any_crowd(size):
    """Guards ordinary callers, whose requests have a few kilobytes."""
    intake = _make_crowd(2000, size)
    upload = core.begin_upload(intake, 1.0)
    core.hold_bytes(intake, upload, 2000, 1.0)
    assert upload in intake.uploads


def test_small_request_finds_room_beside_large_ones_that_run():
    """Guards ordinary callers against large bodies that can't be dropped."""
    intake = core.Intake(MAX_BYTES)
    while intake.total + 3 * 250_000 <= MAX_BYTES:
        upload = core.begin_upload(intake, 0.0)
        assert not core.hold_bytes(intake, upload, 250_000, 0.0)
        upload.is_complete = True
    large = core.begin_upload(intake, 1.0)
    assert core.hold_bytes(intake, large, 250_000, 1.0) == [large]
    small = core.begin_upload(intake, 1.0)
    assert not core.hold_bytes(intake, small, 2000, 1.0)


def test_small_chunks_leave_most_processor_time_to_others():
    """Guards the event loop against bodies in chunks of one byte."""
    intake, now, spent = core.Intake(), 0.0, 0.0
    while now < 10.0:
        delay = core.find_cpu_delay(intake, now)
        now += delay
        if not delay:
            core.charge_cpu(intake, 0.01, now)
            spent, now = spent + 0.01, now + 0.01
    assert 0.2 * 10.0 <= spent <= 0.27 * 10.0
