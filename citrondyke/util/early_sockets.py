"""Sockets that listen before the program is imported."""

from __future__ import annotations

# The extension module: importing ``socket`` around it takes longer than everything else here.
from _socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('BACKLOG', 'EarlySockets')

#: Maximum number of connections that wait to be accepted. Beyond it the kernel drops the first
#: packet of a connection, which the client sends again after a second.
BACKLOG = 1_024


class EarlySockets:
    """Listens at once and passes on the sockets with their pending connections.

    The kernel refuses connections only while no socket listens. The exit of the process closes
    sockets that were not passed on.
    """

    def __init__(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Listen on the addresses that are free.

        An address that a previous process still uses is skipped and can be bound later.
        """
        self._by_address: dict[tuple[str, int], socket] = {}
        for address in addresses:
            sock = socket(AF_INET, SOCK_STREAM)
            try:
                sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
                sock.bind(address)
                sock.listen(BACKLOG)
            except OSError:
                sock.close()
            else:
                self._by_address[address] = sock

    def take(self, ip: str, port: int) -> int | None:
        """Pass on the descriptor of a listening socket; ``None`` if there is none."""
        sock = self._by_address.pop((ip, port), None)
        return None if sock is None else sock.detach()

    def close(self) -> None:
        """Close the sockets that were not taken, with their pending connections."""
        while self._by_address:
            self._by_address.popitem()[1].close()
