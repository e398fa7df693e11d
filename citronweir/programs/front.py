"""citronweir-front: one node of the query tier on the users' platform."""

import os
import signal

# Until the node handles it, a reload must not end the process, which is the
# default action. Importing the modules takes seconds on a busy machine.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

# All connections use plain HTTP. By default, aiohttp loads the machine's
# certificates on import, which takes 60 ms of CPU time at each start.
os.environ.setdefault('SSL_CERT_FILE', os.devnull)
os.environ.setdefault('SSL_CERT_DIR', os.devnull)

from citronweir import platform  # noqa: E402
from citronweir import telemetry  # noqa: E402
from citronweir.programs import _compose_front as compose  # noqa: E402

EXIT_SETTINGS = 2


def run(*, check: bool = False, deploy: pathlib.Path | None = None) -> int:
    """Runs a node until SIGTERM, then stops it gracefully.

    All settings are in a file of the platform, which an environment variable
    names.

    Args:
        check: Only check the settings and exit.
        deploy: Only check this deploy file and exit.

    Returns:
        Exit status: 0 after a graceful stop or for a good file, 2 for wrong
        settings or a wrong file.
    """
    if deploy is not None:
        return _check_deploy(deploy)
    boot = platform.read_boot()
    if isinstance(boot, platform.BootSettingsError):
        print(boot, file=sys.stderr)
        return EXIT_SETTINGS
    if check:
        print(f'node {boot.node_id}: the settings are good')
        return 0
    telemetry.start_json_logging('INFO')
    asyncio.run(compose.run_front(boot))
    return 0


def _check_deploy(path):
    errors = platform.check_deploy(path)
    for error in errors:
        print(error, file=sys.stderr)
    if errors:
        return EXIT_SETTINGS
    print(f'{path}: the file is good')
    return 0


def main() -> None:
    """Entry point of the program."""
    if not sys.argv[1:]:
        status = run()
        sys.stdout.flush()
        # Interpreter shutdown takes 0.1 s of CPU time, and a node that stops
        # under load may be killed before it finishes.
        os._exit(status)
    # The platform passes no arguments, so it is spared the import of the
    # command-line library, which takes 70 ms on half a core.
    import cyclopts

    app = cyclopts.App(name='citronweir-front', help=__doc__)
    app.default(run)
    sys.exit(app())


if __name__ == '__main__':
    main()
