"""Stand-in for the store of the platform with its HTTP protocol and injectable faults."""

from __future__ import annotations

import base64
import random
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

import gevent
import msgspec
from gevent.event import Event

from citrondyke.standin.part_table import PartTable
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    PartCommitted,
    PartConflict,
    PartRow,
    PartTransaction,
    RowCondition,
    RowPut,
    RowRemoval,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('StoreApp', 'StoreFaults')


class StoreFaults(msgspec.Struct):
    """Faults of the store."""

    #: Addresses of callers whose calls are rejected with 503; ``*`` for all.
    refused_ips: set[str] = msgspec.field(default_factory=set)
    #: Let these calls hang instead of rejecting them at once.
    is_silent: bool = False
    #: Share of transactions that take effect but are not answered in time, from 0 to 1.
    lost_reply_share: float = 0.0
    #: Version at which reads and feeds appear frozen; ``None`` for current rows.
    stale_at: int | None = None
    slow_ms: float = 0.0


class StoreApp:
    """WSGI application that serves rows, change feeds and objects."""

    def __init__(self, seed: int = 1) -> None:
        """Create an empty store without faults."""
        self.table = PartTable()
        self.objects: dict[str, bytes] = {}
        self.faults = StoreFaults()
        self.calls_count = 0
        self._random = random.Random(seed)
        self._changed = Event()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row, as an operator or a server does; return its version."""
        answer = self._transact(PartTransaction('', puts=(RowPut(table, key, value),)))
        assert isinstance(answer, PartCommitted)
        return answer.version

    def remove(self, table: str, key: str) -> None:
        """Delete a row, as happens when the entry of a server expires."""
        self._transact(PartTransaction('', removals=(RowRemoval(table, key),)))

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer a call."""
        self.calls_count += 1
        body = environ['wsgi.input'].read()
        faults = self.faults
        if faults.slow_ms:
            gevent.sleep(faults.slow_ms / 1e3)
        if faults.refused_ips & {environ['REMOTE_ADDR'], '*'}:
            if faults.is_silent:
                gevent.sleep(30.0)
            return _answer(start_response, 503, b'')
        path = environ['PATH_INFO']
        query = {key: value[0] for key, value in parse_qs(environ['QUERY_STRING']).items()}
        if path == '/-/rows-tx':
            return self._rows_tx(body, start_response)
        if path == '/-/rows-get':
            return self._rows_get(query, start_response)
        if path == '/-/rows-feed':
            return self._rows_feed(query, start_response)
        if path == '/-/rows-parts':
            parts = self.table.list_parts(query['table'], query.get('after', ''))
            return _answer(start_response, 200, msgspec.json.encode({'parts': parts}))
        return self._object(environ['REQUEST_METHOD'], path, body, start_response)

    def _transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        answer = self.table.transact(transaction)
        self._changed.set()
        self._changed.clear()
        return answer

    def _rows_tx(self, body: bytes, start_response: Any) -> Iterable[bytes]:
        call = msgspec.json.decode(body)
        entries = [*call['expected_rev'], *call['puts'], *call['remove']]
        parts = {entry.get('part', '') for entry in entries}
        if len(parts) != 1 or len(entries) > 100:  # noqa: PLR2004
            return _answer(start_response, 400, b'')
        answer = self._transact(
            PartTransaction(
                parts.pop(),
                tuple(
                    RowCondition(each['table'], each['key'], each['ver'])
                    for each in call['expected_rev']
                ),
                tuple(
                    RowPut(each['table'], each['key'], base64.b64decode(each['value']))
                    for each in call['puts']
                ),
                tuple(RowRemoval(each['table'], each['key']) for each in call['remove']),
            )
        )
        if self._random.random() < self.faults.lost_reply_share:
            gevent.sleep(30.0)
        status = 412 if isinstance(answer, PartConflict) else 200
        rows = answer.rows if isinstance(answer, PartConflict) else ()
        return _answer(start_response, status, self._rows(rows, answer.version))

    def _rows_get(self, query: dict[str, str], start_response: Any) -> Iterable[bytes]:
        limit = int(query.get('limit', '500'))
        page = self.table.read(query['table'], query.get('part', ''), query.get('from', ''), limit)
        assert not isinstance(page, PlatformFailure)
        rows, version = page.rows, page.version
        if self.faults.stale_at is not None:
            version = self.faults.stale_at
            rows = tuple(row for row in rows if row.version <= version)
        return _answer(start_response, 200, self._rows(rows, version, has_more=page.has_more))

    def _rows_feed(self, query: dict[str, str], start_response: Any) -> Iterable[bytes]:
        with gevent.Timeout(float(query.get('wait_ms', '0')) / 1e3, False):
            while True:
                feed = self.table.follow(query['table'], int(query['after']), 0.0)
                if isinstance(feed, PlatformFailure):
                    return _answer(start_response, 410, b'')
                if feed.rows and self.faults.stale_at is None:
                    return _answer(start_response, 200, self._rows(feed.rows, feed.version))
                self._changed.wait()
        return _answer(start_response, 200, self._rows((), int(query['after'])))

    def _rows(self, rows: Iterable[PartRow], version: int, *, has_more: bool = False) -> bytes:
        entries = []
        for row in rows:
            entry: dict[str, Any] = {
                'table': row.table,
                'part': row.part,
                'key': row.key,
                'ver': row.version,
            }
            if row.value is None:
                entry['deleted'] = True
            else:
                entry['value'] = base64.b64encode(row.value).decode()
            entries.append(entry)
        return msgspec.json.encode(
            {'rows': entries, 'has_more': has_more, 'ver': version, 'now_ms': self.table.now_ms}
        )

    def _object(self, method: str, path: str, body: bytes, start_response: Any) -> Iterable[bytes]:
        name = unquote(path.rpartition('/')[2])
        if method == 'PUT':
            self.objects[name] = body
            return _answer(start_response, 200, b'')
        if name not in self.objects:
            return _answer(start_response, 404, b'')
        if method == 'DELETE':
            del self.objects[name]
            return _answer(start_response, 200, b'')
        return _answer(start_response, 200, self.objects[name])


def _answer(start_response: Any, status: int, body: bytes) -> Iterable[bytes]:
    start_response(f'{status} Status', [('Content-Length', str(len(body)))])
    return [body]
