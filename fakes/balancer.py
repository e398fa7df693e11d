"""Fake of the platform's load balancer: forwards TCP connections.

It polls ``/healthz`` of the nodes and therefore detects a change with a
delay, like the real load balancer.
"""

import asyncio
import contextlib
import dataclasses
import itertools

import aiohttp
import cyclopts

CHECK_INTERVAL = 0.25  # seconds
CHECK_TIMEOUT = 1.0  # seconds
CHUNK = 64 << 10  # bytes


@dataclasses.dataclass(slots=True)
class Balancer:
    """State of the load balancer.

    Attributes:
        targets: Host and port of each node.
        healthy: Targets that passed the latest health check.
        connection_numbers: Counter for the round-robin choice.
    """

    targets: list[tuple[str, int]]
    healthy: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    connection_numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )


async def check_health(balancer: Balancer) -> None:
    """Checks the health of all targets periodically until cancelled."""
    timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            results = await asyncio.gather(
                *(_is_healthy(session, item) for item in balancer.targets)
            )
            balancer.healthy = [
                target
                for target, is_healthy in zip(
                    balancer.targets, results, strict=True
                )
                if is_healthy
            ]
            await asyncio.sleep(CHECK_INTERVAL)


async def forward(
    balancer: Balancer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Forwards a connection to a healthy target that accepts it."""
    for _ in range(len(balancer.healthy)):
        connection_number = next(balancer.connection_numbers)
        host, port = balancer.healthy[
            connection_number % len(balancer.healthy)
        ]
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            continue
        await asyncio.gather(
            _copy(reader, target_writer), _copy(target_reader, writer)
        )
        break
    writer.close()


async def _copy(reader, writer):
    with contextlib.suppress(OSError):
        while chunk := await reader.read(CHUNK):
            writer.write(chunk)
            await writer.drain()
    writer.close()


async def _is_healthy(session, target):
    host, port = target
    try:
        async with session.get(f'http://{host}:{port}/healthz') as resp:
            return resp.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def serve(balancer: Balancer, host: str, port: int) -> None:
    """Accepts and forwards connections until cancelled."""
    check = asyncio.create_task(check_health(balancer))

    async def accept(reader, writer):
        await forward(balancer, reader, writer)

    try:
        server = await asyncio.start_server(accept, host, port)
        await server.serve_forever()
    finally:
        check.cancel()


def main(
    targets: list[str], *, host: str = '127.0.0.1', port: int = 8080
) -> None:
    """Runs the fake load balancer.

    Args:
        targets: Callers' ports of the nodes as HOST:PORT.
        host: IP address to listen on.
        port: TCP port to listen on.
    """
    pairs = (target.rpartition(':') for target in targets)
    balancer = Balancer([(name, int(number)) for name, _, number in pairs])
    asyncio.run(serve(balancer, host, port))


if __name__ == '__main__':
    cyclopts.run(main)
