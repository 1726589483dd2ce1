"""A small HTTP/1.1 server and client for the stand-ins, from the standard library only."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

__all__ = ('Answer', 'Call', 'Handler', 'call', 'listen', 'reset', 'whole')

LINE_LIMIT = 64 * 1024 * 1024
#: Channels that are served.
TASKS: set[asyncio.Task[None]] = set()


class Call:
    """One request that a stand-in has read whole."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes, port: int
    ) -> None:
        """Store its parts; names of headers are in lower case."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        #: Port of the stand-in at which it came in.
        self.port = port


class Answer:
    """One answer that a client has read whole."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Store its parts; names of headers are in lower case."""
        self.status = status
        self.headers = headers
        self.body = body


#: Answers a call; the result tells whether the channel may be kept.
Handler = Callable[[Call, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


async def _head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = raw.split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(data[:-2])


async def listen(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve calls at an address; port 0 takes a free one."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            own_port = writer.get_extra_info('sockname')[1]
            while True:
                line, headers = await _head(reader)
                method, target, _ = line.split(' ', 2)
                if headers.get('transfer-encoding', '').lower() == 'chunked':
                    body = await _chunks(reader)
                else:
                    body = await reader.readexactly(int(headers.get('content-length', '0')))
                if not await handler(Call(method, target, headers, body, own_port), reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A task that is cancelled before it begins would be reported as an error.
        task = asyncio.create_task(serve(reader, writer))
        TASKS.add(task)
        task.add_done_callback(TASKS.discard)

    return await asyncio.start_server(guarded, ip, port, limit=LINE_LIMIT, backlog=512)


def whole(status: int, body: bytes = b'', **headers: str) -> bytes:
    """Return the bytes of a whole answer; underscores in names of headers become hyphens."""
    lines = [f'HTTP/1.1 {status} S', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer | None:
    """Make one call on a new channel; ``None`` without a whole answer in time."""
    try:
        return await asyncio.wait_for(_call(address, method, target, headers, body), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None


async def _call(
    address: tuple[str, int], method: str, target: str, headers: dict[str, str], body: bytes
) -> Answer:
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(*address, limit=LINE_LIMIT), 1.0
    )
    try:
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body)
        line, found = await _head(reader)
        status = int(line.split(' ')[1])
        if found.get('transfer-encoding', '').lower() == 'chunked':
            content = await _chunks(reader)
        else:
            content = await reader.readexactly(int(found.get('content-length', '0')))
        return Answer(status, found, content)
    finally:
        writer.close()
