"""Names of servers in a log line."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from citrondyke.ids import ServerIncarnation

__all__ = ('server_names',)

#: Servers that are named in one line.
NAMED_SERVERS_LIMIT = 8


def server_names(servers: Collection[ServerIncarnation]) -> list[str]:
    """Return the first names, in order."""
    return sorted(map(str, servers))[:NAMED_SERVERS_LIMIT]
