"""citronweir-node: one node of the query tier."""

import asyncio
import pathlib
import sys

import cyclopts

from citronweir import settings
from citronweir import telemetry
from citronweir.programs import _compose as compose

EXIT_SETTINGS = 2

app = cyclopts.App(name='citronweir-node', help=__doc__)


@app.default
def run(config: pathlib.Path, *, check: bool = False) -> int:
    """Runs a node until SIGTERM, then stops it gracefully.

    Args:
        config: INI file with the node's settings.
        check: Only check the settings and exit.

    Returns:
        Exit status: 0 after a graceful stop, 2 for wrong settings.
    """
    cfg, errors = settings.read_settings(config)
    for error in errors:
        print(error, file=sys.stderr)
    if cfg is None:
        return EXIT_SETTINGS
    if not check:
        telemetry.start_logging(cfg.log_level)
        asyncio.run(compose.run_node(cfg))
    return 0


def main() -> None:
    """Entry point of the program."""
    sys.exit(app())


if __name__ == '__main__':
    main()
