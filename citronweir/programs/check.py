"""citronweir-check: checks a settings file without starting a node."""

import pathlib
import sys

import cyclopts

from citronweir import settings

EXIT_SETTINGS = 2

app = cyclopts.App(name='citronweir-check', help=__doc__)


@app.default
def check(
    config: pathlib.Path | None = None, *, reference: bool = False
) -> int:
    """Checks a settings file and prints all errors.

    Args:
        config: INI file with a node's settings.
        reference: Print a table of all settings instead.

    Returns:
        Exit status: 0 for a good file, 2 for wrong settings.
    """
    if reference:
        print(settings.render_reference(), end='')
        return 0
    if config is None:
        print('name a settings file, or give --reference', file=sys.stderr)
        return EXIT_SETTINGS
    _, errors = settings.read_settings(config)
    for error in errors:
        print(error, file=sys.stderr)
    if errors:
        return EXIT_SETTINGS
    print(f'{config}: the settings are good')
    return 0


def main() -> None:
    """Entry point of the program."""
    try:
        sys.exit(app(exit_on_error=False))
    except cyclopts.CycloptsError:
        sys.exit(EXIT_SETTINGS)


if __name__ == '__main__':
    main()
