"""Tests of the log events."""

import pathlib

from citronweir.telemetry import _events as events

CATALOGUE = pathlib.Path(__file__).parents[2] / 'docs' / 'events.md'


def test_catalogue_matches_the_code():
    """Guards against a catalogue in docs/ that is out of date."""
    assert CATALOGUE.read_text(encoding='utf-8') == events.render_catalogue()


def test_numbers_are_unique():
    """Guards against two events with the same number."""
    numbers = [event.value.number for event in events.Event]
    assert len(numbers) == len(set(numbers))
