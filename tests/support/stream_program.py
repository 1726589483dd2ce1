"""A process that begins a response to its parent, the caller, and never ends it."""

from __future__ import annotations

import sys

import gevent
from gevent import socket

from citrondyke.decisions.forwarding.route import RouteLimits
from citrondyke.decisions.memory.byte_budget import ByteBudget
from citrondyke.gateway.callers.caller_connection import CallerConnection
from citrondyke.gateway.sockets import tune
from citrondyke.util.clock import SystemClock

HANGS_S = 60.0


def main(port: int, *, is_framed: bool) -> None:
    """Connect to the caller, which then sends its request, and begin a response."""
    sock = socket.create_connection(('127.0.0.1', port))
    tune(sock)
    connection = CallerConnection(SystemClock(), sock, RouteLimits, ByteBudget(1e6))
    connection.read_request()
    connection.start_stream(200, [], is_framed=is_framed)
    connection.send_chunk(b'id: 1\n\n')
    gevent.sleep(HANGS_S)


if __name__ == '__main__':
    main(int(sys.argv[1]), is_framed=sys.argv[2] == 'framed')
