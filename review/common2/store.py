"""A stand-in of the platform's store, as PROTOCOL.md tells it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from http1 import Call, listen, reset, whole

__all__ = ('Store',)

#: 1 MB, in the larger of its two meanings.
CALL_BYTES = 1_048_576
ENTRIES = 100
PAGE_ROWS = 500
#: Interval in which the shares of object calls are dealt out.
SHARE_S = 0.02
PARTS_PAGE = 1_000
Key = tuple[str, str, str]


class Store:
    """Rows with one counter of versions, a feed of changes, and objects."""

    def __init__(self) -> None:
        """Start empty and sound."""
        self.rows: dict[Key, tuple[int, bytes]] = {}
        self.changes: list[tuple[int, Key, bytes]] = []
        self.version = 0
        #: Keys of each part of each table that was ever written.
        self._keys: dict[tuple[str, str], set[Key]] = {}
        self.objects: dict[str, bytes] = {}
        self.tx_ms = 5.0
        self.read_ms = 4.0
        self.blob_ms = 25.0
        self.blob_mb_s = 80.0
        #: Object calls whose bytes are on their way.
        self.transfers = 0
        #: By port: how calls of the instance that uses it are met ('busy', 'reset', 'silent').
        self.faults: dict[int, str] = {}
        #: Decides whether the answer of a write that was done is lost.
        self.loses: Any = None
        self.calls = 0
        #: Sizes of the calls that were refused as too large.
        self.refused_bytes: list[int] = []
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._began = time.monotonic()

    async def open_port(self, ip: str) -> int:
        """Listen at one more port, for one instance."""
        server = await listen(ip, 0, self._handle)
        self._servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a server does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self._apply([((table, '', key), text)], [])

    async def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        await self._apply([], [(table, '', key)])

    async def _apply(self, puts: list[tuple[Key, str]], removals: list[Key]) -> int:
        self.version += 1
        for key, value in puts:
            row = _row(key, self.version, value)
            self.rows[key] = (self.version, row)
            self._keys.setdefault(key[:2], set()).add(key)
            self.changes.append((self.version, key, row))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.changes.append((self.version, key, _row(key, self.version, None)))
        async with self._changed:
            self._changed.notify_all()
        return self.version

    @property
    def _now_ms(self) -> float:
        return (time.monotonic() - self._began) * 1e3

    async def _handle(
        self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        del reader
        self.calls += 1
        fault = self.faults.get(call.port, '')
        if fault == 'busy':
            writer.write(whole(503))
            return True
        if fault == 'reset':
            reset(writer)
            return False
        if fault == 'silent':
            await asyncio.sleep(60.0)
            return False
        url = urlsplit(call.target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        if url.path == '/-/rows-tx':
            return await self._transact(call, writer)
        if url.path == '/-/rows-feed':
            return await self._feed(query, writer)
        if url.path.startswith('/-/blob'):
            await asyncio.sleep(self.blob_ms / 1e3)
            if call.method == 'PUT':
                await self._share(len(call.body), None, writer)
            await self._share(0, self._object(call.method, url.path, call), writer)
            return not writer.is_closing()
        await asyncio.sleep(self.read_ms / 1e3)
        writer.write(self._get(query) if url.path == '/-/rows-get' else self._parts(query))
        return True

    async def _share(self, size: int, answer: bytes | None, writer: asyncio.StreamWriter) -> None:
        """Let the bytes of an object call pass at an equal share of ``blob_mb_s``."""
        data = b'' if answer is None else answer
        left = size + len(data)
        self.transfers += 1
        try:
            while left > 0 and not writer.is_closing():
                began = time.monotonic()
                await asyncio.sleep(SHARE_S)
                passed_s = time.monotonic() - began
                part = int(self.blob_mb_s * 1e6 * passed_s / self.transfers) + 1
                left -= part
                if data:
                    writer.write(data[:part])
                    data = data[part:]
        finally:
            self.transfers -= 1

    async def _transact(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.tx_ms / 1e3)
        wanted = json.loads(call.body)
        entries = [*wanted['expected_rev'], *wanted['puts'], *wanted['remove']]
        if len({each.get('part', '') for each in entries}) > 1 or len(entries) > ENTRIES:
            writer.write(whole(400))
            return True
        if len(call.body) > CALL_BYTES:
            self.refused_bytes.append(len(call.body))
            writer.write(whole(413))
            return True
        if any(each['table'] in ('op', 'servers') for each in wanted['puts'] + wanted['remove']):
            writer.write(whole(403))
            return True
        expected = [(_key(each), each['ver']) for each in wanted['expected_rev']]
        held = all(self.rows.get(key, (0, b''))[0] == version for key, version in expected)
        if held:
            await self._apply(
                [(_key(each), each['value']) for each in wanted['puts']],
                [_key(each) for each in wanted['remove']],
            )
        found = [] if held else [key for key, _ in expected if key in self.rows]
        answer = self._page([self.rows[key][1] for key in dict.fromkeys(found)])
        if held and self.loses is not None and self.loses(call, wanted):
            await asyncio.sleep(60.0)
            return False
        writer.write(whole(200 if held else 412, answer))
        return True

    async def _feed(self, query: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        after, table = int(query['after']), query['table']
        until = time.monotonic() + min(30_000.0, float(query.get('wait_ms', '0'))) / 1e3
        while True:
            found = self._changed_rows(table, after)
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        writer.write(whole(200, self._page(found)))
        return True

    def _changed_rows(self, table: str, after: int) -> list[bytes]:
        newest: dict[Key, bytes] = {}
        for version, key, row in reversed(self.changes):
            if version <= after:
                break
            if key[0] == table and key not in newest:
                newest[key] = row
        return list(reversed(newest.values()))

    def _page(self, rows: list[bytes], *, has_more: bool = False) -> bytes:
        more = b'true' if has_more else b'false'
        return b'{"rows":[%b],"has_more":%b,"ver":%d,"now_ms":%d}' % (
            b','.join(rows),
            more,
            self.version,
            self._now_ms,
        )

    def _get(self, query: dict[str, str]) -> bytes:
        table, part = query['table'], query.get('part', '')
        first, last = query.get('from', ''), query.get('to')
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        keys = sorted(
            key
            for key in self._of_part(table, part)
            if key[2] >= first and (last is None or key[2] < last)
        )
        found: list[bytes] = []
        size = 0
        for key in keys[:limit]:
            row = self.rows[key][1]
            size += len(row)
            if size > CALL_BYTES and found:
                break
            found.append(row)
        return whole(200, self._page(found, has_more=len(found) < len(keys)))

    def _of_part(self, table: str, part: str) -> list[Key]:
        return [key for key in self._keys.get((table, part), ()) if key in self.rows]

    def _parts(self, query: dict[str, str]) -> bytes:
        parts = sorted({key[1] for key in self.rows if key[0] == query['table']})
        parts = [part for part in parts if part > query.get('after', '')][:PARTS_PAGE]
        answer = {'parts': parts, 'ver': self.version, 'now_ms': self._now_ms}
        return whole(200, json.dumps(answer).encode())

    def _object(self, method: str, path: str, call: Call) -> bytes:
        name = unquote(path.rpartition('/')[2])
        if method == 'PUT':
            if name in self.objects and call.headers.get('if-none-match') == '*':
                return whole(412)
            self.objects[name] = call.body
            return whole(200)
        if name not in self.objects:
            return whole(404)
        if method == 'DELETE':
            del self.objects[name]
            return whole(200)
        return whole(200, self.objects[name])


def _key(entry: dict[str, Any]) -> Key:
    return entry['table'], entry.get('part', ''), entry['key']


def _row(key: Key, version: int, value: str | None) -> bytes:
    row: dict[str, Any] = {'table': key[0], 'part': key[1], 'key': key[2], 'ver': version}
    row |= {'deleted': True} if value is None else {'value': value}
    return json.dumps(row).encode()
