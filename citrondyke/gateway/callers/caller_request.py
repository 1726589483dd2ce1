"""HTTP request of a caller."""

from __future__ import annotations

import msgspec

__all__ = ('CallerRequest',)


class CallerRequest(msgspec.Struct, frozen=True):
    """HTTP request that was read whole."""

    method: bytes
    #: Path and query, as received.
    target: bytes
    #: Names in lower case.
    headers: list[tuple[bytes, bytes]]
    body: bytes
    #: When its head had arrived.
    arrived_ms: float

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, given its lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def host(self) -> str:
        """Host without a port."""
        return (self.header(b'host') or b'').decode('latin-1').partition(':')[0].lower()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')
