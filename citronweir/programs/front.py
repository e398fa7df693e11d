"""citronweir-front: one node of the query tier on the users' platform."""

import asyncio
import sys

from citronweir import platform
from citronweir import telemetry
from citronweir.programs import _compose_front as compose

EXIT_SETTINGS = 2


def main() -> int:
    """Runs a node until SIGTERM, then stops it gracefully.

    Returns:
        Exit status: 0 after a graceful stop, 2 for wrong settings.
    """
    boot = platform.read_boot()
    if isinstance(boot, platform.BootError):
        print(boot, file=sys.stderr)
        return EXIT_SETTINGS
    telemetry.start_json_logging('INFO')
    asyncio.run(compose.run_front(boot))
    return 0


if __name__ == '__main__':
    sys.exit(main())
