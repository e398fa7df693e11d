"""Finds requests under which replicas end, over all nodes and repeats."""

import hashlib

from citronweir.core import _data as data


def fingerprint_request(req: data.HttpRequest) -> data.Fingerprint:
    """Hashes what a replica would run, which repeats have in common."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (req.method, req.host.lower(), req.target):
        digest.update(part.encode(errors='surrogatepass') + b'\0')
    digest.update(req.body)
    return data.Fingerprint(digest.hexdigest())
