"""Accounts that a steward lets have uses ahead of time, as the store keeps them."""

from __future__ import annotations

import msgspec

from citrondyke.ids import TenantId

__all__ = ('AdvanceGrantRecords', 'AdvanceGrantRow', 'AdvanceGrantStoreCall')

#: A call that brought nothing is repeated after this: the store is out of reach for seconds.
RETRY_MS = 200.0
#: A mark stays for so long after its account has filled up again: it is likely to be needed soon.
RECORD_HOLD_MS = 5_000.0


class AdvanceGrantRow(msgspec.Struct, frozen=True):
    """A slot's row as it stands."""

    accounts: frozenset[TenantId]
    version: int
    #: Whether the call that is answered wrote it.
    is_written: bool = False


class AdvanceGrantStoreCall(msgspec.Struct, frozen=True):
    """What the store is to be asked."""

    slot: int
    #: Of the lease; an answer to a call of another one says nothing.
    era: int
    #: What the row is to become; ``None`` where it is to be read, not older than the call.
    wanted: frozenset[TenantId] | None = None
    version: int = 0


class AdvanceGrantRecords:
    """The marks of one slot in one lease.

    After a loss of all instances nothing is known of what was let through ahead of time but the
    row, so nothing is let through ahead of time before the row says so.
    """

    def __init__(self, slot: int, era: int) -> None:
        """Know nothing yet."""
        self._slot = slot
        self._lease_epoch = era
        self._row: AdvanceGrantRow | None = None
        #: Accounts that ask for a mark, and until when each keeps it.
        self._wanted_until_ms: dict[TenantId, float] = {}
        self._retry_at_ms = float('-inf')
        self._is_calling = False

    @property
    def accounts(self) -> set[TenantId]:
        """List accounts that have a mark or ask for one."""
        return set(self._wanted_until_ms) | (self._row.accounts if self._row else frozenset())

    def is_recorded(self, account: TenantId) -> bool:
        """Tell whether an account certainly has its mark and keeps it."""
        row = self._row
        if row is None or not row.is_written:
            # Written by the lease before, of which a later write may still be under way.
            return False
        return account in row.accounts and account in self._wanted_until_ms

    def request_record(self, account: TenantId, now_ms: float) -> None:
        """Ask for a mark, or keep it for longer."""
        self._wanted_until_ms[account] = now_ms + RECORD_HOLD_MS

    def next_store_call(self, now_ms: float) -> AdvanceGrantStoreCall | None:
        """Give what the store is to be asked now; one call at a time."""
        if self._is_calling or now_ms < self._retry_at_ms:
            return None
        if self._row is None:
            self._is_calling = True
            return AdvanceGrantStoreCall(self._slot, self._lease_epoch)
        ended = [each for each, at in self._wanted_until_ms.items() if at < now_ms]
        for account in ended:
            # From here on the account can't have anything ahead of time, whatever the store does.
            del self._wanted_until_ms[account]
        wanted = frozenset(self._wanted_until_ms)
        if wanted == self._row.accounts and (self._row.is_written or not wanted):
            return None
        self._is_calling = True
        return AdvanceGrantStoreCall(self._slot, self._lease_epoch, wanted, self._row.version)

    def is_call_of(self, call: AdvanceGrantStoreCall) -> bool:
        """Tell whether a call was made in this lease."""
        return call.era == self._lease_epoch

    def apply_row(self, row: AdvanceGrantRow | None, now_ms: float) -> None:
        """Take in the row as it stands; ``None`` where the store did not say."""
        self._is_calling = False
        if row is None:
            # A write may have taken effect or not; it is read before the next one.
            self._row = None
            self._retry_at_ms = now_ms + RETRY_MS
            return
        self._row = row
