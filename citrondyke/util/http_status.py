"""Statuses that an HTTP response may have (RFC 9110, section 15)."""

from __future__ import annotations

__all__ = ('FIRST_NOT_SUCCESSFUL', 'is_final', 'is_interim', 'is_successful')

FIRST_STATUS = 100
LAST_INFORMATIONAL = 199
LAST_STATUS = 599
#: Statuses from here on are redirects and errors.
FIRST_NOT_SUCCESSFUL = 300


def is_interim(status: int) -> bool:
    """Return whether the final response follows."""
    return FIRST_STATUS <= status <= LAST_INFORMATIONAL


def is_final(status: int) -> bool:
    """Return whether a status ends a request; what is neither this nor interim is no status."""
    return LAST_INFORMATIONAL < status <= LAST_STATUS


def is_successful(status: int) -> bool:
    """Return whether a final status states success."""
    return status < FIRST_NOT_SUCCESSFUL
