"""A follower's view of its readers, and whether their messages replace its own reads."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId

__all__ = ('MissingRows', 'ReaderLeaseTracker')

#: Two readers publish their cursor three times a second: one or two lost datagrams of each do not
#: end the lease. Servers that leave may get requests for 2 s, in which a follower must have noticed
#: that the readers are unresponsive and have read the store.
LEASE_MS = 900.0
#: A reader whose last answer of the store is older grants no lease. It reads each second.
FRESH_MS = 1_600.0
#: Time for which lists may differ before all rows are requested: one of the two receives a change
#: first, at most one interval of the other's feed earlier.
DIVERGENCE_LIMIT_MS = 1_500.0
#: Interval between two requests for all rows: lists may differ for seconds after an outage, as each
#: instance drops expired rows at its own time.
FULL_REQUEST_EVERY_MS = 5_000.0
READERS_LIMIT = 16


class MissingRows(Enum):
    """Rows to request from a reader."""

    NOTHING = 'nothing'
    CHANGES = 'changes'
    EVERYTHING = 'everything'


class _ReaderState(msgspec.Struct):
    incarnation: str
    #: Number up to which all changes of this reader were applied here; -1 for none.
    number: int
    received_ms: float
    #: In its last message it had the same complete list.
    is_up_to_date: bool = False
    differs_since_ms: float | None = None
    full_requested_ms: float = float('-inf')


class ReaderLeaseTracker:
    """Track the read delegation, a lease that messages of readers with the same list extend."""

    def __init__(self, context: Context) -> None:
        """Start without readers."""
        self._context = context
        self._readers: dict[InstanceId, _ReaderState] = {}
        self._delegated_until_ms = float('-inf')
        #: When the last message that extended the lease arrived, by the fence clock.
        self.received_ms = float('-inf')
        #: Time of the newest list of a reader that was the same, by the fence clock.
        self.confirmed_ms = float('-inf')
        #: Reader whose message extended the lease last.
        self.source: InstanceId | None = None

    @property
    def is_delegated(self) -> bool:
        """Return whether reads of the list from the store are delegated."""
        return self._context.now_ms() < self._delegated_until_ms

    @property
    def has_reader(self) -> bool:
        """Return whether a message of any reader arrived within the lease time."""
        since_ms = self._context.now_ms() - LEASE_MS
        return any(state.received_ms >= since_ms for state in self._readers.values())

    def cursor_of(self, reader: InstanceId) -> ServerListCursor:
        """Return the cursor up to which a reader's changes were applied, for a request to it."""
        state = self._readers.get(reader)
        if state is None or state.number < 0:
            return ServerListCursor('', 0)
        return ServerListCursor(state.incarnation, state.number)

    def record_cursor(
        self, reader: InstanceId, cursor: ServerListCursor, own_digest: int
    ) -> MissingRows:
        """Apply a reader's cursor; return the rows to request from it."""
        now_ms = self._context.now_ms()
        state = self._reader_state(reader, cursor.life)
        state.received_ms = now_ms
        state.is_up_to_date = cursor.is_whole and cursor.digest == own_digest
        if state.is_up_to_date:
            state.number = cursor.number
            state.differs_since_ms = None
            self.received_ms = self._context.clock.fence_ms()
            self.confirmed_ms = max(self.confirmed_ms, self.received_ms - cursor.age_ms)
            until_ms = now_ms + min(LEASE_MS, FRESH_MS - cursor.age_ms)
            if until_ms > self._delegated_until_ms:
                self._delegated_until_ms = until_ms
                self.source = reader
            return MissingRows.NOTHING
        if state.differs_since_ms is None:
            state.differs_since_ms = now_ms
        if 0 <= state.number < cursor.number:
            return MissingRows.CHANGES
        return self._missing_everything(state, now_ms)

    def is_up_to_date(self, reader: InstanceId) -> bool:
        """Return whether a reader's list was the same as the local one in its last message."""
        state = self._readers.get(reader)
        return state is not None and state.is_up_to_date

    def record_failure(self, reader: InstanceId) -> None:
        """Record that a reader did not answer, so that it may be asked again soon."""
        state = self._readers.get(reader)
        if state is not None:
            state.full_requested_ms = float('-inf')

    def record_changes(self, reader: InstanceId, incarnation: str, since: int, number: int) -> bool:
        """Record that a reader's changes between two numbers arrived.

        :returns: whether no earlier change is missing.
        """
        state = self._reader_state(reader, incarnation)
        state.received_ms = self._context.now_ms()
        is_whole = since <= max(0, state.number)
        if is_whole:
            state.number = max(state.number, number)
        return is_whole

    def _missing_everything(self, state: _ReaderState, now_ms: float) -> MissingRows:
        """Return whether to request all rows: without a lease, or if the lists differ for long."""
        since_ms = state.differs_since_ms
        differs_long = since_ms is not None and now_ms - since_ms >= DIVERGENCE_LIMIT_MS
        if self.is_delegated and not differs_long:
            return MissingRows.NOTHING
        if state.number >= 0 and not differs_long:
            return MissingRows.NOTHING
        if now_ms - state.full_requested_ms < FULL_REQUEST_EVERY_MS:
            return MissingRows.NOTHING
        state.full_requested_ms = now_ms
        state.number = -1
        return MissingRows.EVERYTHING

    def _reader_state(self, reader: InstanceId, incarnation: str) -> _ReaderState:
        state = self._readers.pop(reader, None)
        if state is None or state.incarnation != incarnation:
            state = _ReaderState(incarnation, -1, self._context.now_ms())
        self._readers[reader] = state
        while len(self._readers) > READERS_LIMIT:
            del self._readers[next(iter(self._readers))]
        return state
