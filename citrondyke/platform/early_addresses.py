"""Addresses to listen on, from an environment variable that the deploy file sets."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ('LISTEN_VARIABLE', 'early_addresses')

#: ``IP:PORT`` for callers and for health checks, separated by a space.
LISTEN_VARIABLE = 'CITRONDYKE_LISTEN'
MAX_PORT = 65_535
PORT_DIGITS = 5


def early_addresses(environment: Mapping[str, str]) -> list[tuple[str, int]]:
    """Return the addresses; empty when the variable is missing or invalid.

    The settings file remains authoritative. It has the same addresses, but reading it takes
    longer, and until then callers would be refused.
    """
    addresses = []
    for entry in environment.get(LISTEN_VARIABLE, '').split():
        ip, _, port = entry.rpartition(':')
        is_port = port.isascii() and port.isdecimal() and len(port) <= PORT_DIGITS
        if not ip or not is_port or int(port) > MAX_PORT:
            return []
        addresses.append((ip, int(port)))
    return addresses
