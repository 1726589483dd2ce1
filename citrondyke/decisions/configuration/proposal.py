"""What an operator asks for, and how it is refused."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.configuration.entries import ConfigEntry
from citrondyke.ids import ConfigVersion

__all__ = ('ConfigConflict', 'ConfigProposal', 'ConfigRejection', 'RequestedEdit')


class RequestedEdit(msgspec.Struct, frozen=True):
    """Set an entry, or with ``None`` remove it."""

    name: str
    after: ConfigEntry | None = None


class ConfigProposal(msgspec.Struct, frozen=True):
    """A change on top of a version that the operator has seen."""

    expect_version: ConfigVersion
    edits: tuple[RequestedEdit, ...]


class ConfigConflict(msgspec.Struct, frozen=True):
    """Stands in the place of an acceptance: others changed the configuration since."""

    current_version: ConfigVersion
    #: What they changed, oldest first; empty where the log was out of reach.
    changes: tuple[ConfigChange, ...]

    def __bool__(self) -> bool:
        """Count as no acceptance."""
        return False


class ConfigRejection(msgspec.Struct, frozen=True):
    """Stands in the place of an acceptance: the change itself is wrong."""

    field: str
    allowed: str

    def __bool__(self) -> bool:
        """Count as no acceptance."""
        return False
