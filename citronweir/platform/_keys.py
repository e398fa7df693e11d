"""Replaces API keys by digests, so that nodes neither hold nor send keys."""

from collections import abc
import hashlib
import json
import re

from citronweir import core
from citronweir.platform import _names as names

# Separates these digests from other uses of the hash. All nodes need the same
# digest of a key, since the owner of a group checks it again.
_DOMAIN = b'citronweir api key'
_DIGEST_BYTES = 16
_BEARER = re.compile(r'bearer +([!-~]+) *', re.IGNORECASE)
# An unreadable configuration might hold keys and is not passed on.
UNREADABLE = '\ufffd'


def digest_key(key: bytes) -> core.KeyDigest:
    """Returns the digest of an API key."""
    digest = hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=_DOMAIN)
    return core.KeyDigest(digest.hexdigest())


def decode_credential(
    values: list[str],
) -> core.KeyDigest | core.InvalidKey | None:
    """Decodes the values of the header that carries the API key.

    Args:
        values: Value of each such header of a request.

    Returns:
        The digest of the key, or None if there is no such header.
    """
    if not values:
        return None
    match = _BEARER.fullmatch(values[0].strip())
    if len(values) > 1 or match is None:
        return core.InvalidKey()
    return digest_key(match[1].encode('latin-1'))


def read_credential(
    headers: abc.Mapping[str, str],
) -> core.KeyDigest | core.InvalidKey | None:
    """Decodes the API key among the headers of a request, if there is one."""
    value = headers.get(names.AUTHORIZATION)
    return decode_credential([] if value is None else [value])


def redact_keys(text: str) -> str:
    """Replaces the API keys in a configuration by their digests.

    Args:
        text: Configuration as the operator wrote it.

    Returns:
        The same configuration with ``key_digests`` in place of ``api_keys``.
    """
    try:
        fields = json.loads(text)
        tenants = fields.get('tenants')
    except (AttributeError, RecursionError, ValueError):
        return UNREADABLE
    if not tenants:
        return text
    if not isinstance(tenants, list):
        return UNREADABLE
    fields['tenants'] = [_redact_tenant(item) for item in tenants]
    return json.dumps(fields, separators=(',', ':'))


def _redact_tenant(fields):
    if not isinstance(fields, dict):
        return None
    keys = fields.get('api_keys')
    plain = {name: fields[name] for name in fields if name != 'api_keys'}
    plain['key_digests'] = [
        digest_key(key.encode(errors='surrogatepass'))
        for key in (keys if isinstance(keys, list) else ())
        if isinstance(key, str)
    ]
    return plain
