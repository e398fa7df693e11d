"""Tests of the server of short texts."""

import asyncio
import time

from citronweir import core
from citronweir import listeners

# A request whose body is never sent.
INCOMPLETE_REQUEST = (
    b'POST /metrics HTTP/1.1\r\nHost: n1\r\nContent-Length: 10\r\n\r\n'
)


async def test_client_that_hangs_does_not_delay_the_stop():
    """Guards against a slow client that delays a stop until SIGKILL."""
    runner = await listeners.start_text_server(
        core.Address('127.0.0.1', 0), {'/metrics': lambda: (200, b'1')}
    )
    host, port = runner.addresses[0]
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(INCOMPLETE_REQUEST)
    await reader.readuntil(b'200 OK')
    started = time.monotonic()
    await runner.cleanup()
    assert time.monotonic() - started < 2.0
    writer.close()
