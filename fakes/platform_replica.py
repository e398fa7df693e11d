"""Fake replica on the users' platform, according to its protocol.

It returns signed responses with the id of the request. Tests inject
faults: late, duplicate, truncated and malformed responses, rejected
requests, reset connections, crashes and a different replica id.
"""

import asyncio
import dataclasses
import enum
import functools
import time


class Fault(enum.Enum):
    """How a replica mishandles a request.

    SHED responds that the request was not executed, CUT omits the last
    byte of the response, EXTRA and LATE_EXTRA send the response twice,
    UNFRAMED sends no Content-Length, GARBAGE sends no HTTP, UNSIGNED omits
    the signature. The ERROR ones run the request and fail. The ENDLESS ones
    send bytes until the caller closes.
    """

    NONE = 'none'
    SHED = 'shed'
    ERROR = 'error'
    UNSIGNED_ERROR = 'unsigned_error'
    CUT_ERROR = 'cut_error'
    SILENT = 'silent'
    RESET = 'reset'
    CUT = 'cut'
    EXTRA = 'extra'
    LATE_EXTRA = 'late_extra'
    UNFRAMED = 'unframed'
    GARBAGE = 'garbage'
    UNSIGNED = 'unsigned'
    ENDLESS_HEAD = 'endless_head'
    ENDLESS_LINE = 'endless_line'
    ENDLESS_BODY = 'endless_body'
    ENDLESS_CHUNKS = 'endless_chunks'
    ENDLESS_TRAILER = 'endless_trailer'
    ENDLESS_INTERIM = 'endless_interim'


_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
PIECE_INTERVAL = 0.001  # seconds
MAX_PIECES = 1 << 12
PIECE_ITEMS = 1 << 12  # header fields or chunks in a piece
DISTINCT_PIECES = 64


@functools.cache
def _make_fields(number):
    names = (f'a{number:x}-{item:x}' for item in range(PIECE_ITEMS))
    return ''.join(f'{name}: b\r\n' for name in names).encode()


def _make_same(piece):
    return lambda number: piece


# For each fault, the first bytes and a function of the number of the piece.
ENDLESS = {
    Fault.ENDLESS_HEAD: (_OK, _make_fields),
    Fault.ENDLESS_LINE: (_OK + b'a: ', _make_same(b'b' * 65536)),
    Fault.ENDLESS_BODY: (_OK + b'\r\n', _make_same(b'b' * 65536)),
    Fault.ENDLESS_CHUNKS: (
        _CHUNKED,
        _make_same(b'2\r\nbb\r\n' * PIECE_ITEMS),
    ),
    Fault.ENDLESS_TRAILER: (_CHUNKED + b'0\r\n', _make_fields),
    Fault.ENDLESS_INTERIM: (
        b'',
        _make_same(b'HTTP/1.1 100 Continue\r\n\r\n' * PIECE_ITEMS),
    ),
}


@dataclasses.dataclass(slots=True)
class Replica:
    """State of a replica.

    Attributes:
        records: Body of its responses.
        delay: Duration of a request in seconds.
        faults: Faults of the next requests, in order.
        error_status: Status of a failure.
        seen: Request line, headers and body of each received request.
        seen_at: Monotonic time of each received request in seconds.
        ran: Ids of the requests that it executed.
        cancelled: Number of requests whose connection closed while they
            ran.
        conns: Number of connections opened so far.
        is_leaving: Whether it says in each response that it is leaving.
        left_at: Monotonic time of its first response that says so.
        retry_after: Seconds that its rejections ask for, or empty.
        refusals: Time, request id and seconds of each rejection that asks
            for a pause.
        max_conns: Limit of open connections; further ones are reset.
        poison: Text in the request line that crashes the replica.
        poison_delay: Seconds from such a request to the crash.
        poison_reply: Bytes of the response that are sent before the crash.
        restart_delay: Seconds from a crash to the restart.
        crash_request_ids: For each crash, the id of the request that
            caused it, or an empty string if there was none.
        writers: Writers of the open connections.
    """

    replica_id: str
    records: bytes = b''
    delay: float = 0.0
    faults: list[Fault] = dataclasses.field(default_factory=list)
    error_status: int = 500
    seen: list[tuple[str, dict[str, str], bytes]] = dataclasses.field(
        default_factory=list
    )
    seen_at: list[float] = dataclasses.field(default_factory=list)
    ran: list[str] = dataclasses.field(default_factory=list)
    cancelled: int = 0
    conns: int = 0
    is_leaving: bool = False
    left_at: float | None = None
    retry_after: str = ''
    refusals: list[tuple[float, str, float]] = dataclasses.field(
        default_factory=list
    )
    max_conns: int = 1000
    open_conns: int = 0
    poison: str = ''
    poison_delay: float = 0.0
    poison_reply: bytes = b''
    restart_delay: float = 1.0
    crash_request_ids: list[str] = dataclasses.field(default_factory=list)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)


async def start(replica: Replica, port: int = 0) -> asyncio.Server:
    """Listens on the loopback; port 0 chooses a free port."""
    replica.server = await asyncio.start_server(
        functools.partial(_serve_connection, replica), '127.0.0.1', port
    )
    return replica.server


def end(replica: Replica, request_id: str = '') -> None:
    """Simulates a crash of the replica's process and its restart.

    Open connections are reset, and until the restart the port refuses new
    ones.

    Args:
        replica: Replica that crashes.
        request_id: Request that causes the crash, if any.
    """
    if not replica.server.is_serving():
        return
    replica.crash_request_ids.append(request_id)
    port = replica.server.sockets[0].getsockname()[1]
    replica.server.close()
    for writer in list(replica.writers):
        writer.transport.abort()
    loop = asyncio.get_running_loop()
    loop.call_later(
        replica.restart_delay, lambda: loop.create_task(start(replica, port))
    )


async def _serve_connection(replica, reader, writer):
    replica.conns += 1
    if replica.open_conns >= replica.max_conns:
        writer.transport.abort()
        return
    replica.open_conns += 1
    replica.writers.add(writer)
    try:
        while await _serve_request(replica, reader, writer):
            pass
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    except asyncio.CancelledError:
        pass  # the event loop stops while Fault.SILENT withholds a response
    finally:
        replica.open_conns -= 1
        replica.writers.discard(writer)
        writer.close()


async def _serve_request(replica, reader, writer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *header_lines = head.strip().split('\r\n')
    headers = dict(part.split(': ', 1) for part in header_lines)
    length = int(headers.get('Content-Length', 0))
    body = await reader.readexactly(length)
    replica.seen.append((line, headers, body))
    replica.seen_at.append(time.monotonic())
    if headers.get('X-Expect-Instance') != replica.replica_id:
        writer.write(_render(421, {'X-Instance-Id': replica.replica_id}))
        return True
    fault = replica.faults.pop(0) if replica.faults else Fault.NONE
    if fault is not Fault.SHED:
        replica.ran.append(headers['X-Request-Id'])
    if replica.poison and replica.poison in line:
        await asyncio.sleep(replica.poison_delay)
        writer.write(replica.poison_reply)
        end(replica, headers['X-Request-Id'])
        return False
    if replica.delay and await _is_closed_during(reader, replica.delay):
        replica.cancelled += 1
        return False
    return await _respond(replica, headers, writer, fault)


async def _is_closed_during(reader, delay):
    try:
        async with asyncio.timeout(delay):
            return not await reader.read(1)
    except TimeoutError:
        return False


async def _send_without_end(writer, start, make_piece):
    """Sends bytes until the connection is closed, up to a bound."""
    writer.write(start)
    for number in range(MAX_PIECES):
        writer.write(make_piece(number % DISTINCT_PIECES))
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL)


async def _respond(replica, headers, writer, fault):
    request_id = headers['X-Request-Id']
    signature_headers = {
        'X-Request-Id': request_id,
        'X-Server-Stamp': f'{replica.replica_id}.{request_id}',
        'X-Server-Load': '1,0,2',
    }
    notices = {'Server-Leaving': '1'} if replica.is_leaving else {}
    if replica.is_leaving and replica.left_at is None:
        replica.left_at = time.monotonic()
    signature_headers |= notices
    response = _render(200, signature_headers, replica.records)
    match fault:
        case Fault.SHED:
            notices |= {'X-Not-Executed': '1'}
            if replica.retry_after:
                notices |= {'Retry-After': replica.retry_after}
                seconds = float(replica.retry_after)
                refusal = (time.monotonic(), request_id, seconds)
                replica.refusals.append(refusal)
            writer.write(_render(503, notices))
        case Fault.ERROR:
            writer.write(_render(replica.error_status, signature_headers))
        case Fault.UNSIGNED_ERROR:
            del signature_headers['X-Server-Stamp']
            writer.write(_render(replica.error_status, signature_headers))
        case Fault.CUT_ERROR:
            error = _render(replica.error_status, signature_headers, b'error')
            writer.write(error[:-1])
            return False
        case Fault.SILENT:
            await asyncio.sleep(3600)
        case Fault.RESET:
            writer.transport.abort()
            return False
        case Fault.CUT:
            writer.write(response[:-1])
            return False
        case Fault.EXTRA:
            writer.write(response + response)
        case Fault.LATE_EXTRA:
            writer.write(response)
            await writer.drain()
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, writer.write, response)
        case Fault.UNFRAMED:
            lines = ''.join(
                f'{key}: {signature_headers[key]}\r\n'
                for key in signature_headers
            )
            writer.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
            writer.write(replica.records)
            return False
        case Fault.GARBAGE:
            writer.write(b'\x00\x01 no answer\r\n\r\n')
            return False
        case _ if fault in ENDLESS:
            await _send_without_end(writer, *ENDLESS[fault])
            return False
        case Fault.UNSIGNED:
            del signature_headers['X-Server-Stamp']
            writer.write(_render(200, signature_headers, replica.records))
        case _:
            writer.write(response)
    return True


def _render(status, headers, body=b''):
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    head = f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
