"""How the server sets its connections up."""

from __future__ import annotations

import socket

from citrondyke.entry.server import prepare_connection


def test_tokens_are_not_held_back() -> None:
    # Callers saw streams in jerks of 40 ms: small writes waited in the kernel for the caller's
    # delayed acknowledgement. With the option set each token leaves at once.
    with socket.socket() as sock:
        prepare_connection(sock)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert sock.gettimeout()
