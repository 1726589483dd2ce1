"""Collects audit records and seals them into a hash chain of stored segments."""

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
    """Return the object key of a segment; keys sort by time."""
    return ObjectKey(f'{EVIDENCE_PREFIX}{int(epoch_ms):015d}/{instance_id}/{number:08d}')


class _SealedSegment(msgspec.Struct, frozen=True, kw_only=True):
    key: ObjectKey
    body: bytes
    number: int
    records_count: int
    dropped_count: int


class AuditJournal:
    """Seals a segment periodically; the records that wait during an outage are bounded.

    The number and digest of the newest segment are also stored in the instance's lease row, so
    that the removal of the newest segment is detected as well.
    """

    def __init__(
        self, context: Context, session: SessionLease, every_ms: float, records_limit: int
    ) -> None:
        """Start without records.

        :param every_ms: pause between two segments.
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
        #: Segment whose write is not confirmed; it may already be stored.
        self._pending: _SealedSegment | None = None

    def add(self, record: OutcomeRecord) -> None:
        """Add a record; if the buffer is full, drop it and report it in the next header."""
        if len(self._records) >= self._records_limit:
            self.dropped_count += 1
            self._dropped_since_seal += 1
            return
        self._records.append(msgspec.json.encode(record))

    def run(self) -> Workflow[None]:
        """Seal a segment periodically."""
        yield from wait_for(self._session.began, None)
        while True:
            yield from sleep_until(self._context.now_ms() + self._every_ms)
            yield from self.seal()

    def seal(self) -> Workflow[bool]:
        """Store all waiting records as a segment; return whether none are left.

        Only one seal runs at a time: a concurrent one would use the same records and number.
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
        """Store the unconfirmed segment, or the next one.

        After a lost reply the same segment is stored again. A newly built one would have another
        key, and its records would be stored twice.
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
