"""The newest configuration that an instance has seen, and how sure it is of it."""

from __future__ import annotations

from citrondyke.decisions.accounts.account import Account
from citrondyke.decisions.forwarding.route_table import EMPTY_ROUTE_TABLE, RouteTable
from citrondyke.ids import ConfigVersion, TenantId

__all__ = ('ReplicatedConfig',)

#: A configuration that was confirmed within this time is current enough to say that a route does
#: not exist. It is read every second, and pushed beside that.
CONFIRMATION_VALID_MS = 2_500.0


class ReplicatedConfig:
    """The newest version wins and nothing goes back.

    Reads of the store can be seconds old, and a peer may be behind; taking an older version
    would send requests to services that the operator has already taken them from.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.table: RouteTable = EMPTY_ROUTE_TABLE
        self._confirmed_ms = float('-inf')
        self._peer_version = ConfigVersion(0)

    def update_if_newer(self, table: RouteTable) -> bool:
        """Take in a configuration; tell whether it is new."""
        if table.version <= self.table.version:
            return False
        self.table = table
        return True

    def find_account(self, account_id: TenantId) -> Account | None:
        """Find an account in the configuration in force."""
        return self.table.find_account(account_id)

    def confirm(self, now_ms: float) -> None:
        """Note that the store was asked and showed nothing newer; a peer may tell of it late."""
        self._confirmed_ms = max(self._confirmed_ms, now_ms)

    def record_peer_version(self, version: ConfigVersion) -> None:
        """Take in that a peer has a version."""
        self._peer_version = max(self._peer_version, version)

    def age_ms(self, now_ms: float) -> float:
        """Give the time since the store last confirmed it."""
        return now_ms - self._confirmed_ms

    def is_confirmed(self, now_ms: float) -> bool:
        """Tell whether what it does not hold does not exist.

        What a peer has already is on its way here: a key that was just added would be refused for
        good by an instance that is a moment behind.
        """
        is_behind = self._peer_version > self.table.version
        return not is_behind and self.age_ms(now_ms) <= CONFIRMATION_VALID_MS
