"""Addresses to listen on as the deploy file puts them into the environment."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ('LISTEN_VARIABLE', 'early_addresses')

#: ``IP:PORT`` of the callers' and the health address, with a space between.
LISTEN_VARIABLE = 'CITRONDYKE_LISTEN'


def early_addresses(environment: Mapping[str, str]) -> list[tuple[str, int]]:
    """Give the addresses; none where they are not stated or not readable.

    The settings file has them too and stays the authority, but takes longer to be read.
    """
    found = []
    for word in environment.get(LISTEN_VARIABLE, '').split():
        ip, _, port = word.rpartition(':')
        if not ip or not port.isdecimal() or int(port) > 65_535:  # noqa: PLR2004
            return []
        found.append((ip, int(port)))
    return found
