"""Writes the settings reference from the settings classes."""

from __future__ import annotations

import inspect
import re
from pathlib import Path
from typing import Any

import msgspec

from citrondyke.platform.settings_file import PlatformFile
from citrondyke.settings.model import DaemonSettings

__all__ = ('settings_page',)

_COMMENT = re.compile(r'^\s*#: ?(.*)$')
_FIELD = re.compile(r'^\s*(\w+):')


def settings_page() -> str:
    """Give the reference, a table for each table of the file."""
    parts: list[str] = []
    for table in msgspec.structs.fields(DaemonSettings):
        parts += _table(f'[{table.name}]', table.type)
    parts += ["## The platform's file", '']
    parts += _table('at the top', PlatformFile)
    for table in msgspec.structs.fields(PlatformFile):
        if isinstance(table.type, type) and issubclass(table.type, msgspec.Struct):
            parts += _table(f'[{table.name}]', table.type)
    return '\n'.join(parts)


def _table(title: str, kind: Any) -> list[str]:
    parts = [f'### `{title}`', '', inspect.getdoc(kind) or '', '']
    parts += ['| key | default | meaning |', '| --- | --- | --- |']
    meanings = _meanings(kind)
    for field in msgspec.structs.fields(kind):
        is_table = isinstance(field.default, msgspec.Struct)
        default = '' if is_table else f'`{field.default!r}`'
        default = 'required' if field.required else default
        parts.append(f'| `{field.name}` | {default} | {meanings.get(field.name, "")} |')
    return [*parts, '']


def _meanings(kind: type) -> dict[str, str]:
    """Read the comments above the fields."""
    found: dict[str, str] = {}
    pending: list[str] = []
    for line in inspect.getsource(kind).splitlines():
        comment, field = _COMMENT.match(line), _FIELD.match(line)
        if comment:
            pending.append(comment[1])
        elif field:
            found[field[1]] = ' '.join(pending)
            pending = []
    return found


if __name__ == '__main__':
    Path(__file__).with_name('settings_reference.md').write_text(settings_page() + '\n')
