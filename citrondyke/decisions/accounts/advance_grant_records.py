"""Stored records of the accounts that may receive advance grants."""

from __future__ import annotations

import msgspec

from citrondyke.ids import TenantId

__all__ = ('AdvanceGrantRecords', 'AdvanceGrantRow', 'AdvanceGrantStoreCall')

#: Delay before a failed store call is retried; the store may be unreachable for seconds.
RETRY_MS = 200.0
#: Time for which a record is kept after the account's quota has refilled, because the account is
#: likely to need it again soon.
RECORD_HOLD_MS = 5_000.0


class AdvanceGrantRow(msgspec.Struct, frozen=True):
    """The stored row of a slot: the accounts that may receive advance grants."""

    accounts: frozenset[TenantId]
    version: int
    #: Whether the row was written by the call that returned it.
    is_written: bool = False


class AdvanceGrantStoreCall(msgspec.Struct, frozen=True):
    """A read or a conditional write of a slot's row."""

    slot: int
    #: Epoch of the lease that made the call. Replies to calls of other leases are ignored.
    lease_epoch: int
    #: New contents of the row; ``None`` for a read that is no older than the call.
    new_accounts: frozenset[TenantId] | None = None
    version: int = 0


class AdvanceGrantRecords:
    """Maintains the row of one slot during one lease.

    Handles a crash of all instances: the row is then the only knowledge of advance grants. So an
    account gets advance grants only after a write of the row that lists it has been acknowledged.
    """

    def __init__(self, slot: int, lease_epoch: int) -> None:
        """Initialize the records with an unknown row."""
        self._slot = slot
        self._lease_epoch = lease_epoch
        self._row: AdvanceGrantRow | None = None
        #: Accounts whose record is requested, with the time until which each is kept.
        self._requested_until_ms: dict[TenantId, float] = {}
        self._retry_at_ms = float('-inf')
        self._is_calling = False

    @property
    def accounts(self) -> set[TenantId]:
        """Return the accounts that have a record or request one."""
        return set(self._requested_until_ms) | (self._row.accounts if self._row else frozenset())

    def is_recorded(self, account: TenantId) -> bool:
        """Return whether an account's record is known to be stored and is still requested."""
        row = self._row
        if row is None or not row.is_written:
            # The row was written under the previous lease. A later write of that lease may still be
            # in progress.
            return False
        return account in row.accounts and account in self._requested_until_ms

    def request_record(self, account: TenantId, now_ms: float) -> None:
        """Request a record for an account, or extend the time for which it is kept."""
        self._requested_until_ms[account] = now_ms + RECORD_HOLD_MS

    def next_store_call(self, now_ms: float) -> AdvanceGrantStoreCall | None:
        """Return the next store call, if any; only one call is in progress at a time."""
        if self._is_calling or now_ms < self._retry_at_ms:
            return None
        if self._row is None:
            self._is_calling = True
            return AdvanceGrantStoreCall(self._slot, self._lease_epoch)
        expired = [each for each, at in self._requested_until_ms.items() if at < now_ms]
        for account in expired:
            # From here on the account can't get advance grants, whatever the outcome of the write.
            del self._requested_until_ms[account]
        new_accounts = frozenset(self._requested_until_ms)
        if new_accounts == self._row.accounts and (self._row.is_written or not new_accounts):
            return None
        self._is_calling = True
        return AdvanceGrantStoreCall(self._slot, self._lease_epoch, new_accounts, self._row.version)

    def is_call_of(self, call: AdvanceGrantStoreCall) -> bool:
        """Return whether a call was made under this lease."""
        return call.lease_epoch == self._lease_epoch

    def apply_row(self, row: AdvanceGrantRow | None, now_ms: float) -> None:
        """Apply the row that the store returned; ``None`` if the call failed."""
        self._is_calling = False
        if row is None:
            # The outcome of a write is uncertain, so the row is read before the next write.
            self._row = None
            self._retry_at_ms = now_ms + RETRY_MS
            return
        self._row = row
