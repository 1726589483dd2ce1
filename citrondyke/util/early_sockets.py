"""Sockets that listen before the program's parts are imported."""

from __future__ import annotations

# The extension itself: the module ``socket`` around it takes longer to import than all else here.
from _socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('BACKLOG', 'EarlySockets')

#: New connections that wait to be accepted; beyond it their first packet is dropped and comes
#: again after a second.
BACKLOG = 1_024


class EarlySockets:
    """Listens at once, and hands the sockets on with the connections that wait in them.

    The system turns a caller away only while nobody listens; the end of the process closes what
    was not handed on.
    """

    def __init__(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Listen on the addresses that are free.

        One that is not, as a predecessor still has it, is left to whoever binds it later.
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
        """Hand on the descriptor of a socket that listens; ``None`` where there is none."""
        sock = self._by_address.pop((ip, port), None)
        return None if sock is None else sock.detach()

    def close(self) -> None:
        """Turn away who waits at the addresses that nobody took."""
        while self._by_address:
            self._by_address.popitem()[1].close()
