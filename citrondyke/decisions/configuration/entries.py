"""Types of configuration entries."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

from citrondyke.ids import ClassName, TenantId

__all__ = (
    'ClassEntry',
    'ClassKind',
    'ConfigEntry',
    'OperatorEntry',
    'ServiceEntry',
    'TenantEntry',
    'entry_name',
)


class ClassKind(Enum):
    """Kind of a class's target."""

    ONLINE = 'online'
    BATCH = 'batch'


class ClassEntry(msgspec.Struct, frozen=True, kw_only=True, tag='class', tag_field='entry'):
    """A class of work and its target."""

    name: ClassName
    kind: ClassKind
    #: Online: 95 % of the first tokens arrive within this time.
    first_token_target_ms: float = 620.0
    #: Online: 95 % of the gaps between tokens are at most this long.
    token_gap_target_ms: float = 42.0
    #: Batch: a job should finish within this time after its acceptance ...
    finish_within_ms: float = 86_400_000.0
    #: ... or, if set, by this minute of the day (UTC), whichever comes first.
    finish_by_minute_utc: int | None = None


class TenantEntry(msgspec.Struct, frozen=True, kw_only=True, tag='tenant', tag_field='entry'):
    """A customer account."""

    id: TenantId
    #: SHA-256 of each valid key; two during a key rotation.
    key_hashes: tuple[str, ...]
    online_class: ClassName
    batch_class: ClassName


class ServiceEntry(msgspec.Struct, frozen=True, kw_only=True, tag='service', tag_field='entry'):
    """A plain service that requests are routed to."""

    name: str
    #: Whether a call may be sent again after its response was lost.
    is_repeatable: bool = False


class OperatorEntry(msgspec.Struct, frozen=True, kw_only=True, tag='operator', tag_field='entry'):
    """A person who may change the configuration."""

    id: str
    key_hashes: tuple[str, ...]


ConfigEntry: TypeAlias = ClassEntry | TenantEntry | ServiceEntry | OperatorEntry


def entry_name(entry: ConfigEntry) -> str:
    """Return the name of an entry, such as ``class/dispatch``."""
    match entry:
        case ClassEntry():
            return f'class/{entry.name}'
        case TenantEntry():
            return f'tenant/{entry.id}'
        case ServiceEntry():
            return f'service/{entry.name}'
        case OperatorEntry():
            return f'operator/{entry.id}'
