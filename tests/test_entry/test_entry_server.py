"""Socket options of callers' connections."""

from __future__ import annotations

import socket

from citrondyke.entry.server import prepare_connection


def test_tokens_are_sent_without_delay() -> None:
    # Without TCP_NODELAY, small writes wait in the kernel for the caller's delayed
    # acknowledgement, and streams arrive in bursts every 40 ms.
    with socket.socket() as sock:
        prepare_connection(sock)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert sock.gettimeout()
