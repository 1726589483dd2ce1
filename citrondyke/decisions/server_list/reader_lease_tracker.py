"""What a follower has heard of its readers, and whether that stands for reads of its own."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId

__all__ = ('MissingRows', 'ReaderLeaseTracker')

#: Readers tell how far they are three times a second, and two of them do: two lost datagrams of
#: each are no silence yet. Servers that leave may get requests for 2 s, in which a follower must
#: have noticed the silence and asked the store.
LEASE_MS = 900.0
#: A reader that has not heard from the store for longer covers nobody. It asks each second.
FRESH_MS = 1_600.0
#: For so long lists may differ before all rows are asked for: one of the two hears of a change
#: first, at most a pause of the other's feed before it.
DIVERGENCE_LIMIT_MS = 1_500.0
#: Time between two questions for all rows; two lists may differ for seconds after an outage, as
#: each drops lapsed rows at its own time.
FULL_REQUEST_EVERY_MS = 5_000.0
READERS_LIMIT = 16


class MissingRows(Enum):
    """What is to be asked of a reader."""

    NOTHING = 'nothing'
    CHANGES = 'changes'
    EVERYTHING = 'everything'


class _ReaderState(msgspec.Struct):
    life: str
    #: Up to which all changes that this reader told are known here; -1 where none are.
    number: int
    received_ms: float
    #: Its last word was that it has the same whole list.
    is_up_to_date: bool = False
    differs_since_ms: float | None = None
    full_requested_ms: float = float('-inf')


class ReaderLeaseTracker:
    """Coverage is a lease: each word of a reader with the same list extends it."""

    def __init__(self, context: Context) -> None:
        """Start having heard of nobody."""
        self._context = context
        self._readers: dict[InstanceId, _ReaderState] = {}
        self._delegated_until_ms = float('-inf')
        #: Whose word covered last.
        self.source: InstanceId | None = None

    @property
    def is_delegated(self) -> bool:
        """Tell whether the store need not be asked for the list."""
        return self._context.now_ms() < self._delegated_until_ms

    @property
    def has_reader(self) -> bool:
        """Tell whether some reader was heard a moment ago."""
        since_ms = self._context.now_ms() - LEASE_MS
        return any(heard.received_ms >= since_ms for heard in self._readers.values())

    def cursor_of(self, reader: InstanceId) -> ServerListCursor:
        """Say for a question how far a reader was heard."""
        heard = self._readers.get(reader)
        if heard is None or heard.number < 0:
            return ServerListCursor('', 0)
        return ServerListCursor(heard.life, heard.number)

    def record_cursor(
        self, reader: InstanceId, told: ServerListCursor, own_digest: int
    ) -> MissingRows:
        """Take in how far a reader is; tell what is to be asked of it."""
        now_ms = self._context.now_ms()
        heard = self._reader_state(reader, told.life)
        heard.received_ms = now_ms
        heard.is_up_to_date = told.is_whole and told.digest == own_digest
        if heard.is_up_to_date:
            heard.number = told.number
            heard.differs_since_ms = None
            until_ms = now_ms + min(LEASE_MS, FRESH_MS - told.age_ms)
            if until_ms > self._delegated_until_ms:
                self._delegated_until_ms = until_ms
                self.source = reader
            return MissingRows.NOTHING
        if heard.differs_since_ms is None:
            heard.differs_since_ms = now_ms
        if 0 <= heard.number < told.number:
            return MissingRows.CHANGES
        return self._missing_everything(heard, now_ms)

    def is_up_to_date(self, reader: InstanceId) -> bool:
        """Tell whether a reader's last word was that it has the list that is known here."""
        heard = self._readers.get(reader)
        return heard is not None and heard.is_up_to_date

    def record_failure(self, reader: InstanceId) -> None:
        """Take in that a reader did not answer; it may be asked again soon."""
        heard = self._readers.get(reader)
        if heard is not None:
            heard.full_requested_ms = float('-inf')

    def record_changes(self, reader: InstanceId, life: str, since: int, number: int) -> bool:
        """Take in that a reader told all changes between two numbers; tell if none is missing."""
        heard = self._reader_state(reader, life)
        heard.received_ms = self._context.now_ms()
        is_whole = since <= max(0, heard.number)
        if is_whole:
            heard.number = max(heard.number, number)
        return is_whole

    def _missing_everything(self, heard: _ReaderState, now_ms: float) -> MissingRows:
        """Ask for all rows where nobody covers, or where the lists differ for long."""
        since_ms = heard.differs_since_ms
        differs_long = since_ms is not None and now_ms - since_ms >= DIVERGENCE_LIMIT_MS
        if self.is_delegated and not differs_long:
            return MissingRows.NOTHING
        if heard.number >= 0 and not differs_long:
            return MissingRows.NOTHING
        if now_ms - heard.full_requested_ms < FULL_REQUEST_EVERY_MS:
            return MissingRows.NOTHING
        heard.full_requested_ms = now_ms
        heard.number = -1
        return MissingRows.EVERYTHING

    def _reader_state(self, reader: InstanceId, life: str) -> _ReaderState:
        heard = self._readers.pop(reader, None)
        if heard is None or heard.life != life:
            heard = _ReaderState(life, -1, self._context.now_ms())
        self._readers[reader] = heard
        while len(self._readers) > READERS_LIMIT:
            del self._readers[next(iter(self._readers))]
        return heard
