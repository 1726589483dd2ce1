"""How far an instance knows the list of servers."""

from __future__ import annotations

import msgspec

__all__ = ('ServerListCursor',)


class ServerListCursor(msgspec.Struct, frozen=True, array_like=True):
    """What a reader tells its zone; what a follower that asks has heard of that reader."""

    #: Names the life of the reader whose numbers these are; empty where there is none.
    life: str
    #: Of the newest change that the reader's journal holds.
    number: int
    #: Of all keys and versions in the list.
    digest: int = 0
    #: Whether the reader has seen the whole list.
    is_whole: bool = False
    #: Up to which the store has certainly shown all changes.
    store_version: int = 0
    #: Time since the store last told the reader of the list.
    age_ms: float = 0.0
    #: Of the values of the list.
    size_bytes: int = 0
    #: Up to which the store has certainly shown all changes of the configuration; 0 where the
    #: reader cannot read the newest one.
    config_store_version: int = 0
    #: Of the configuration.
    config_bytes: int = 0
