"""Marks of accounts in the store, so that they outlive every instance."""

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
    """Reads and writes a slot's row; what it reads is never older than the call."""

    def __init__(self, table: PartitionedTable) -> None:
        """Use the store."""
        self._table = table

    def run(self, call: AdvanceGrantStoreCall) -> AdvanceGrantRow | None:
        """Carry a call out and give the row as it then stands; ``None`` if that is not known."""
        key = str(call.slot)
        version = IMPOSSIBLE_VERSION if call.wanted is None else call.version
        condition = RowCondition(ADVANCE_GRANTS_TABLE, key, version)
        puts: tuple[RowPut, ...] = ()
        if call.wanted is not None:
            value = msgspec.json.encode(sorted(call.wanted))
            puts = (RowPut(ADVANCE_GRANTS_TABLE, key, value),)
        answer = self._table.transact(PartTransaction('', (condition,), puts))
        if isinstance(answer, PlatformFailure):
            log.info('limit.marks_unknown', extra={'slot': key, 'reason': answer.reason.value})
            return None
        if isinstance(answer, PartCommitted):
            marked = sorted(call.wanted or ())
            log.info('limit.marks', extra={'slot': key, 'accounts': marked[:10]})
            return AdvanceGrantRow(call.wanted or frozenset(), answer.version, is_written=True)
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
