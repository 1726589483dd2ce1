"""Adapters between an instance and the platform that it runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.gateway.dialect import Dialect
    from citrondyke.gateway.replication.replicated_state import RowDecoder
    from citrondyke.gateway.settings import Address
    from citrondyke.gateway.store_traffic import StoreTraffic
    from citrondyke.storage.object_store import ObjectStore
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('PlatformAdapters',)


class PlatformAdapters(msgspec.Struct, frozen=True):
    """Access to the store, decoders of its rows, and the dialect of callers and servers."""

    table: PartitionedTable
    objects: ObjectStore
    config_table: str
    servers_table: str
    decoder: RowDecoder
    dialect: Dialect
    #: Switches to a changed address of the store.
    move_store: Callable[[Address], None]
    #: Counts the bytes that are read from the store.
    traffic: StoreTraffic
