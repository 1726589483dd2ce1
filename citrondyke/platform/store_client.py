"""HTTP client of the platform's store: rows, feeds and objects."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, Annotated, TypeVar
from urllib.parse import quote, urlencode

import logbook
import msgspec

from citrondyke.errors.broken_reply import ReplyFailureKind
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.http_client import HttpAnswer, HttpClient, HttpFailure
from citrondyke.ids import ObjectKey
from citrondyke.storage.failure import (
    AMBIGUOUS,
    FULL,
    HISTORY_LOST,
    MISSING,
    UNAVAILABLE,
    PlatformFailure,
)
from citrondyke.storage.object_store import ObjectStore
from citrondyke.storage.partitioned_table import (
    ChangeBatch,
    Listing,
    PartCommitted,
    PartConflict,
    PartitionedTable,
    PartRow,
    PartTransaction,
)
from citrondyke.util.decoding import decode_json

if TYPE_CHECKING:
    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.store_traffic import StoreTraffic

__all__ = ('PlatformObjectStore', 'PlatformTable')

Decoded = TypeVar('Decoded')

log = logbook.Logger(__name__)

JSON_HEADERS: Headers = [(b'Content-Type', b'application/json')]
PRECONDITION_FAILED = 412
GONE = 410
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
INSUFFICIENT_STORAGE = 507
NOT_FOUND = 404
OK = 200
#: Time that an object may take beyond the timeout of a call while its bytes go on arriving: all
#: reads share the store's bandwidth, and after a loss of all instances there are many.
OBJECT_TRANSFER_MS = 15_000.0
#: Replaces a value that is not base64. Valid neither as JSON nor MessagePack nor compressed data.
UNREADABLE_VALUE = b'\xc1'


#: Number of a transaction of the store.
Version = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Row(msgspec.Struct, omit_defaults=True):
    table: str
    key: str
    part: str = ''
    value: str | None = None
    ver: Version | None = None
    #: The row was deleted; set in a feed only.
    deleted: bool = False


class _Transaction(msgspec.Struct, frozen=True):
    expected_rev: list[_Row]
    puts: list[_Row]
    remove: list[_Row]


class _Rows(msgspec.Struct, frozen=True):
    #: Newest version of the whole store, not of these rows.
    ver: Version
    rows: list[_Row] = []
    has_more: bool = False
    #: Steady clock of the store.
    now_ms: float | None = None


class _Parts(msgspec.Struct, frozen=True):
    parts: list[str] = []


class _Names(msgspec.Struct, frozen=True):
    names: list[str] = []
    has_more: bool = False


class PlatformTable(PartitionedTable):
    """Table of rows with a feed of changes."""

    def __init__(
        self, http: HttpClient, call_timeout_ms: float, traffic: StoreTraffic | None = None
    ) -> None:
        """Use an HTTP client.

        :param call_timeout_ms: timeout of each call; the waiting time of a feed is added to it.
        :param traffic: counts the bytes of answers.
        """
        self._http = http
        self._timeout_ms = call_timeout_ms
        self._traffic = traffic

    def transact(
        self, transaction: PartTransaction
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Send a transaction without a retry."""
        part = transaction.part
        body = _Transaction(
            [_Row(each.table, each.key, part, ver=each.version) for each in transaction.conditions],
            [
                _Row(each.table, each.key, part, _encode_value(each.value))
                for each in transaction.puts
            ],
            [_Row(each.table, each.key, part) for each in transaction.removals],
        )
        answer = self._http.call(
            'POST', '/-/rows-tx', msgspec.json.encode(body), JSON_HEADERS, self._timeout_ms
        )
        tables = {each.table for each in transaction.puts}
        tables.update(each.table for each in transaction.removals)
        self._record_traffic('write', '+'.join(sorted(tables)), answer)
        rows = _decode(answer, _Rows, also_ok=(PRECONDITION_FAILED,))
        if isinstance(rows, PlatformFailure):
            return rows
        if isinstance(answer, HttpAnswer) and answer.status == PRECONDITION_FAILED:
            return PartConflict(tuple(_part_row(row) for row in rows.rows), rows.ver)
        return PartCommitted(rows.ver)

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        """Read the rows of a part, starting at a key."""
        query = {'table': table, 'part': part, 'limit': str(limit)}
        if from_key:
            query['from'] = from_key
        rows = self._get('/-/rows-get', query, _Rows, self._timeout_ms)
        if isinstance(rows, PlatformFailure):
            return rows
        return Listing(
            tuple(_part_row(row) for row in rows.rows), rows.has_more, rows.ver, rows.now_ms
        )

    def list_parts(self, table: str, after: str = '') -> list[str] | PlatformFailure:
        """List the parts that follow a given one."""
        query = {'table': table} | ({'after': after} if after else {})
        found = self._get('/-/rows-parts', query, _Parts, self._timeout_ms)
        return found if isinstance(found, PlatformFailure) else found.parts

    def follow(
        self, table: str, after_version: int, wait_ms: float
    ) -> ChangeBatch | PlatformFailure:
        """Wait for changes of a table after a version."""
        # "after" is a version here, whereas it is a name in lists of parts and objects.
        query = {'table': table, 'after': str(after_version), 'wait_ms': str(int(wait_ms))}
        rows = self._get('/-/rows-feed', query, _Rows, wait_ms + self._timeout_ms)
        if isinstance(rows, PlatformFailure):
            return rows
        return ChangeBatch(tuple(_part_row(row) for row in rows.rows), rows.ver)

    def _get(
        self, path: str, query: dict[str, str], reply_type: type[Decoded], timeout_ms: float
    ) -> Decoded | PlatformFailure:
        answer = self._http.call('GET', f'{path}?{urlencode(query)}', b'', [], timeout_ms)
        self._record_traffic(path.rpartition('-')[2], query['table'], answer)
        return _decode(answer, reply_type)

    def _record_traffic(self, kind: str, table: str, answer: HttpAnswer | HttpFailure) -> None:
        if self._traffic is None:
            return
        size_bytes = len(answer.body) if isinstance(answer, HttpAnswer) else 0
        is_answered = isinstance(answer, HttpAnswer) and answer.status in (OK, PRECONDITION_FAILED)
        self._traffic.record(kind, table, size_bytes, is_answered=is_answered)


class PlatformObjectStore(ObjectStore):
    """Objects of the store."""

    def __init__(self, http: HttpClient, call_timeout_ms: float) -> None:
        """Use an HTTP client.

        :param call_timeout_ms: timeout of each call.
        """
        self._http = http
        self._timeout_ms = call_timeout_ms

    def put(self, key: ObjectKey, body: bytes) -> PlatformFailure | None:
        """Store an object."""
        answer = self._http.call(
            'PUT', f'/-/blob-put/{quote(key, safe="")}', body, [], self._timeout_ms
        )
        return _failure(answer)

    def get(self, key: ObjectKey) -> bytes | PlatformFailure:
        """Read an object.

        A response without a length may have been broken off, which nothing in an object tells: it
        is whole if a second read finds the same.
        """
        answer = self._read(key)
        if isinstance(answer, PlatformFailure) or answer.is_framed:
            return answer if isinstance(answer, PlatformFailure) else answer.body
        again = self._read(key)
        if isinstance(again, PlatformFailure):
            return again
        is_whole = again.is_framed or again.body == answer.body
        log.info(
            'store.unframed_object',
            extra={
                'key': key,
                'size_bytes': len(answer.body),
                'size_again_bytes': len(again.body),
                'is_whole': is_whole,
            },
        )
        return again.body if is_whole else AMBIGUOUS

    def _read(self, key: ObjectKey) -> HttpAnswer | PlatformFailure:
        target = f'/-/blob-get/{quote(key, safe="")}'
        answer = self._http.call('GET', target, b'', [], self._timeout_ms, OBJECT_TRANSFER_MS)
        failure = _failure(answer)
        if failure is not None:
            return failure
        return answer if isinstance(answer, HttpAnswer) else AMBIGUOUS

    def delete(self, key: ObjectKey) -> PlatformFailure | None:
        """Delete an object."""
        answer = self._http.call(
            'DELETE', f'/-/blob-drop/{quote(key, safe="")}', b'', [], self._timeout_ms
        )
        failure = _failure(answer)
        return None if failure == MISSING else failure

    def list_keys(self, prefix: str) -> list[ObjectKey] | PlatformFailure:
        """List the keys that start with a prefix, in order."""
        keys: list[ObjectKey] = []
        while True:
            query = {'path_prefix': prefix} | ({'after': keys[-1]} if keys else {})
            answer = self._http.call(
                'GET', f'/-/blob-list?{urlencode(query)}', b'', [], self._timeout_ms
            )
            page = _decode(answer, _Names)
            if isinstance(page, PlatformFailure):
                return page
            keys.extend(ObjectKey(name) for name in page.names)
            if not page.has_more or not page.names:
                return keys


def _decode(
    answer: HttpAnswer | HttpFailure, reply_type: type[Decoded], also_ok: tuple[int, ...] = ()
) -> Decoded | PlatformFailure:
    if not isinstance(answer, HttpAnswer) or answer.status not in (OK, *also_ok):
        failure = _failure(answer)
        return AMBIGUOUS if failure is None else failure
    try:
        return decode_json(answer.body, reply_type)
    except UnreadableBytesError as error:
        log.warning('store.unreadable', extra={'detail': error.message})
        return AMBIGUOUS


def _failure(answer: HttpAnswer | HttpFailure) -> PlatformFailure | None:
    if isinstance(answer, HttpFailure):
        never_sent = answer.reason.kind is ReplyFailureKind.NO_CONNECTION
        return UNAVAILABLE if never_sent else AMBIGUOUS
    known = {
        TOO_MANY_REQUESTS: UNAVAILABLE,
        SERVICE_UNAVAILABLE: UNAVAILABLE,
        NOT_FOUND: MISSING,
        GONE: HISTORY_LOST,
        INSUFFICIENT_STORAGE: FULL,
    }
    if answer.status in known:
        return known[answer.status]
    return None if answer.status < 300 else AMBIGUOUS  # noqa: PLR2004


def _encode_value(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _part_row(row: _Row) -> PartRow:
    return PartRow(row.table, row.part, row.key, row.ver or 0, _decode_value(row))


def _decode_value(row: _Row) -> bytes | None:
    if row.deleted or row.value is None:
        return None
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        # An exception would lose the other rows of the answer; no decoder accepts this value.
        return UNREADABLE_VALUE
