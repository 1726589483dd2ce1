"""``citrondyked``, the daemon."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import logbook
from cyclopts import App, Parameter

from citrondyke.cmd import patch  # noqa: F401  (first: it patches the standard library)
from citrondyke.cmd.run_daemon import run_daemon
from citrondyke.errors import SettingsInvalidError
from citrondyke.platform.settings_file import is_platform_file, platform_settings
from citrondyke.settings import load_settings

__all__ = ('app', 'main')

app = App(name='citrondyked', help='Serve online and batch inference on one fleet.')

EXIT_SETTINGS = 2


@app.default
def serve(
    *,
    settings: Annotated[Path | None, Parameter(help='TOML file; see the settings page')] = None,
    check_settings: Annotated[
        bool, Parameter(help='check the settings file and exit', negative='')
    ] = False,
    embedded: Annotated[
        bool,
        Parameter(
            help='run with stand-ins for the platform and two engines in-process', negative=''
        ),
    ] = False,
    port: Annotated[int, Parameter(help='port of the embedded instance')] = 8080,
) -> int:
    """Run one instance until SIGTERM."""
    if embedded:
        from citrondyke.cmd.embedded import serve_embedded

        return serve_embedded(port)
    if settings is None:
        print('citrondyked: --settings FILE or --embedded is required', file=sys.stderr)
        return EXIT_SETTINGS
    if check_settings and is_platform_file(settings):
        return _check_platform_file(settings)
    try:
        loaded = load_settings(settings)
    except SettingsInvalidError as error:
        print(f'citrondyked: {error.message}', file=sys.stderr)
        return EXIT_SETTINGS
    if check_settings:
        print(f'{settings}: valid')
        return 0
    return run_daemon(loaded)


def _check_platform_file(file: Path) -> int:
    try:
        platform_settings(file.read_text(), str(file), 0)
    except SettingsInvalidError as error:
        print(f'citrondyked: {error.message}', file=sys.stderr)
        return EXIT_SETTINGS
    print(f'{file}: valid platform settings file')
    return 0


def main() -> None:
    """Run the program."""
    with logbook.NullHandler():
        sys.exit(app())


if __name__ == '__main__':
    main()
