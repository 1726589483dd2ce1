"""A proxy on loopback that harms the connections that go through it."""

from __future__ import annotations

from enum import Enum

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from citrondyke.gateway.sockets import reset

__all__ = ('FaultProxy', 'Harm')

READ_BYTES = 65_536


class Harm(Enum):
    """What the proxy does to bytes."""

    NONE = 'none'
    #: They come later.
    DELAY = 'delay'
    #: Neither way; nothing says so to anybody.
    SILENCE = 'silence'
    #: What is sent arrives, what is answered does not.
    ONE_WAY = 'one_way'


class FaultProxy:
    """Stands before one listener."""

    def __init__(self, ip: str, port: int) -> None:
        """Begin to listen, without harm.

        :param ip: of the listener behind it.
        """
        self._behind = (ip, port)
        self.harm = Harm.NONE
        self.delay_s = 0.05
        self._healed = Event()
        self._open: set[socket.socket] = set()
        self._server = StreamServer(('127.0.0.1', 0), self._on_connection)
        self._server.start()
        self.port: int = self._server.server_port

    def set_harm(self, harm: Harm) -> None:
        """Change what happens to bytes from now on; held ones go on once it is over."""
        self.harm = harm
        self._healed.set()
        self._healed.clear()

    def reset_all(self) -> None:
        """Reset the open connections; new ones work."""
        for sock in list(self._open):
            reset(sock)

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop(timeout=0)
        self.reset_all()

    def _on_connection(self, near: socket.socket, _: object) -> None:
        try:
            far = socket.create_connection(self._behind, timeout=5.0)
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        self._open |= {near, far}
        ways = [
            gevent.spawn(self._carry, near, far, is_answer=False),
            gevent.spawn(self._carry, far, near, is_answer=True),
        ]
        gevent.joinall(ways, count=1)
        gevent.killall(ways)
        self._open -= {near, far}
        for sock in (near, far):
            sock.close()

    def _carry(self, source: socket.socket, target: socket.socket, *, is_answer: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                while self.harm is Harm.SILENCE or (self.harm is Harm.ONE_WAY and is_answer):
                    self._healed.wait()
                if self.harm is Harm.DELAY:
                    gevent.sleep(self.delay_s)
                target.sendall(data)
        except OSError:
            # Reset by either end; an orderly close would say more to the other end.
            reset(source)
            reset(target)
