"""citronweir-explain: where a front node would send a request now, and why.

It asks the metrics address of a front node. Nothing is sent to a replica. The
API key is read from the environment variable CITRONWEIR_API_KEY, never from
the command line, where other users of the VM could see it.

Exit status: 0 explained; 2 wrong usage, or a value that the node rejects; 5
the node cannot be reached.
"""

import asyncio
import json
import os
import sys

import aiohttp
import cyclopts

KEY_VARIABLE = 'CITRONWEIR_API_KEY'
TIMEOUT = 5.0  # seconds
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 5

app = cyclopts.App(name='citronweir-explain', help=__doc__)


@app.default
def explain(
    node: str,
    host: str,
    path: str,
    *,
    method: str = 'GET',
    deadline_ms: int = 1000,
    body_bytes: int = 0,
    as_json: bool = False,
) -> int:
    """Explains a request.

    Args:
        node: Metrics address of the node, such as 10.1.0.9:9464.
        host: Host of the request.
        path: Path of the request.
        method: Method of the request.
        deadline_ms: Milliseconds that the caller waits.
        body_bytes: Size of the body.
        as_json: Print the node's answer as it is.
    """
    params = {
        'host': host,
        'path': path,
        'method': method,
        'deadline_ms': str(deadline_ms),
        'bytes': str(body_bytes),
    }
    try:
        status, text = asyncio.run(_fetch(node, params))
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        print(f'{node}: {type(exc).__name__}: {exc}', file=sys.stderr)
        return EXIT_UNAVAILABLE
    if status != 200:
        print(f'{node}: {text}', file=sys.stderr)
        return EXIT_USAGE
    print(text if as_json else _render(json.loads(text)))
    return 0


async def _fetch(node, params):
    headers = {}
    if key := os.environ.get(KEY_VARIABLE):
        headers['Authorization'] = f'Bearer {key}'
    timeout = aiohttp.ClientTimeout(total=TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.get(
            f'http://{node}/explain', params=params, headers=headers
        ) as resp:
            return resp.status, await resp.text()


def _render(answer):
    lines = [f'node {answer["node"]}']
    for step in answer['steps']:
        lines.append(f'{step["name"]}: {step["result"]}')
        for name, value in step['values'].items():
            if isinstance(value, dict):
                lines += [f'    {key}: {item}' for key, item in value.items()]
            else:
                lines.append(f'    {name}: {value}')
    return '\n'.join(lines)


def main() -> None:
    """Entry point of the program."""
    sys.exit(app())


if __name__ == '__main__':
    main()
