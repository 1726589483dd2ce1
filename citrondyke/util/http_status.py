"""Statuses that an HTTP response may have (RFC 9110, section 15)."""

from __future__ import annotations

__all__ = ('is_final', 'is_interim')

FIRST_STATUS = 100
LAST_INFORMATIONAL = 199
LAST_STATUS = 599


def is_interim(status: int) -> bool:
    """Return whether the final response follows."""
    return FIRST_STATUS <= status <= LAST_INFORMATIONAL


def is_final(status: int) -> bool:
    """Return whether a status ends a request; what is neither this nor interim is no status."""
    return LAST_INFORMATIONAL < status <= LAST_STATUS
