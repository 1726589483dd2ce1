"""One connection of a caller: requests read, answers written whole or piece by piece."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import h11
from gevent.socket import wait_read

from citrondyke.decisions.memory.byte_budget import HeldKind
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.gateway.callers.request_reader import READ_BYTES, RequestReader
from citrondyke.gateway.sockets import reset

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from gevent import socket

    from citrondyke.decisions.forwarding.route import RouteLimits
    from citrondyke.decisions.memory.byte_budget import ByteBudget
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.http_head import Header, Headers
    from citrondyke.util.clock import Clock

__all__ = ('CallerConnection',)

#: A caller that does not read its answer is given up after so long without progress.
WRITE_STALL_S = 10.0
#: Bytes that a caller may send while it waits for an answer.
PIPELINED_LIMIT_BYTES = 65_536


class CallerConnection:
    """Reads requests and writes their answers, one at a time."""

    def __init__(
        self,
        clock: Clock,
        sock: socket.socket,
        limits: Callable[[], RouteLimits],
        budget: ByteBudget,
    ) -> None:
        """Use an accepted socket."""
        self._sock = sock
        self._held = budget.open(HeldKind.REQUEST)
        self._reader = RequestReader(clock, sock, limits, self._write, self._held)
        self._disconnect_watcher: gevent.Greenlet | None = None
        self._closes_after_answer = False
        self._is_closed = False
        #: The head of a stream that no piece has followed yet.
        self._unsent_head = b''
        self._is_chunked = False
        self._has_body = True

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing of a request was read: it may end at any time then."""
        return self._reader.is_idle

    def read_request(self) -> CallerRequest | None:
        """Read the next request; ``None`` when the caller closed or was idle for too long.

        :raises BadRequestHeadError: when it is improper, too large or too slow.
        :raises MemoryFullError: when the instance has no room for its body.
        """
        request = self._reader.read()
        if request is not None:
            self._has_body = request.method != b'HEAD'
        return request

    @property
    def _http(self) -> h11.Connection:
        return self._reader.http

    def watch(self) -> None:
        """End the current greenlet's work by ``CallerGoneError`` when the caller closes."""
        self._disconnect_watcher = gevent.spawn(self._watch_disconnect, gevent.getcurrent())

    def stop_watching_disconnect(self) -> None:
        """Look for the caller's close no more."""
        if self._disconnect_watcher is not None:
            self._disconnect_watcher.kill()
            self._disconnect_watcher = None

    def close_after_answer(self) -> None:
        """Say in the next answer that the connection closes."""
        self._closes_after_answer = True

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer.

        :raises CallerGoneError: when the caller does not take it.
        """
        framing: Headers = [(b'Content-Length', str(len(body)).encode())]
        head = self._head(status, headers + framing)
        data = self._http.send(h11.Data(data=body)) if body else b''
        self._write(head + (data or b'') + (self._http.send(h11.EndOfMessage()) or b''))

    def reject_unread(self, status: int, headers: Sequence[Header] = ()) -> None:
        """Answer a request that was not read whole; the connection cannot be used afterwards."""
        phrase = HTTPStatus(status).phrase.encode()
        lines = b''.join(b'%b: %b\r\n' % header for header in headers)
        self._write(
            b'HTTP/1.1 %d %b\r\n%bContent-Length: 0\r\nConnection: close\r\n\r\n'
            % (status, phrase, lines)
        )

    def release_request(self) -> None:
        """Let the body of the last request go."""
        self._held.release()

    def start_stream(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length is not known; its head goes out with the first piece."""
        self._unsent_head = self._head(status, [*headers, (b'Transfer-Encoding', b'chunked')])
        # An older protocol has no pieces, and an answer to HEAD no body.
        self._is_chunked = self._has_body and b'\r\ntransfer-encoding: chunked\r\n' in (
            self._unsent_head.lower()
        )

    def send_chunk(self, data: bytes) -> None:
        """Send a piece of a stream.

        :raises CallerGoneError: when the caller does not take it.
        """
        if self._is_chunked and data:
            # Framed here: the library checks its whole state anew for each piece.
            framed = b'%x\r\n%b\r\n' % (len(data), data)
        else:
            framed = self._http.send(h11.Data(data=data)) or b''
        self._write(self._take_unsent_head() + framed)

    def end_stream(self) -> None:
        """End a stream as complete."""
        self._write(self._take_unsent_head() + (self._http.send(h11.EndOfMessage()) or b''))

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may follow on this connection."""
        return (
            not self._is_closed
            and not self._closes_after_answer
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )

    def abort(self) -> None:
        """End the connection in a way that no answer on it can look complete."""
        self.stop_watching_disconnect()
        self._is_closed = True
        reset(self._sock)

    def close(self) -> None:
        """End the connection after its last answer.

        Unread bytes would turn the close into a reset, which can overtake the answer; so the
        writing side ends first and what still comes is read for a moment.
        """
        self.stop_watching_disconnect()
        if self._is_closed:
            return
        self._is_closed = True
        try:
            self._sock.shutdown(1)
            self._sock.settimeout(0.2)
            while self._sock.recv(READ_BYTES):
                pass
        except OSError:
            # The caller closed first or is silent; either way it has what there was.
            pass
        self._sock.close()

    def close_idle_connection(self) -> None:
        """Close without waiting, for an idle connection."""
        self._is_closed = True
        self._sock.close()

    def _take_unsent_head(self) -> bytes:
        unsent, self._unsent_head = self._unsent_head, b''
        return unsent

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._closes_after_answer:
            headers = [*headers, (b'Connection', b'close')]
        try:
            reason = HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b'Status'
        data = self._http.send(h11.Response(status_code=status, headers=headers, reason=reason))
        return data or b''

    def _watch_disconnect(self, worker: gevent.Greenlet) -> None:
        """Wait for the caller's close while its request is worked on.

        Without it a server works on for a caller who left, and others wait for its place.
        """
        while len(self._reader.pipelined) < PIPELINED_LIMIT_BYTES:
            try:
                wait_read(self._sock.fileno())
                data = self._sock.recv(READ_BYTES)
            except (BlockingIOError, TimeoutError):
                continue
            except OSError:
                data = b''
            if not data:
                worker.kill(CallerGoneError, block=False)
                return
            self._reader.pipelined += data

    def _write(self, data: bytes) -> None:
        if not data:
            return
        try:
            self._sock.settimeout(WRITE_STALL_S)
            self._sock.sendall(data)
        except OSError as error:
            raise CallerGoneError from error
