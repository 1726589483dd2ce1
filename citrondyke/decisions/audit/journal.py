"""Collects outcome records and seals them into objects, each naming the one before."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec
import zstandard

from citrondyke.decisions.audit.record import OutcomeRecord, SealHeader
from citrondyke.decisions.core.ops import put_object, sleep_until, wait_for
from citrondyke.ids import ObjectKey
from citrondyke.util.hashing import digest_hex

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.membership.session_lease import SessionLease

__all__ = ('EVIDENCE_PREFIX', 'AuditJournal', 'evidence_key')

EVIDENCE_PREFIX = 'evidence/'
RETRY_PAUSE_MS = 1000.0


def evidence_key(epoch_ms: float, instance_id: str, number: int) -> ObjectKey:
    """Name an object of records; the names sort by time."""
    return ObjectKey(f'{EVIDENCE_PREFIX}{int(epoch_ms):015d}/{instance_id}/{number:08d}')


class _SealedSegment(msgspec.Struct, frozen=True, kw_only=True):
    key: ObjectKey
    body: bytes
    number: int
    records_count: int
    dropped_count: int


class AuditJournal:
    """One object in a while, with a bound on what waits during an outage.

    The number and digest of the newest object also go into the instance's lease row, so that
    even the removal of the newest object shows.
    """

    def __init__(
        self, context: Context, session: SessionLease, every_ms: float, records_limit: int
    ) -> None:
        """Start with no records.

        :param every_ms: pause between two objects.
        :param records_limit: records that may wait for the object store.
        """
        self.dropped_count = 0
        self._context = context
        self._session = session
        self._every_ms = every_ms
        self._records_limit = records_limit
        self._records: deque[bytes] = deque()
        self._dropped_since_seal = 0
        self._is_sealing = False
        #: An object that may be stored already, as its reply is not there.
        self._pending: _SealedSegment | None = None

    def add(self, record: OutcomeRecord) -> None:
        """Take in a record; one that does not fit is counted, and the count is shown."""
        if len(self._records) >= self._records_limit:
            self.dropped_count += 1
            self._dropped_since_seal += 1
            return
        self._records.append(msgspec.json.encode(record))

    def run(self) -> Workflow[None]:
        """Seal what there is, again and again."""
        yield from wait_for(self._session.began, None)
        while True:
            yield from sleep_until(self._context.now_ms() + self._every_ms)
            yield from self.seal()

    def seal(self) -> Workflow[bool]:
        """Write an object of all records that wait; tell whether none are left.

        One at a time: a second seal beside the first would take the same records and number.
        """
        if not self._session.began.is_fired:
            return False
        if self._is_sealing:
            yield from sleep_until(self._context.now_ms() + RETRY_PAUSE_MS)
            return False
        self._is_sealing = True
        try:
            return (yield from self._store_segment())
        finally:
            self._is_sealing = False

    def _store_segment(self) -> Workflow[bool]:
        """Store the object under way, or the next one.

        After a lost reply the very same object is stored again. Made anew it would have another
        name, and its records would be there twice.
        """
        self._pending = self._pending or self._next_segment()
        pending = self._pending
        if pending is None:
            return True
        failure = yield from put_object(pending.key, pending.body)
        if failure is not None:
            yield from sleep_until(self._context.now_ms() + RETRY_PAUSE_MS)
            return False
        self._pending = None
        for _ in range(pending.records_count):
            self._records.popleft()
        self._dropped_since_seal -= pending.dropped_count
        self._session.record_sealed(pending.number, digest_hex(pending.body))
        return not self._records

    def _next_segment(self) -> _SealedSegment | None:
        if not self._records and not self._dropped_since_seal:
            return None
        number, previous = self._session.sealed
        header = SealHeader(
            instance_id=self._context.instance_id,
            number=number + 1,
            previous_digest=previous,
            records_count=len(self._records),
            dropped_count=self._dropped_since_seal,
            is_after_crash=self._session.is_after_crash and not self._session.has_sealed,
        )
        body = zstandard.compress(b'\n'.join([msgspec.json.encode(header), *self._records]) + b'\n')
        return _SealedSegment(
            key=evidence_key(self._context.epoch_ms(), self._context.instance_id, number + 1),
            body=body,
            number=number + 1,
            records_count=header.records_count,
            dropped_count=header.dropped_count,
        )
