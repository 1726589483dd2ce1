"""One request of a caller."""

from __future__ import annotations

import msgspec

__all__ = ('CallerRequest',)


class CallerRequest(msgspec.Struct, frozen=True):
    """One request, read whole."""

    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: Names in lower case.
    headers: list[tuple[bytes, bytes]]
    body: bytes
    #: When its head began to arrive.
    arrived_ms: float

    def header(self, name: bytes) -> bytes | None:
        """Find a header by its lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def host(self) -> str:
        """Give the host without a port."""
        return (self.header(b'host') or b'').decode('latin-1').partition(':')[0].lower()

    @property
    def path(self) -> str:
        """Give the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')
