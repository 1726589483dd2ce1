"""Streams that callers begin and take up again."""

from __future__ import annotations

import re
from contextlib import ExitStack

import h11
import msgspec
from gevent import socket

from citrondyke.platform.dialect import ATTEMPT_HEADER
from citrondyke.standin.platform_server import event_text
from tests.support.gateway import HOST, GatewayFleet, Reply

__all__ = ('BegunStream', 'StreamPart', 'events_of', 'is_one_text', 'versions_of')

LAST_CHUNK = b'0\r\n\r\n'
EVENT = re.compile(rb'id: (\d+)\ndata: ([^\n]*)\n\n')


class StreamPart(msgspec.Struct, frozen=True):
    """One event as a caller got it."""

    id: int
    text: str


def events_of(data: bytes) -> list[StreamPart]:
    """Find the whole events in what a caller received."""
    return [StreamPart(int(number), text.decode()) for number, text in EVENT.findall(data)]


def versions_of(events: list[StreamPart]) -> set[str]:
    """Give the versions of the servers that wrote the events."""
    return {event.text.split()[2] for event in events}


def is_one_text(events: list[StreamPart]) -> bool:
    """Tell whether servers of one version wrote the events, from the first one on."""
    version = events[0].text.partition(' ')[2].partition(' ')[2] if events else ''
    return all(
        event == StreamPart(number, event_text(number, version))
        for number, event in enumerate(events, 1)
    )


class BegunStream:
    """A stream whose caller has its first events and keeps its connection open."""

    def __init__(self, fleet: GatewayFleet, request_id: str, at: int = 0) -> None:
        """Ask for the stream and read its first two events."""
        self._fleet = fleet
        self._stack = ExitStack()
        self.request_id = request_id
        self._sock: socket.socket = self._stack.enter_context(fleet.connection(at))
        http = h11.Connection(h11.CLIENT)
        head = [('Host', HOST), (ATTEMPT_HEADER.decode(), request_id), ('Content-Length', '0')]
        request = h11.Request(method='POST', target='/stream/x', headers=head)
        self._sock.sendall(http.send(request) or b'')
        self._data = b''
        #: Whether the connection was reset before the end of the response.
        self.is_broken_off = False
        while len(self.events) < 2:
            received = self._sock.recv(65_536)
            assert received, self._data
            self._data += received

    @property
    def events(self) -> list[StreamPart]:
        """The events that the caller has."""
        return events_of(self._data)

    @property
    def version(self) -> str:
        """The version that began it."""
        (version,) = versions_of(self.events)
        return version

    def read_rest(self) -> None:
        """Read until the response or its connection ends."""
        try:
            while not self._data.endswith(LAST_CHUNK) and (received := self._sock.recv(65_536)):
                self._data += received
        except ConnectionResetError:
            self.is_broken_off = True

    def close(self) -> None:
        """Close its connection."""
        self._stack.close()

    def take_up(self, at: int, attempt: int = 2, **headers: str) -> Reply:
        """Close the connection, and ask another instance for the rest."""
        self.close()
        return self._fleet.call(
            '/stream/x',
            b'',
            at=at,
            request_id=f'{self.request_id}-{attempt}',
            last_event_id=str(self.events[-1].id),
            **{'resumes': self.request_id, **headers},
        )

    def joined_with(self, reply: Reply) -> list[StreamPart]:
        """Give all that the caller has after it took the stream up."""
        return self.events + events_of(reply.body)
