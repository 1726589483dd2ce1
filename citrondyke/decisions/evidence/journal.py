"""Collects outcome records and seals them into objects, each naming the one before."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec
import zstandard

from citrondyke.decisions.core.ops import put_object, sleep_until, wait_for
from citrondyke.decisions.evidence.record import OutcomeRecord, SealHeader
from citrondyke.ids import ObjectKey
from citrondyke.util.hashing import digest_hex

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.membership.session_keeper import SessionKeeper

__all__ = ('EVIDENCE_PREFIX', 'EvidenceJournal', 'evidence_key')

EVIDENCE_PREFIX = 'evidence/'
MINUTE_MS = 60_000.0
RETRY_PAUSE_MS = 1000.0


def evidence_key(epoch_ms: float, instance_id: str, number: int) -> ObjectKey:
    """Name an object of records; the names sort by time."""
    return ObjectKey(f'{EVIDENCE_PREFIX}{int(epoch_ms):015d}/{instance_id}/{number:08d}')


class EvidenceJournal:
    """One object in a while, with a bound on what waits during an outage.

    The number and digest of the newest object also go into the instance's lease row, so that
    even the removal of the newest object shows.
    """

    def __init__(
        self, context: Context, session: SessionKeeper, every_ms: float, records_limit: int
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
        """Write an object of all records that wait; tell whether none are left."""
        if not self._session.began.is_fired:
            return False
        if not self._records and not self._dropped_since_seal:
            return True
        count = len(self._records)
        dropped = self._dropped_since_seal
        number, previous = self._session.sealed
        header = SealHeader(
            instance_id=self._context.instance_id,
            number=number + 1,
            previous_digest=previous,
            records_count=count,
            dropped_count=dropped,
            is_after_crash=self._session.is_after_crash and not self._session.has_sealed,
        )
        lines = [msgspec.json.encode(header), *(self._records[n] for n in range(count))]
        body = zstandard.compress(b'\n'.join(lines) + b'\n')
        key = evidence_key(self._context.epoch_ms(), self._context.instance_id, number + 1)
        failure = yield from put_object(key, body)
        if failure is not None:
            yield from sleep_until(self._context.now_ms() + RETRY_PAUSE_MS)
            return False
        for _ in range(count):
            self._records.popleft()
        self._dropped_since_seal -= dropped
        self._session.note_sealed(number + 1, digest_hex(body))
        return True
