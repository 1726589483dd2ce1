"""The failure ``unreadable_bytes``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnreadableBytesError',)


class UnreadableBytesError(CitrondykeError, ValueError):
    """Bytes of a row, a message or a body are not what they should be."""

    code = 'unreadable_bytes'
    http_status = 400

    def __init__(self, detail: str) -> None:
        """Say what is wrong with them."""
        super().__init__(detail[:DETAIL_CHARACTERS])


#: Of the detail, which may quote a key of any length.
DETAIL_CHARACTERS = 200
