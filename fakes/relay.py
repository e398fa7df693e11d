"""Relays the streams between nodes, so that tests can partition them.

The relay listens at the address that each node advertises. It reads the
data centre of a stream's sender from the hello message. ``POST /cut``
with pairs of data centres closes the streams between them; new ones get
no reply until a later call omits the pair.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses

from aiohttp import web
import cyclopts
import msgpack

HOST = '127.0.0.1'
CHUNK = 65536  # bytes
_LENGTH_BYTES = 4


@dataclasses.dataclass(slots=True)
class Relay:
    """State of the relay.

    Attributes:
        partitioned: Pairs of data centres that are partitioned.
        stream_dcs: Data centres of both ends of each open stream.
    """

    partitioned: set[frozenset[str]] = dataclasses.field(default_factory=set)
    stream_dcs: dict[asyncio.Task, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )


def _make_stream_handler(relay, target_dc, target_port):
    async def accept(reader, writer):
        task = asyncio.current_task()
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, target_port
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(_copy_stream(target_reader, writer))
                hello, source_dc = await _read_hello(reader)
                relay.stream_dcs[task] = frozenset((source_dc, target_dc))
                if relay.stream_dcs[task] in relay.partitioned:
                    await reader.read()  # no reply until the sender closes
                    raise ConnectionResetError
                target_writer.write(hello)
                await _copy_stream(reader, target_writer)
        except* (OSError, EOFError, ValueError):
            pass
        except* asyncio.CancelledError:
            pass
        finally:
            relay.stream_dcs.pop(task, None)
            for stream_writer in (writer, target_writer):
                if stream_writer is not None:
                    stream_writer.transport.abort()

    return accept


async def _read_hello(reader):
    length_prefix = await reader.readexactly(_LENGTH_BYTES)
    body = await reader.readexactly(int.from_bytes(length_prefix))
    return length_prefix + body, str(msgpack.unpackb(body).get('dc', ''))


async def _copy_stream(reader, writer):
    while chunk := await reader.read(CHUNK):
        writer.write(chunk)
        await writer.drain()
    raise ConnectionResetError


def _make_cut_handler(relay):
    async def set_partitions(http_req):
        pairs = await http_req.json()
        relay.partitioned = {frozenset(pair) for pair in pairs}
        for task, pair in relay.stream_dcs.items():
            if pair in relay.partitioned:
                task.cancel()
        return web.json_response({})

    return set_partitions


async def _run(control, routes: abc.Sequence[str]):
    relay = Relay()
    app = web.Application()
    app.router.add_post('/cut', _make_cut_handler(relay))
    runner = web.AppRunner(app)
    async with contextlib.AsyncExitStack() as stack:
        for route in routes:
            port, dc, target = route.split(',')
            accept = _make_stream_handler(relay, dc, int(target))
            server = await asyncio.start_server(accept, HOST, int(port))
            await stack.enter_async_context(server)
        await runner.setup()
        await web.TCPSite(runner, HOST, control).start()
        await asyncio.Event().wait()


def main(*, control: int, route: tuple[str, ...]) -> None:
    """Runs the relay.

    Args:
        control: Port of ``POST /cut``.
        route: Port to listen on, data centre of the node and port of the
            node, separated by commas; repeat the option for each node.
    """
    asyncio.run(_run(control, route))


if __name__ == '__main__':
    cyclopts.run(main)
