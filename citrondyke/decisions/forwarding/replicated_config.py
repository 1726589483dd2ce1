"""The newest configuration that an instance has seen, and whether it is confirmed."""

from __future__ import annotations

from citrondyke.decisions.accounts.account import Account
from citrondyke.decisions.forwarding.route_table import EMPTY_ROUTE_TABLE, RouteTable
from citrondyke.ids import ConfigVersion, TenantId

__all__ = ('ReplicatedConfig',)

#: A configuration confirmed within this time is current enough to report that a route does not
#: exist. It is read every second, and changes are pushed as well.
CONFIRMATION_VALID_MS = 2_500.0


class ReplicatedConfig:
    """Keep the newest version of the configuration; never go back to an older one.

    Reads of the store can be seconds old, and a peer may be stale. An older version would route
    requests to services that the operator has already withdrawn.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.table: RouteTable = EMPTY_ROUTE_TABLE
        self._confirmed_ms = float('-inf')
        self._peer_version = ConfigVersion(0)

    def update_if_newer(self, table: RouteTable) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        return True

    def find_account(self, account_id: TenantId) -> Account | None:
        """Find an account in the current configuration."""
        return self.table.find_account(account_id)

    def confirm(self, now_ms: float) -> None:
        """Record that a read of the store at this time showed nothing newer.

        A peer may report an older confirmation late; the latest time is kept.
        """
        self._confirmed_ms = max(self._confirmed_ms, now_ms)

    def record_peer_version(self, version: ConfigVersion) -> None:
        """Record that a peer has a version."""
        self._peer_version = max(self._peer_version, version)

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the store last confirmed the configuration."""
        return now_ms - self._confirmed_ms

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether what the configuration lacks certainly does not exist.

        It is not confirmed while a peer has a newer version, which then is on its way here: a stale
        instance would reject a key that was just added, and the caller would not retry.
        """
        is_behind = self._peer_version > self.table.version
        return not is_behind and self.age_ms(now_ms) <= CONFIRMATION_VALID_MS
