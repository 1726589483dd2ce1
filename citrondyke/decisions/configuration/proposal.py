"""Configuration changes proposed by operators, and their rejection."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.configuration.entries import ConfigEntry
from citrondyke.ids import ConfigVersion

__all__ = ('ConfigConflict', 'ConfigProposal', 'ConfigRejection', 'RequestedEdit')


class RequestedEdit(msgspec.Struct, frozen=True):
    """Set an entry, or remove it if ``after`` is ``None``."""

    name: str
    after: ConfigEntry | None = None


class ConfigProposal(msgspec.Struct, frozen=True):
    """A proposed change to a version that the operator has seen."""

    expect_version: ConfigVersion
    edits: tuple[RequestedEdit, ...]


class ConfigConflict(msgspec.Struct, frozen=True):
    """Returned instead of a change: the configuration has changed since."""

    current_version: ConfigVersion
    #: The changes since, oldest first; empty if they are no longer in memory.
    changes: tuple[ConfigChange, ...]

    def __bool__(self) -> bool:
        """Return ``False``, as nothing was accepted."""
        return False


class ConfigRejection(msgspec.Struct, frozen=True):
    """Returned instead of a change: the proposal is invalid."""

    field: str
    allowed: str

    def __bool__(self) -> bool:
        """Return ``False``, as nothing was accepted."""
        return False
