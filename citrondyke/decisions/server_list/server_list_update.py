"""What a reader hands on of the list of servers."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.forwarding.replicated_rows import ObservedRow
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry

__all__ = ('ServerListUpdate',)


class ServerListUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Rows that changed between two numbers of the reader's journal, or all of them."""

    #: Of the reader whose numbers these are.
    life: str
    since: int
    number: int
    rows: list[ObservedRow[ServerListEntry]]
    #: Whether these are all rows that the reader has.
    is_everything: bool = False
    #: As of which version of the store they are the whole list; ``None`` for changes, and for a
    #: list that was not read whole yet.
    listing_version: int | None = None
    #: The configuration, where the one who asked is behind.
    table: RouteTable | None = None
