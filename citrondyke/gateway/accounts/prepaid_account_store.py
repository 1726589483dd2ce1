"""Marks of accounts in the store, so that they outlive every instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.decisions.accounts.prepaid_accounts import PrepaidAccountRow
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
    from citrondyke.decisions.accounts.prepaid_accounts import PrepaidStoreCall
    from citrondyke.storage.partitioned_table import PartConflict, PartitionedTable

__all__ = ('LIMIT_MARKS_TABLE', 'PrepaidAccountStore')

log = logbook.Logger(__name__)

LIMIT_MARKS_TABLE = 'limit_marks'


class PrepaidAccountStore:
    """Reads and writes a slot's row; what it reads is never older than the call."""

    def __init__(self, table: PartitionedTable) -> None:
        """Use the store."""
        self._table = table

    def run(self, call: PrepaidStoreCall) -> PrepaidAccountRow | None:
        """Carry a call out and give the row as it then stands; ``None`` if that is not known."""
        key = str(call.slot)
        version = IMPOSSIBLE_VERSION if call.wanted is None else call.version
        condition = RowCondition(LIMIT_MARKS_TABLE, key, version)
        puts: tuple[RowPut, ...] = ()
        if call.wanted is not None:
            value = msgspec.json.encode(sorted(call.wanted))
            puts = (RowPut(LIMIT_MARKS_TABLE, key, value),)
        answer = self._table.transact(PartTransaction('', (condition,), puts))
        if isinstance(answer, PlatformFailure):
            log.info('limit.marks_unknown', extra={'slot': key, 'reason': answer.reason.value})
            return None
        if isinstance(answer, PartCommitted):
            marked = sorted(call.wanted or ())
            log.info('limit.marks', extra={'slot': key, 'accounts': marked[:10]})
            return PrepaidAccountRow(call.wanted or frozenset(), answer.version, is_written=True)
        return self._row(key, answer)

    @staticmethod
    def _row(key: str, conflict: PartConflict) -> PrepaidAccountRow | None:
        found = conflict.row(LIMIT_MARKS_TABLE, key)
        if found is None or found.value is None:
            return PrepaidAccountRow(frozenset(), 0)
        try:
            accounts = decode_json(found.value, list[TenantId])
        except UnreadableBytesError as error:
            log.warning('limit.marks_unreadable', extra={'slot': key, 'detail': error.message})
            return None
        return PrepaidAccountRow(frozenset(accounts), found.version)
