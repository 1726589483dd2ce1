"""Advance grant records in the store, where they survive a crash of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.decisions.accounts.advance_grant_records import AdvanceGrantRow
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.ids import TenantId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    IMPOSSIBLE_VERSION,
    PartCommitted,
    PartTransaction,
    RowCondition,
    RowPut,
)
from citrondyke.util.decoding import decode_json

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.advance_grant_records import AdvanceGrantStoreCall
    from citrondyke.storage.partitioned_table import PartConflict, PartitionedTable

__all__ = ('ADVANCE_GRANTS_TABLE', 'AdvanceGrantStore')

log = logbook.Logger(__name__)

ADVANCE_GRANTS_TABLE = 'limit_marks'


class AdvanceGrantStore:
    """Reads and writes the row of a slot; a read is never older than the call."""

    def __init__(self, table: PartitionedTable) -> None:
        """Initialize the adapter with the store's table."""
        self._table = table

    def run(self, call: AdvanceGrantStoreCall) -> AdvanceGrantRow | None:
        """Run a call and return the resulting row; ``None`` if the row is unknown."""
        key = str(call.slot)
        version = IMPOSSIBLE_VERSION if call.new_accounts is None else call.version
        condition = RowCondition(ADVANCE_GRANTS_TABLE, key, version)
        puts: tuple[RowPut, ...] = ()
        if call.new_accounts is not None:
            value = msgspec.json.encode(sorted(call.new_accounts))
            puts = (RowPut(ADVANCE_GRANTS_TABLE, key, value),)
        answer = self._table.transact(PartTransaction('', (condition,), puts))
        if isinstance(answer, PlatformFailure):
            log.info('limit.marks_unknown', extra={'slot': key, 'reason': answer.reason.value})
            return None
        if isinstance(answer, PartCommitted):
            recorded = sorted(call.new_accounts or ())
            log.info('limit.marks', extra={'slot': key, 'accounts': recorded[:10]})
            return AdvanceGrantRow(
                call.new_accounts or frozenset(), answer.version, is_written=True
            )
        return self._row(key, answer)

    @staticmethod
    def _row(key: str, conflict: PartConflict) -> AdvanceGrantRow | None:
        found = conflict.row(ADVANCE_GRANTS_TABLE, key)
        if found is None or found.value is None:
            return AdvanceGrantRow(frozenset(), 0)
        try:
            accounts = decode_json(found.value, list[TenantId])
        except UnreadableBytesError as error:
            log.warning('limit.marks_unreadable', extra={'slot': key, 'detail': error.message})
            return None
        return AdvanceGrantRow(frozenset(accounts), found.version)
