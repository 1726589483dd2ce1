"""The newest configuration that an instance has seen, and how sure it is of it."""

from __future__ import annotations

from citrondyke.decisions.forwarding.route_table import EMPTY_ROUTE_TABLE, RouteTable

__all__ = ('ConfigHolder',)

#: A configuration that was confirmed within this time is current enough to say that a route does
#: not exist. It is read every second, and pushed beside that.
CONFIRMED_MS = 2_500.0


class ConfigHolder:
    """The newest version wins and nothing goes back.

    Reads of the store can be seconds old, and a peer may be behind; taking an older version
    would send requests to services that the operator has already taken them from.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: RouteTable = EMPTY_ROUTE_TABLE
        #: The configuration as the operator wrote it, for peers.
        self.raw = b''
        self._confirmed_ms = float('-inf')

    def offer(self, table: RouteTable, raw: bytes) -> bool:
        """Take in a configuration; tell whether it is new."""
        if table.version <= self.current.version:
            return False
        self.current = table
        self.raw = raw
        return True

    def confirm(self, now_ms: float) -> None:
        """Note that the store was asked and showed nothing newer; a peer may tell of it late."""
        self._confirmed_ms = max(self._confirmed_ms, now_ms)

    def age_ms(self, now_ms: float) -> float:
        """Give the time since the store last confirmed it."""
        return now_ms - self._confirmed_ms

    def is_confirmed(self, now_ms: float) -> bool:
        """Tell whether what it does not hold does not exist."""
        return self.age_ms(now_ms) <= CONFIRMED_MS
