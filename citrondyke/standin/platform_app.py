"""HTTP stand-in for the platform: table service, object store and fleet lists."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import bottle
import gevent
import msgspec
from sortedcontainers import SortedDict

from citrondyke.standin.abortable_server import abort_connection
from citrondyke.standin.faults import FaultMode, FaultSwitch
from citrondyke.standin.lagging_lists import LaggingLists
from citrondyke.standin.table import Table
from citrondyke.storage.fleet_lists import ListedInstance, ListedServer
from citrondyke.storage.http_table_service import ReadRequest, RowsReply, ScanRequest
from citrondyke.storage.table_service import Conflict, Transaction
from citrondyke.util.clock import Clock
from citrondyke.util.hashing import digest_hex

__all__ = ('PlatformApp', 'PlatformCounts', 'platform_app')

#: Longer than the timeout of any client.
HANG_S = 60.0
SERVICES = ('table', 'objects', 'lists')


class PlatformCounts(msgspec.Struct, frozen=True):
    """Counts of the calls that the platform received."""

    transactions_count: int
    conflicts_count: int
    reads_count: int
    scans_count: int
    rows_read_count: int
    objects_put_count: int
    objects_got_count: int


class PlatformApp:
    """The three services of the platform and the endpoints that control their faults."""

    def __init__(self, clock: Clock) -> None:
        """Create a platform without rows, objects or list entries."""
        self.table = Table()
        self.lists = LaggingLists()
        self.faults = {name: FaultSwitch() for name in SERVICES}
        self._clock = clock
        self._objects: SortedDict = SortedDict()
        self._puts_count = 0
        self._gets_count = 0

    def transact(self) -> bytes:
        """Answer ``POST /v1/transact``."""
        return self._with_fault('table', self._transact)

    def read(self) -> bytes:
        """Answer ``POST /v1/read``."""
        return self._with_fault('table', self._read)

    def scan(self) -> bytes:
        """Answer ``POST /v1/scan``."""
        return self._with_fault('table', self._scan)

    def put_object(self, key: str) -> bytes:
        """Answer ``PUT /objects/<key>``."""
        return self._with_fault('objects', lambda: self._put_object(key))

    def get_object(self, key: str) -> bytes:
        """Answer ``GET /objects/<key>``."""
        return self._with_fault('objects', lambda: self._get_object(key))

    def delete_object(self, key: str) -> bytes:
        """Answer ``DELETE /objects/<key>``."""
        self._objects.pop(key, None)
        return b'{}'

    def list_objects(self) -> bytes:
        """Answer ``GET /objects``."""
        return self._with_fault('objects', self._list_objects)

    def read_lists(self) -> bytes:
        """Answer ``GET /lists``."""
        return self._with_fault('lists', self._read_lists)

    def set_fault(self, service: str) -> bytes:
        """Answer ``PUT /control/faults/<service>``."""
        self.faults[service] = msgspec.json.decode(bottle.request.body.read(), type=FaultSwitch)
        return b'{}'

    def set_lag(self) -> bytes:
        """Answer ``PUT /control/lag``; the body is the lag in milliseconds."""
        self.lists.lag_ms = msgspec.json.decode(bottle.request.body.read(), type=float)
        return b'{}'

    def put_instance(self) -> bytes:
        """Answer ``PUT /control/instances``."""
        entry = msgspec.json.decode(bottle.request.body.read(), type=ListedInstance)
        self.lists.put_instance(entry, self._clock.now_ms())
        return b'{}'

    def put_server(self) -> bytes:
        """Answer ``PUT /control/servers``."""
        entry = msgspec.json.decode(bottle.request.body.read(), type=ListedServer)
        self.lists.put_server(entry, self._clock.now_ms())
        return b'{}'

    def remove_instance(self, entry_id: Any) -> bytes:
        """Answer ``DELETE /control/instances/<id>``."""
        self.lists.remove_instance(entry_id, self._clock.now_ms())
        return b'{}'

    def remove_server(self, entry_id: Any) -> bytes:
        """Answer ``DELETE /control/servers/<id>``."""
        self.lists.remove_server(entry_id, self._clock.now_ms())
        return b'{}'

    def counts(self) -> bytes:
        """Answer ``GET /control/counts``."""
        return msgspec.json.encode(
            PlatformCounts(
                transactions_count=self.table.transactions_count,
                conflicts_count=self.table.conflicts_count,
                reads_count=self.table.reads_count,
                scans_count=self.table.scans_count,
                rows_read_count=self.table.rows_read_count,
                objects_put_count=self._puts_count,
                objects_got_count=self._gets_count,
            )
        )

    def _with_fault(self, service: str, action: Callable[[], bytes]) -> bytes:
        switch = self.faults[service]
        mode = switch.take()
        if mode is FaultMode.DOWN:
            bottle.response.status = 503
            return b'{}'
        if mode is FaultMode.HANG:
            gevent.sleep(HANG_S)
            return b''
        if mode is FaultMode.SLOW:
            gevent.sleep(switch.delay_ms / 1e3)
        answer = action()
        if mode is FaultMode.LOST_REPLY:
            abort_connection(bottle.request.environ)
        return answer

    def _read_lists(self) -> bytes:
        body = msgspec.json.encode(self.lists.at(self._clock.now_ms()))
        tag = f'"{digest_hex(body)}"'
        bottle.response.set_header('ETag', tag)
        if bottle.request.headers.get('If-None-Match') == tag:
            bottle.response.status = 304
            return b''
        return body

    def _transact(self) -> bytes:
        body = msgspec.json.decode(bottle.request.body.read(), type=Transaction)
        result = self.table.transact(body)
        if isinstance(result, Conflict):
            bottle.response.status = 409
        return msgspec.json.encode(result)

    def _read(self) -> bytes:
        body = msgspec.json.decode(bottle.request.body.read(), type=ReadRequest)
        return msgspec.json.encode(RowsReply(self.table.read(body.keys)))

    def _scan(self) -> bytes:
        body = msgspec.json.decode(bottle.request.body.read(), type=ScanRequest)
        return msgspec.json.encode(RowsReply(self.table.scan(body.prefix, body.after, body.limit)))

    def _put_object(self, key: str) -> bytes:
        self._puts_count += 1
        self._objects[key] = bottle.request.body.read()
        return b'{}'

    def _get_object(self, key: str) -> bytes:
        self._gets_count += 1
        if key not in self._objects:
            bottle.response.status = 404
            return b'{}'
        found: bytes = self._objects[key]
        return found

    def _list_objects(self) -> bytes:
        prefix = bottle.request.query.prefix
        keys: list[str] = []
        for key in self._objects.irange(minimum=prefix):
            if not key.startswith(prefix):
                break
            keys.append(key)
        return msgspec.json.encode(keys)


def platform_app(clock: Clock) -> tuple[bottle.Bottle, PlatformApp]:
    """Create the stand-in and its WSGI application."""
    platform = PlatformApp(clock)
    app = bottle.Bottle()
    app.post('/v1/transact', callback=platform.transact)
    app.post('/v1/read', callback=platform.read)
    app.post('/v1/scan', callback=platform.scan)
    app.put('/objects/<key:path>', callback=platform.put_object)
    app.get('/objects/<key:path>', callback=platform.get_object)
    app.delete('/objects/<key:path>', callback=platform.delete_object)
    app.get('/objects', callback=platform.list_objects)
    app.get('/lists', callback=platform.read_lists)
    app.put('/control/faults/<service>', callback=platform.set_fault)
    app.put('/control/lag', callback=platform.set_lag)
    app.put('/control/instances', callback=platform.put_instance)
    app.put('/control/servers', callback=platform.put_server)
    app.delete('/control/instances/<entry_id>', callback=platform.remove_instance)
    app.delete('/control/servers/<entry_id>', callback=platform.remove_server)
    app.get('/control/counts', callback=platform.counts)
    return app, platform
