"""What surrounds an instance, as one bundle that an adapter makes."""

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
    """The store, the rows that others write there, and what callers and servers speak."""

    table: PartitionedTable
    objects: ObjectStore
    config_table: str
    servers_table: str
    decoder: RowDecoder
    dialect: Dialect
    #: Follows a change of the store's address.
    move_store: Callable[[Address], None]
    #: Counts what is read from the store.
    traffic: StoreTraffic
