"""Runs a stub HTTP server for measurements, in a process of its own.

The server parses only the framing of requests, so that it is never the
bottleneck when a client is measured. Each of its addresses acts as a replica
whose name is that address.
"""

import argparse
import asyncio
import contextlib
import json
import sys

from bench import _fleet_data as fleet_data

LIFETIME = 300.0  # seconds, in case standard input stays open
HOSTS = tuple(f'127.0.0.{number}' for number in range(1, 17))
PIECES = 490


class _ServerConnection(asyncio.Protocol):
    """Connection of a client, with its unparsed bytes."""

    def connection_made(self, transport):
        self.transport = transport
        self.buffer = b''
        self.host = transport.get_extra_info('sockname')[0]

    def data_received(self, data):
        self.buffer += data
        while True:
            head, separator, rest = self.buffer.partition(b'\r\n\r\n')
            if not separator:
                return
            lines = head.lower().split(b'\r\n')
            headers = dict(line.split(b': ', 1) for line in lines[1:])
            length = int(headers.get(b'content-length', 0))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.transport.write(_make_response(self.host, lines[0], headers))


def _make_response(host, request_line, headers):
    if b'/status' in request_line:
        body = encode_status(host)
    elif b'x-batch' in headers:
        search_reply = encode_answer(fleet_data.HITS)
        body = (
            b'[' + b','.join([search_reply] * int(headers[b'x-batch'])) + b']'
        )
    else:
        body = encode_answer(int(headers[b'traceparent']))
    head = (
        'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
        f'x-request-id: {fleet_data.REQUEST_ID}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def encode_status(host: str) -> bytes:
    """Encodes the status of the replica at an address."""
    replica = fleet_data.make_replica(0, PIECES)
    fields = {
        'replica': host,
        'epoch': replica.epoch,
        'state': replica.state.value,
        'slots': replica.slots,
        'max_conns': replica.max_conns,
        'load': 0.5,
        'holdings': [
            {
                'index': item.index,
                'snapshot': item.snapshot,
                'lo': item.key_range.lo,
                'hi': item.key_range.hi,
                'docs': item.docs,
                'total_docs': item.total_docs,
            }
            for item in replica.holdings
        ],
    }
    return json.dumps(fields).encode()


def encode_answer(hits: int) -> bytes:
    """Encodes the reply to the sub-search of the first piece."""
    key_range = fleet_data.make_range(0, PIECES)
    answer = fleet_data.make_answer(key_range, PIECES, hits)
    fields = {
        'request_id': fleet_data.REQUEST_ID,
        'snapshot': answer.snapshot,
        'lo': key_range.lo,
        'hi': key_range.hi,
        'docs_searched': answer.docs_searched,
        'docs': answer.docs,
        'total_docs': answer.total_docs,
        'hits': [
            {'id': hit.doc_id, 'score': hit.score, 'text': hit.text}
            for hit in answer.hits
        ],
    }
    return json.dumps(fields).encode()


async def _serve(port):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        _ServerConnection, HOSTS, port, backlog=256
    )
    print('ready', flush=True)
    # The server stops when its parent exits, which closes the pipe.
    closed = asyncio.Event()
    loop.add_reader(sys.stdin.fileno(), closed.set)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(closed.wait(), LIFETIME)
    loop.remove_reader(sys.stdin.fileno())
    server.close()


def main() -> None:
    """Serves until standard input is closed or the lifetime is over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('port', type=int)
    args = parser.parse_args()
    asyncio.run(_serve(args.port))


if __name__ == '__main__':
    main()
