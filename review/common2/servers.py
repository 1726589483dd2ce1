"""Stand-ins of model servers and of an application's servers, as PROTOCOL.md tells them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from http1 import Call, listen, reset, whole

if TYPE_CHECKING:
    from collections.abc import Callable

    from store import Store

__all__ = ('Server', 'event_text')


def event_text(request_id: str, number: int, size: int = 60) -> str:
    """Return the data of one event of a request's stream, the same at every server."""
    return f'{request_id}.{number}.'.ljust(size, 'x')


class Server:
    """Runs at most ``slots`` requests at once; others wait, and further ones are rejected."""

    def __init__(
        self, server_id: str, service: str, ip: str, zone: str, slots: int = 8, queue: int = 24
    ) -> None:
        """Create it; it listens from ``start`` on."""
        self.server_id, self.service, self.ip, self.zone = server_id, service, ip, zone
        self.slots, self.queue = slots, queue
        self.events, self.event_ms, self.first_ms = 24, 15.0, 60.0
        self.work_ms = 30.0
        self.event_bytes = 60
        self.state, self.seq, self.port = 'ready', 0, 0
        #: What it ran: id, headers, target, start, whether the whole answer was written.
        self.runs: list[dict[str, Any]] = []
        self.refused = 0
        #: Tells how a request is met, by its call; '' to serve it.
        self.manner: Callable[[Call], str] = lambda _: ''
        self._free = asyncio.Semaphore(slots)
        self.waiting = self.running = 0
        self._server: asyncio.Server | None = None

    async def start(self, store: Store) -> None:
        """Listen and register."""
        self._server = await listen(self.ip, self.port, self._handle)
        self.port = self._server.sockets[0].getsockname()[1]
        await self.register(store)

    async def register(self, store: Store) -> None:
        """Write its entry."""
        self.seq += 1
        entry = {
            'service': self.service,
            'address': f'{self.ip}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self.seq,
        }
        await store.put('servers', self.server_id, entry)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    @property
    def _load(self) -> str:
        return f'{self.running},{self.waiting},{self.slots}'

    async def _handle(
        self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = call.headers.get('attempt-id', '')
        if call.target == '/healthz':
            writer.write(whole(200, Instance_Id=self.server_id, Instance_Load=self._load))
            return True
        if call.headers.get('expect-instance', self.server_id) != self.server_id:
            writer.write(whole(421, Attempt_Id=request_id, Instance_Id=self.server_id))
            return True
        manner = self.manner(call)
        if manner == 'refuse' or self.waiting >= self.queue:
            self.refused += 1
            writer.write(
                whole(503, Attempt_Id=request_id, Not_Executed='1', Instance_Load=self._load)
            )
            return True
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self._run(call, request_id, manner, reader, writer)
        finally:
            self.running -= 1
            self._free.release()
            for run in self.runs[-200:]:
                if run['id'] == request_id and run['port'] == id(writer):
                    run['ended'] = time.monotonic()

    async def _run(
        self,
        call: Call,
        request_id: str,
        manner: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        run = {
            'id': request_id,
            'target': call.target,
            'headers': call.headers,
            'body': len(call.body),
            'at': time.monotonic(),
            'done': False,
            'ended': time.monotonic(),
            'port': id(writer),
        }
        self.runs.append(run)
        seal = f'{self.server_id}.{len(self.runs)}'
        if 'token-usage' not in call.headers:
            await asyncio.sleep(self.work_ms / 1e3)
            writer.write(whole(200, b'answer', Attempt_Id=request_id, Response_Seal=seal))
            run['done'] = True
            return True
        await asyncio.sleep(self.first_ms / 1e3)
        if manner == 'reset':
            reset(writer)
            return False
        if manner == 'fail':
            writer.write(whole(500, b'failed', Attempt_Id=request_id, Response_Seal=seal))
            run['done'] = True
            return True
        head = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nResponse-Seal: {seal}\r\n'
            f'Weight-Versions: 1\r\nInstance-Load: {self._load}\r\n'
            'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        for number in range(int(call.headers.get('last-event-id', '0')) + 1, self.events + 1):
            if reader.at_eof() or writer.is_closing():
                return False
            text = event_text(request_id, number, self.event_bytes)
            data = f'id: {number}\ndata: {text}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.event_ms / 1e3)
        writer.write(b'0\r\n\r\n')
        run['done'] = True
        return True
