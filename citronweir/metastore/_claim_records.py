"""Encodes and decodes claims as records of the key-value service."""

import json

from citronweir import core

CLAIMS_PREFIX = '/citronweir/claims/'


def claim_key(key: core.ClaimKey) -> str:
    """Returns the key under which a claim is stored.

    Keys stay unique even if a contract id contains a slash, since the
    request id is a UUID.
    """
    return f'{CLAIMS_PREFIX}{key.contract_id}/{key.request_id}'


def encode_claim(claim: core.Claim) -> str:
    """Encodes a claim as the JSON value of its record."""
    fields = {
        'state': claim.state.value,
        'token': claim.token,
        'node': claim.node,
    }
    if claim.state is core.ClaimState.DONE:
        fields |= {'result': claim.result, 'omitted': claim.result_omitted}
    return json.dumps(fields)


def decode_claim(value: str) -> tuple[core.Claim | None, list[str]]:
    """Decodes the JSON value of a claim's record.

    Args:
        value: Stored value.

    Returns:
        The claim without its revision and no errors, or None and the
        errors.
    """
    try:
        fields = json.loads(value)
        claim = core.Claim(
            core.ClaimState(fields['state']),
            core.ClaimToken(str(fields['token'])),
            core.NodeId(str(fields['node'])),
            str(fields.get('result', '')),
            result_omitted=bool(fields.get('omitted', False)),
        )
    except (KeyError, RecursionError, TypeError, ValueError) as exc:
        return None, [f'malformed claim: {exc!r}']
    return claim, []
