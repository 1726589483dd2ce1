"""Reads a settings file and reports which key of it is invalid and why."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from citrondyke.errors import SettingsInvalidError
from citrondyke.settings.model import DaemonSettings

__all__ = ('check_settings', 'load_settings')

_PATH = re.compile(r' - at `\$(?P<path>[^`]*)`$')
_FIELD = re.compile(r'field `(?P<field>[^`]+)`')


def load_settings(file: Path) -> DaemonSettings:
    """Read and validate a settings file.

    :raises SettingsInvalidError: naming the file, the key, its value and the allowed values.
    """
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError(str(file), '', str(error), 'a readable text file') from error
    return check_settings(text, str(file))


def check_settings(text: str, file: str) -> DaemonSettings:
    """Validate the text of a settings file.

    :param file: name of the file, for error messages.
    :raises SettingsInvalidError: naming the file, the key, its value and the allowed values.
    """
    try:
        raw = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Besides its own error, the parser raises these for long numbers and deep nesting.
        raise SettingsInvalidError(file, '', str(error), 'TOML') from error
    try:
        settings = msgspec.convert(raw, DaemonSettings, strict=False)
    except msgspec.ValidationError as error:
        raise _explain(file, raw, str(error)) from error
    if bool(settings.tls.certificate_file) != bool(settings.tls.key_file):
        raise SettingsInvalidError(
            file, 'tls', raw.get('tls'), 'certificate_file and key_file together, or neither'
        )
    return settings


def _explain(file: str, raw: dict[str, Any], message: str) -> SettingsInvalidError:
    path_match = _PATH.search(message)
    path = path_match['path'].lstrip('.') if path_match else ''
    allowed = message[: path_match.start()] if path_match else message
    field_match = _FIELD.search(allowed)
    if field_match is not None:
        path = f'{path}.{field_match["field"]}'.lstrip('.')
    return SettingsInvalidError(file, path, _value_at(raw, path), allowed)


def _value_at(raw: Any, path: str) -> Any:
    value = raw
    for part in re.split(r'[.\[\]]+', path):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit():
            value = value[int(part)]
    return value
