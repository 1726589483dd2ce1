"""How far an instance has read the server list."""

from __future__ import annotations

import msgspec

__all__ = ('ServerListCursor',)


class ServerListCursor(msgspec.Struct, frozen=True, array_like=True):
    """Cursor that a reader publishes to its zone, and that a follower sends with a request."""

    #: Incarnation of the reader that the numbers belong to; empty for none.
    life: str
    #: Number of the newest change in the reader's change log.
    number: int
    #: Digest of all keys and versions in the list.
    digest: int = 0
    #: Whether the reader has read the complete list.
    is_whole: bool = False
    #: Version up to which the store has certainly shown all changes.
    store_version: int = 0
    #: Time since the reader last received the list from the store and applied it.
    age_ms: float = 0.0
    #: Size of the values of the list.
    size_bytes: int = 0
    #: Version up to which the store has certainly shown all configuration changes; 0 if the reader
    #: cannot read the newest configuration.
    config_store_version: int = 0
    #: Size of the configuration.
    config_bytes: int = 0
