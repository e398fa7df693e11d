"""Stand-in of a replica on the users' platform, by its protocol.

It signs its answers, echoes request ids and misbehaves as a test says:
late or second answers, cut ones, refusals, another identity.
"""

import asyncio
import dataclasses
import enum
import functools
import time


class Fault(enum.Enum):
    """What a replica does with a request."""

    NONE = 'none'
    SHED = 'shed'
    ERROR = 'error'
    SILENT = 'silent'
    RESET = 'reset'
    CUT = 'cut'
    EXTRA = 'extra'
    LATE_EXTRA = 'late_extra'
    UNFRAMED = 'unframed'
    GARBAGE = 'garbage'
    UNSIGNED = 'unsigned'


@dataclasses.dataclass(slots=True)
class Replica:
    """State of a replica.

    Attributes:
        records: Body of its part.
        delay: Seconds that a request takes.
        max_conns: Connections that it accepts; it resets further ones.
        faults: Fault of each coming request; after them there is none.
        seen: Heads and bodies of the requests that came.
        seen_at: Monotonic second of each of them.
        ran: Ids of the requests that it worked on.
        cancelled: Requests whose connection closed while they ran.
        poison: Text in the first line of a request that ends the process.
        poison_delay: Seconds for which such a request runs before that.
        poison_reply: What the replica has sent of its answer by then.
        down: Seconds from an end to the next start.
        ended_by: Ids of the requests that ended it; empty where it ended by
            itself.
    """

    replica_id: str
    records: bytes = b''
    delay: float = 0.0
    faults: list[Fault] = dataclasses.field(default_factory=list)
    seen: list[tuple[str, dict[str, str], bytes]] = dataclasses.field(
        default_factory=list
    )
    seen_at: list[float] = dataclasses.field(default_factory=list)
    ran: list[str] = dataclasses.field(default_factory=list)
    cancelled: int = 0
    conns: int = 0
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
    """Starts to accept connections on the loopback."""
    replica.server = await asyncio.start_server(
        functools.partial(_serve, replica), '127.0.0.1', port
    )
    return replica.server


def end(replica: Replica, request_id: str = '') -> None:
    """Ends a replica as a process ends, and starts it again later.

    Its connections are reset, and its port refuses new ones meanwhile.
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


async def _serve(replica, reader, writer):
    replica.conns += 1
    if replica.open_conns >= replica.max_conns:
        writer.transport.abort()
        return
    replica.open_conns += 1
    replica.writers.add(writer)
    try:
        while await _serve_one(replica, reader, writer):
            pass
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    except asyncio.CancelledError:
        pass  # the loop ends while a silent replica holds its answer back
    finally:
        replica.open_conns -= 1
        replica.writers.discard(writer)
        writer.close()


async def _serve_one(replica, reader, writer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head.strip().split('\r\n')
    headers = dict(part.split(': ', 1) for part in rest)
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
    if replica.delay and await _is_cut(reader, replica.delay):
        replica.cancelled += 1
        return False
    return await _answer(replica, headers, writer, fault)


async def _is_cut(reader, delay):
    try:
        async with asyncio.timeout(delay):
            return not await reader.read(1)
    except TimeoutError:
        return False


async def _answer(replica, headers, writer, fault):
    request_id = headers['X-Request-Id']
    signed = {
        'X-Request-Id': request_id,
        'X-Server-Stamp': f'{replica.replica_id}.{request_id}',
        'X-Server-Load': '1,0,2',
    }
    whole = _render(200, signed, replica.records)
    match fault:
        case Fault.SHED:
            writer.write(_render(503, {'X-Not-Executed': '1'}))
        case Fault.ERROR:
            writer.write(_render(500, signed))
        case Fault.SILENT:
            await asyncio.sleep(3600)
        case Fault.RESET:
            writer.transport.abort()
            return False
        case Fault.CUT:
            writer.write(whole[:-1])
            return False
        case Fault.EXTRA:
            writer.write(whole + whole)
        case Fault.LATE_EXTRA:
            writer.write(whole)
            await writer.drain()
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, writer.write, whole)
        case Fault.UNFRAMED:
            lines = ''.join(f'{key}: {signed[key]}\r\n' for key in signed)
            writer.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
            writer.write(replica.records)
            return False
        case Fault.GARBAGE:
            writer.write(b'\x00\x01 no answer\r\n\r\n')
            return False
        case Fault.UNSIGNED:
            del signed['X-Server-Stamp']
            writer.write(_render(200, signed, replica.records))
        case _:
            writer.write(whole)
    return True


def _render(status, headers, body=b''):
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    head = f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
