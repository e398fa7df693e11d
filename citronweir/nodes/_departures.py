"""Encodes and decodes the departures of replicas."""

from citronweir import core
from citronweir.nodes import _messages as messages
from citronweir.nodes import _records as records


def encode_departures(message: messages.Departures, now: float) -> dict:
    """Encodes departures."""
    return {
        'r': [[item.replica_id, item.epoch] for item in message.departures]
    }


def decode_departures(fields: dict, now: float) -> messages.Departures:
    """Decodes departures.

    Raises:
        KeyError: A field is missing.
        RecordError: A field has the wrong type.
        ValueError: A departure is too short.
    """
    rows = records.check_list(fields['r'])
    return messages.Departures(tuple(map(_decode_row, rows)))


def _decode_row(row):
    replica_id, epoch, *_ = records.check_list(row)
    return core.Departure(
        core.ReplicaId(records.check_str(replica_id)),
        core.Epoch(records.check_uint(epoch)),
    )
