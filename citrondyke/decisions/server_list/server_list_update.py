"""Rows of the server list that a reader sends to a follower."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.forwarding.replicated_rows import ObservedRow
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry

__all__ = ('ServerListUpdate',)


class ServerListUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Rows that changed between two numbers of the reader's change log, or all rows."""

    #: Incarnation of the reader that the numbers belong to.
    life: str
    since: int
    number: int
    rows: list[ObservedRow[ServerListEntry]]
    #: Whether these are all of the reader's rows.
    is_everything: bool = False
    #: Store version as of which the rows are the complete list; ``None`` for changes, and for a
    #: list that was not read completely yet.
    listing_version: int | None = None
    #: The configuration, if the follower's is stale.
    table: RouteTable | None = None
