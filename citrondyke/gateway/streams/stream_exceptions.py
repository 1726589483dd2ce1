"""Streams that did not begin at the version of the split, stored for a start of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec
from gevent.lock import BoundedSemaphore

from citrondyke.decisions.streams.origin_records import LIFE_LIMIT_MS, StreamKey
from citrondyke.decisions.streams.stored_origins import StoredExceptions
from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
from citrondyke.ids import ServiceName, SoftwareVersion
from citrondyke.storage.failure import PlatformFailure, PlatformFailureReason
from citrondyke.storage.partitioned_table import (
    PartCommitted,
    PartTransaction,
    RowCondition,
    RowPut,
    RowRemoval,
)
from citrondyke.util.decoding import decode_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.store_clock import StoreClock
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('EXCEPTIONS_TABLE', 'BegunStream', 'StreamExceptions')

log = logbook.Logger(__name__)

EXCEPTIONS_TABLE = 'stream_exceptions'
#: Streams of one instance that began at another version than the split's, about 100 bytes each.
EXCEPTIONS_LIMIT = 300
#: ... of which so many may be streams that are only stored so that they can go on.
OPTIONAL_LIMIT = 200


class BegunStream(msgspec.Struct, frozen=True):
    """Stream to store."""

    key: StreamKey
    origin: StreamOrigin
    #: How long it may be resumed.
    life_ms: float


class _Exception(msgspec.Struct, frozen=True, array_like=True):
    """Stream that did not begin at the version of the split."""

    key: StreamKey
    service: str
    version: str
    #: By the store's clock; 0 if that was not known.
    until_store_ms: float

    @property
    def origin(self) -> StreamOrigin:
        """Return where it began."""
        return StreamOrigin(ServiceName(self.service), SoftwareVersion(self.version))


class ExceptionsRow(msgspec.Struct, frozen=True):
    """Row of an instance: its streams that may still be resumed."""

    streams: list[_Exception]


class StreamExceptions:
    """Keeps one row for each instance, which only that instance writes.

    A write without a response may be performed seconds later. Each write has the version of the row
    as its condition, so that a late one neither drops a stream that was stored after it nor takes
    effect after a later write.
    """

    def __init__(self, context: Context, table: PartitionedTable, clock: StoreClock) -> None:
        """Start without streams.

        :param clock: gets the times that the store states.
        """
        self._context = context
        self._table = table
        self._clock = clock
        self._lock = BoundedSemaphore()
        self._streams: dict[int, _Exception] = {}
        #: Version of this instance's row; ``None`` if it must be read.
        self._row_version: int | None = None
        #: Streams whose write may still be performed.
        self._in_doubt: set[int] = set()
        #: Versions of all instances' rows at the last cleanup.
        self._cleanup_versions: dict[str, int] = {}
        self.unreadable = UnreadableRows(EXCEPTIONS_TABLE)

    def origin(self, key: int) -> StreamOrigin | None:
        """Return where a stream of this instance begins, if it is stored."""
        stream = self._streams.get(key)
        return None if stream is None else stream.origin

    def is_in_doubt(self, key: int) -> bool:
        """Return whether a write of a stream may still be performed."""
        return key in self._in_doubt

    def save(self, begun: Sequence[BegunStream]) -> bool:
        """Store where streams begin; return whether they are stored."""
        with self._lock:
            is_written = self._read_own() and self._write(begun)
        log.info(
            'stream.exception',
            extra={
                'service': begun[0].origin.service,
                'version': begun[0].origin.version,
                'streams': len(begun),
                'exceptions': len(self._streams),
                'limit': EXCEPTIONS_LIMIT,
                'written': is_written,
                'in_doubt': len(self._in_doubt),
            },
        )
        return is_written

    def _read_own(self) -> bool:
        """Read this instance's row, which an earlier incarnation may have written."""
        if self._row_version is not None:
            return True
        name = self._context.instance_id
        listing = self._table.read(EXCEPTIONS_TABLE, '', name, limit=1)
        if isinstance(listing, PlatformFailure):
            return False
        self._clock.observe(listing.store_ms)
        self._row_version = 0
        for row in listing.rows:
            if row.key == name:
                self._row_version = row.version
                self._streams.update((each.key, each) for each in self._decode(row) or ())
        return True

    @property
    def room_count(self) -> int:
        """Return how many streams may be stored that need not be."""
        return max(0, OPTIONAL_LIMIT - sum(map(self._is_live, self._streams.values())))

    def _write(self, begun: Sequence[BegunStream]) -> bool:
        now_ms = self._clock.now_ms
        streams = {each.key: each for each in self._streams.values() if self._is_live(each)}
        for each in begun:
            until_ms = 0.0 if now_ms is None else now_ms + each.life_ms
            stream = _Exception(each.key, each.origin.service, each.origin.version, until_ms)
            streams[each.key] = stream
        if len(streams) > EXCEPTIONS_LIMIT:
            return False
        name = self._context.instance_id
        condition = RowCondition(EXCEPTIONS_TABLE, name, self._row_version or 0)
        value = msgspec.json.encode(ExceptionsRow(list(streams.values())))
        put = RowPut(EXCEPTIONS_TABLE, name, value)
        answer = self._table.transact(PartTransaction('', (condition,), (put,)))
        if isinstance(answer, PartCommitted):
            self._row_version = answer.version
            self._streams = streams
            # The condition of an earlier write no longer holds.
            self._in_doubt.clear()
            return True
        self._row_version = None
        if isinstance(answer, PlatformFailure) and (
            answer.reason is not PlatformFailureReason.UNAVAILABLE
        ):
            self._in_doubt.update(each.key for each in begun)
        return False

    def _is_live(self, stream: _Exception) -> bool:
        now_ms = self._clock.now_ms
        # A later time was stated by another clock, that of an instance of an earlier version.
        return now_ms is None or now_ms < stream.until_store_ms <= now_ms + LIFE_LIMIT_MS

    def read_all(self) -> StoredExceptions | PlatformFailure:
        """Read the streams of all instances."""
        listing = self._table.read_all(EXCEPTIONS_TABLE, '')
        if isinstance(listing, PlatformFailure):
            return listing
        self._clock.observe(listing.store_ms)
        rows = [self._decode(row) for row in listing.rows]
        by_key: dict[int, StreamOrigin | None] = {}
        live: set[StreamOrigin] = set()
        for stream in (stream for row in rows for stream in row or ()):
            # A key is that of one stream, so its entry holds however old it is.
            known = by_key.get(stream.key, stream.origin)
            by_key[stream.key] = stream.origin if known == stream.origin else None
            if self._is_live(stream):
                live.add(stream.origin)
        return StoredExceptions(by_key, frozenset(live), None not in rows)

    def remove_expired(self) -> None:
        """Remove the rows that are unchanged since the last cleanup: their streams are over.

        Instances that left would leave theirs.
        """
        listing = self._table.read_all(EXCEPTIONS_TABLE, '')
        if isinstance(listing, PlatformFailure):
            return
        before = self._cleanup_versions
        self._cleanup_versions = {row.key: row.version for row in listing.rows}
        for row in listing.rows:
            if before.get(row.key) == row.version:
                condition = RowCondition(EXCEPTIONS_TABLE, row.key, row.version)
                removal = RowRemoval(EXCEPTIONS_TABLE, row.key)
                self._table.transact(PartTransaction('', (condition,), (), (removal,)))

    def _decode(self, row: PartRow) -> list[_Exception] | None:
        try:
            return decode_json(row.value or b'', ExceptionsRow).streams
        except UnreadableBytesError as error:
            self.unreadable.log_once(row.key, row.version, error.message)
            return None
        except Exception:
            # The streams of the other instances must still be found.
            self.unreadable.log_failure(row.key, row.version)
            return None
