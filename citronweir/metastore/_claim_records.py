"""Translates between claims and the values that the store keeps."""

import json

from citronweir import core

CLAIMS_PREFIX = '/citronweir/claims/'


def claim_key(key: core.ClaimKey) -> str:
    """Returns the store's key of a claim.

    The request id is a UUID, so a slash in the contract id cannot make
    two claims share a key.
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
        value: Value as stored.

    Returns:
        The claim without its revision, or None with what is wrong.
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
