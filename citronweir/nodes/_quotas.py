"""Encodes and decodes the messages about the quotas of tenants."""

from citronweir import core
from citronweir.nodes import _messages as messages
from citronweir.nodes import _records as records


def encode_spend(message: messages.Spend, now: float) -> dict:
    """Encodes the report or the request of tokens."""
    return {
        's': message.seq,
        'n': message.tenant,
        'c': message.count,
        'a': message.is_asking,
    }


def decode_spend(fields: dict, now: float) -> messages.Spend:
    """Decodes the report or the request of tokens.

    Raises:
        KeyError: A field is missing.
        RecordError: A field has the wrong type.
    """
    return messages.Spend(
        records.check_uint(fields['s']),
        core.TenantName(records.check_str(fields['n'])),
        records.check_finite(fields['c']),
        records.check_bool(fields['a']),
    )


def encode_spent(message: messages.Spent, now: float) -> dict:
    """Encodes the decision of a keeper."""
    decision = message.decision
    return {
        's': message.seq,
        'k': decision.is_keeper,
        'g': decision.is_granted,
        'w': decision.wait,
        'l': decision.limited_for,
    }


def decode_spent(fields: dict, now: float) -> messages.Spent:
    """Decodes the decision of a keeper; raises like ``decode_spend``."""
    return messages.Spent(
        records.check_uint(fields['s']),
        core.QuotaDecision(
            records.check_bool(fields['k']),
            records.check_bool(fields['g']),
            records.check_nonnegative(fields['w']),
            records.check_nonnegative(fields['l']),
        ),
    )


def encode_limited(message: messages.Limited, now: float) -> dict:
    """Encodes the notice that a tenant is near its limit."""
    return {'n': message.tenant, 'l': message.seconds}


def decode_limited(fields: dict, now: float) -> messages.Limited:
    """Decodes the notice; raises like ``decode_spend``."""
    return messages.Limited(
        core.TenantName(records.check_str(fields['n'])),
        records.check_nonnegative(fields['l']),
    )
