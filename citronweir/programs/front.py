"""citronweir-front: one node of the query tier on the users' platform."""

import asyncio
import sys

from citronweir import platform
from citronweir import telemetry
from citronweir.programs import _compose_front as compose

CHECK = '--check'
EXIT_SETTINGS = 2


def main() -> int:
    """Runs a node until SIGTERM, then stops it gracefully.

    The platform passes everything in the settings file that it names in
    the environment; the only argument, ``--check``, checks that file and
    leaves. A library for the command line would take 70 ms at each start.

    Returns:
        Exit status: 0 after a graceful stop, 2 for wrong settings or
        arguments.
    """
    if sys.argv[1:] not in ([], [CHECK]):
        print(f'usage: citronweir-front [{CHECK}]', file=sys.stderr)
        return EXIT_SETTINGS
    boot = platform.read_boot()
    if isinstance(boot, platform.BootError):
        print(boot, file=sys.stderr)
        return EXIT_SETTINGS
    if sys.argv[1:] == [CHECK]:
        print(f'node {boot.node_id}: the settings are good')
        return 0
    telemetry.start_json_logging('INFO')
    asyncio.run(compose.run_front(boot))
    return 0


if __name__ == '__main__':
    sys.exit(main())
