"""Reads the requests of a caller's connection, within limits on size and time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from citrondyke.errors.bad_request_head import BadRequestHeadError
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.errors.memory_full import MemoryFullError
from citrondyke.gateway.callers.caller_request import CallerRequest
from citrondyke.gateway.callers.strict_head import check_head
from citrondyke.util.own_timeout import is_own_timeout
from citrondyke.util.time_slice import TimeSlice

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket

    from citrondyke.decisions.forwarding.route import RouteLimits
    from citrondyke.decisions.memory.byte_budget import HeldBytes
    from citrondyke.util.clock import Clock

__all__ = ('READ_BYTES', 'RequestReader')

READ_BYTES = 65_536
HEAD_END = b'\r\n\r\n'


class RequestReader:
    """Reading side of a connection; bytes beyond a request are kept for the next one."""

    def __init__(
        self,
        clock: Clock,
        sock: socket.socket,
        limits: Callable[[], RouteLimits],
        write: Callable[[bytes], None],
        held: HeldBytes,
    ) -> None:
        """Use an accepted socket.

        :param limits: returns the limits on a request's size and time.
        :param write: sends an interim response (100 Continue).
        :param held: the current request's body in the instance's memory budget.
        """
        self._clock = clock
        self._sock = sock
        self._limits = limits
        self._slice = TimeSlice(clock)
        self._write = write
        self._held = held
        #: HTTP state of the current request and response.
        self.http = h11.Connection(h11.SERVER)
        #: Bytes that were read after the request.
        self.pipelined = b''
        #: Whether no part of a request was read, so that the connection may be closed.
        self.is_idle = True

    def read(self) -> CallerRequest | None:
        """Read the next request; ``None`` when the caller closed or was idle for too long.

        :raises BadRequestHeadError: if it is malformed, too large or too slow.
        :raises MemoryFullError: if the instance has no free memory for its body.
        """
        self.is_idle = True
        limits = self._limits()
        head = self._read_raw_head(limits)
        if head is None:
            return None
        arrived_ms = self._clock.now_ms()
        check_head(head)
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes + 1)
        self.http.receive_data(head)
        try:
            request = self.http.next_event()
            if not isinstance(request, h11.Request):
                raise BadRequestHeadError('no request line')
            body = self._read_body(limits)
        except h11.RemoteProtocolError as error:
            raise BadRequestHeadError(str(error)) from error
        headers = [(bytes(name), bytes(value)) for name, value in request.headers]
        made = CallerRequest(
            bytes(request.method), bytes(request.target), headers, body or b'', arrived_ms
        )
        if body is None:
            raise MemoryFullError(made)
        self.pipelined = self.http.trailing_data[0]
        return made

    def _read_raw_head(self, limits: RouteLimits) -> bytes | None:
        data = self.pipelined
        self.pipelined = b''
        until_ms = self._clock.now_ms() + limits.idle_within_ms
        while True:
            if self.is_idle and data.lstrip(b'\r\n'):
                self.is_idle = False
                until_ms = self._clock.now_ms() + limits.head_within_ms
            data = data.lstrip(b'\r\n') if self.is_idle or data[:1] in b'\r\n' else data
            end = data.find(HEAD_END)
            if end >= 0:
                end += len(HEAD_END)
                if end > limits.head_bytes:
                    raise BadRequestHeadError('head too large', 431)
                self.pipelined = data[end:]
                return data[:end]
            if len(data) > limits.head_bytes:
                raise BadRequestHeadError('head too large', 431)
            if b'\n\n' in data:
                raise BadRequestHeadError('line ends without a carriage return')
            more = self._receive(until_ms)
            if more is None:
                if self.is_idle:
                    return None
                raise BadRequestHeadError('head too slow', 408)
            if not more:
                return None
            data += more

    def _read_body(self, limits: RouteLimits) -> bytes | None:
        """Read a whole body; ``None`` if the instance has no free memory for it."""
        self.http.receive_data(self.pipelined) if self.pipelined else None
        self.pipelined = b''
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[], reason=b'Continue')
            self._write(self.http.send(go_on) or b'')
        parts: list[bytes] = []
        size = 0
        until_ms = self._clock.now_ms() + limits.idle_within_ms
        while True:
            # A body may come in many tiny chunks at once.
            self._slice.pause_if_over()
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                more = self._receive(until_ms)
                if more is None:
                    raise BadRequestHeadError('body too slow', 408)
                if not more:
                    raise CallerGoneError
                self.http.receive_data(more)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if not self._held.try_acquire(len(event.data)):
                    return None
                if size > limits.body_bytes:
                    raise BadRequestHeadError('body too large', 413)
            elif isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            else:
                raise CallerGoneError

    def _receive(self, until_ms: float) -> bytes | None:
        self._slice.pause_if_over()
        asked_ms = self._clock.now_ms()
        if until_ms <= asked_ms:
            return None
        try:
            self._sock.settimeout((until_ms - asked_ms) / 1e3)
            data: bytes = self._sock.recv(READ_BYTES)
        except TimeoutError as error:
            return None if is_own_timeout(error) else b''
        except OSError:
            return b''
        self._slice.record_read(asked_ms, self._clock.now_ms())
        return data
