"""The lease of this instance's session."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.commit import CommitFailure, commit, commit_once, transaction
from citrondyke.decisions.core.ops import read_rows, sleep_until
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.membership.session_row import (
    SessionRow,
    SessionState,
    session_id,
    session_row_key,
)
from citrondyke.ids import SessionId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.table_service import Committed

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow

__all__ = ('SessionLease',)

#: Timeout of one attempt to begin or to release a session.
COMMIT_TIMEOUT_MS = 5000.0


class SessionLease:
    """Begins a session, renews its lease, and releases it at shutdown."""

    def __init__(self, context: Context, renew_every_ms: float, lease_ms: float) -> None:
        """Start without a session.

        :param renew_every_ms: pause between two renewals.
        :param lease_ms: how long the counter must stay unchanged before others take over.
        """
        self.began: Signal[None] = Signal()
        self._context = context
        self._renew_every_ms = renew_every_ms
        self._lease_ms = lease_ms
        self._key = session_row_key(context.instance_id)
        self._epoch = 0
        self._counter = 0
        self._version: int | None = None
        self._confirmed_ms = float('-inf')
        self._is_released = False
        #: Number and digest of the newest sealed segment of audit records.
        self.sealed = (0, '')
        #: Whether this incarnation has sealed a segment.
        self.has_sealed = False
        #: Whether the previous incarnation ended without releasing its lease.
        self.is_after_crash = False

    def record_sealed(self, number: int, digest: str) -> None:
        """Record the newest sealed segment of audit records; the next renewal stores it."""
        self.sealed = (number, digest)
        self.has_sealed = True

    @property
    def session(self) -> SessionId:
        """Identify this incarnation; only valid once ``began`` has fired."""
        return session_id(self._context.instance_id, self._epoch)

    @property
    def epoch(self) -> int:
        """Number of this incarnation."""
        return self._epoch

    def is_lease_valid(self) -> bool:
        """Return whether no other instance can have taken this one for dead.

        After a freeze that outlasts the lease, the time of the last confirmed renewal is too old.
        """
        return self._context.now_ms() - self._confirmed_ms < self._lease_ms

    def run(self) -> Workflow[None]:
        """Begin a session and renew it until it is released."""
        while not self.began.is_fired:
            if (yield from self._begin()):
                self.began.fire(None)
                break
            yield from self._pause()
        while not self._is_released:
            yield from self._pause()
            if self._is_released:
                return
            yield from self._renew()

    def release(self) -> Workflow[None]:
        """Release the lease, so that others take over without waiting for it to expire."""
        if self._is_released or not self.began.is_fired:
            return
        self._is_released = True
        row = SessionRow(self._epoch, self._counter + 1, SessionState.RELEASED, *self.sealed)
        txn = transaction(self._context, [(self._key, self._version)], [(self._key, row)])
        yield from commit(self._context, txn, self._context.now_ms() + COMMIT_TIMEOUT_MS)

    def _begin(self) -> Workflow[bool]:
        requested_ms = self._context.now_ms()
        found = yield from read_rows(self._key)
        if isinstance(found, PlatformFailure):
            return False
        row = found.get(self._key)
        previous = None if row is None else msgspec.json.decode(row.value, type=SessionRow)
        self._epoch = 1 if previous is None else previous.epoch + 1
        self._version = None if row is None else row.version
        if previous is not None:
            self.sealed = (previous.sealed_number, previous.sealed_digest)
            self.is_after_crash = previous.state is SessionState.HELD
        value = SessionRow(self._epoch, 1, SessionState.HELD, *self.sealed)
        txn = transaction(self._context, [(self._key, self._version)], [(self._key, value)])
        result = yield from commit(self._context, txn, self._context.now_ms() + COMMIT_TIMEOUT_MS)
        if not isinstance(result, Committed):
            return False
        self._counter = 1
        self._version = result.version
        self._confirmed_ms = requested_ms
        return True

    def _renew(self) -> Workflow[None]:
        requested_ms = self._context.now_ms()
        value = SessionRow(self._epoch, self._counter + 1, SessionState.HELD, *self.sealed)
        txn = transaction(self._context, [(self._key, self._version)], [(self._key, value)])
        result = yield from commit_once(txn)
        if isinstance(result, Committed):
            self._counter += 1
            self._version = result.version
            self._confirmed_ms = requested_ms
            return
        if isinstance(result, CommitFailure):
            return
        # Only this instance writes the row. A conflict is therefore an earlier renewal whose reply
        # was lost, or a second process with the same id, which then has a higher epoch.
        row = result.rows.get(self._key)
        if row is None:
            return
        stored = msgspec.json.decode(row.value, type=SessionRow)
        if stored.epoch == self._epoch:
            self._counter = stored.counter
            self._version = row.version

    def _pause(self) -> Workflow[None]:
        pause_ms = self._context.jittered_ms(self._renew_every_ms)
        yield from sleep_until(self._context.now_ms() + pause_ms)
