"""citronweir-query: searches and orders from the command line."""

import asyncio
import json
import sys

import aiohttp
import cyclopts
import uuid6

from citronweir import callers

EXIT_OUTCOMES = {'complete': 0, 'partial': 3, 'refused': 4, 'unknown': 5}
EXIT_MALFORMED = 2
EXIT_FAILED = 6
EXIT_UNREACHABLE = 7

app = cyclopts.App(name='citronweir-query', help=__doc__)


@app.command
def search(
    url: str,
    contract: str,
    index: str,
    query: str,
    *,
    limit: int = 10,
    deadline_ms: float | None = None,
    request_id: str | None = None,
) -> int:
    """Searches an index and prints the answer as JSON.

    Args:
        url: Base URL of a node or of the balancer.
        contract: Id of a contract in force.
        index: Index to search.
        query: Search terms.
        limit: Maximum number of hits.
        deadline_ms: Milliseconds until the answer is due; the
            contract's latency target if not given.
        request_id: Id of the request; a new one if not given.

    Returns:
        Exit status by outcome, see docs/callers.md.
    """
    fields = {
        'contract': contract,
        'request_id': request_id or str(uuid6.uuid7()),
        'index': index,
        'query': query,
        'limit': limit,
        'deadline_ms': deadline_ms,
    }
    return asyncio.run(_send(callers.post_search, url, fields))


@app.command
def order(
    url: str,
    contract: str,
    index: str,
    body: str,
    *,
    deadline_ms: float | None = None,
    request_id: str | None = None,
) -> int:
    """Sends a work order, which runs at most once for its request id.

    Args:
        url: Base URL of a node or of the balancer.
        contract: Id of a contract in force.
        index: Index whose service executes the order.
        body: Text of the order.
        deadline_ms: Milliseconds until the answer is due; the
            contract's latency target if not given.
        request_id: Id of an earlier order to repeat, a UUIDv7; a new one
            if not given.

    Returns:
        Exit status by outcome, see docs/callers.md.
    """
    fields = {
        'contract': contract,
        'request_id': request_id or str(uuid6.uuid7()),
        'index': index,
        'body': body,
        'deadline_ms': deadline_ms,
        'first_attempt': request_id is None,
    }
    return asyncio.run(_send(callers.post_order, url, fields))


async def _send(post, url, fields):
    async with aiohttp.ClientSession() as session:
        reply = await post(session, url, fields)
    if isinstance(reply, callers.CallerError):
        request_id = fields['request_id']
        print(
            f'no reply to request {request_id}: {reply.detail}',
            file=sys.stderr,
        )
        return EXIT_UNREACHABLE
    print(json.dumps(reply, indent=2))
    if reply.get('reason') == 'malformed':
        return EXIT_MALFORMED
    return EXIT_OUTCOMES.get(reply.get('outcome'), EXIT_FAILED)


def main() -> None:
    """Entry point of the program."""
    sys.exit(app())


if __name__ == '__main__':
    main()
