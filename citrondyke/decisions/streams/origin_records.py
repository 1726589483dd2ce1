"""Records of the origins of streams, kept for as long as the streams may be resumed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.ids import ServiceName, SoftwareVersion

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('OriginRecord', 'OriginRecords', 'StreamKey')

#: Records of one instance, some 200 bytes each.
RECORDS_LIMIT = 20_000
#: Longest life of a record, whatever a peer states.
LIFE_LIMIT_MS = 120_000.0
#: Key of a stream; message decoders can't bound larger integers.
StreamKey = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class OriginRecord(msgspec.Struct, frozen=True, array_like=True):
    """Origin of one stream, for a peer."""

    key: StreamKey
    service: Name
    version: Name
    left_ms: Annotated[float, msgspec.Meta(ge=0)]

    @property
    def origin(self) -> StreamOrigin:
        """Return the origin."""
        return StreamOrigin(ServiceName(self.service), SoftwareVersion(self.version))


class _Kept(msgspec.Struct):
    #: ``None`` if there are contradicting records.
    origin: StreamOrigin | None
    until_ms: float


class OriginRecords:
    """Bounded records by the key of the stream; the oldest are dropped first."""

    def __init__(self, context: Context) -> None:
        """Start empty."""
        self._context = context
        self._kept: dict[int, _Kept] = {}

    def add(self, key: int, origin: StreamOrigin, left_ms: float) -> None:
        """Record the origin of a stream, or extend its record."""
        now_ms = self._context.now_ms()
        until_ms = now_ms + min(left_ms, LIFE_LIMIT_MS)
        known = self._kept.pop(key, None)
        kept = _Kept(origin, until_ms)
        if known is not None and known.until_ms > now_ms:
            kept.until_ms = max(until_ms, known.until_ms)
            if known.origin != origin:
                kept.origin = None
        self._kept[key] = kept
        self._drop_oldest(now_ms)

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream; ``None`` if it is not known."""
        kept = self._kept.get(key)
        if kept is None or kept.until_ms <= self._context.now_ms():
            return None
        return kept.origin

    def left_ms(self, key: int) -> float:
        """Return for how long a record is still kept; 0 without one."""
        kept = self._kept.get(key)
        return 0.0 if kept is None else max(0.0, kept.until_ms - self._context.now_ms())

    def _drop_oldest(self, now_ms: float) -> None:
        while self._kept:
            key, kept = next(iter(self._kept.items()))
            if kept.until_ms > now_ms and len(self._kept) <= RECORDS_LIMIT:
                return
            del self._kept[key]
