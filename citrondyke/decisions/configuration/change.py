"""Accepted changes of the configuration."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from citrondyke.decisions.configuration.entries import ConfigEntry, entry_name
from citrondyke.ids import ConfigVersion, RowKey

__all__ = ('LOG_PREFIX', 'ConfigChange', 'EntryEdit', 'first_change', 'log_row_key')

LOG_PREFIX = 'config/log/'


class EntryEdit(msgspec.Struct, frozen=True):
    """One entry before and after a change; ``None`` if it does not exist."""

    name: str
    before: ConfigEntry | None
    after: ConfigEntry | None


class ConfigChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change from one version to the next; the value of its row in the log."""

    #: The version that this change creates.
    version: ConfigVersion
    edits: tuple[EntryEdit, ...]
    #: The operator who made it.
    who: str
    #: Wall-clock time of the instance that accepted it; for people only.
    accepted_at_epoch_ms: float


def log_row_key(version: ConfigVersion) -> RowKey:
    """Return the key of a version's row; keys sort in version order."""
    return RowKey(f'{LOG_PREFIX}{version:012d}')


def first_change(entries: Iterable[ConfigEntry], who: str) -> ConfigChange:
    """Return the change from the empty configuration to the given entries."""
    return ConfigChange(
        version=ConfigVersion(1),
        edits=tuple(EntryEdit(entry_name(entry), None, entry) for entry in entries),
        who=who,
        accepted_at_epoch_ms=0.0,
    )
