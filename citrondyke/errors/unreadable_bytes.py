"""The ``unreadable_bytes`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnreadableBytesError',)


class UnreadableBytesError(CitrondykeError, ValueError):
    """Bytes of a row, a message or a body cannot be decoded."""

    code = 'unreadable_bytes'
    http_status = 400

    def __init__(self, detail: str) -> None:
        """Initialize the error.

        :param detail: what is wrong; cut to ``DETAIL_CHARACTERS``.
        """
        super().__init__(detail[:DETAIL_CHARACTERS])


#: Limits the length of the detail, which may quote a key of any length.
DETAIL_CHARACTERS = 200
