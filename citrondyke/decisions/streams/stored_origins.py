"""What the store tells about the origins of streams, as of one read."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from citrondyke.decisions.streams.stream_origin import OriginView, StreamOrigin
from citrondyke.decisions.streams.version_split import VersionSplit, possible_versions
from citrondyke.ids import ServiceName, SoftwareVersion

__all__ = ('StoredExceptions', 'StoredOrigins', 'StoredVersions')


class StoredVersions(msgspec.Struct, frozen=True):
    """Versions of a service whose streams may still be resumed."""

    versions: frozenset[SoftwareVersion]
    #: Splits of new streams, the one in force last.
    splits: tuple[VersionSplit, ...]


class StoredExceptions(msgspec.Struct, frozen=True):
    """Streams of all instances that did not begin at the version of the split."""

    #: By the key of the stream; ``None`` if two entries contradict each other.
    by_key: Mapping[int, StreamOrigin | None]
    #: Origins of those that may still be resumed.
    live: frozenset[StreamOrigin]
    #: Whether all rows could be decoded.
    is_whole: bool


class StoredOrigins(msgspec.Struct, frozen=True):
    """Versions, splits and exceptions of the services of one route."""

    by_service: Mapping[ServiceName, StoredVersions]
    exceptions: StoredExceptions
    #: The store's time; ``None`` if it is not known.
    now_store_ms: float | None
    #: How long a replaced split matters.
    life_ms: float

    @property
    def view(self) -> OriginView | None:
        """Return the origins that streams can have; ``None`` if that is not stored for all."""
        if not self.exceptions.is_whole:
            return None
        if not all(stored.versions for stored in self.by_service.values()):
            return None
        stored_origins = {
            StreamOrigin(service, version)
            for service, stored in self.by_service.items()
            for version in stored.versions
        }
        exceptions = {each for each in self.exceptions.live if each.service in self.by_service}
        return OriginView(frozenset(stored_origins | exceptions), is_complete=True)

    def find(self, key: int) -> StreamOrigin | None:
        """Return which version began a stream; ``None`` if that is not certain."""
        if key in self.exceptions.by_key:
            return self.exceptions.by_key[key]
        if not self.exceptions.is_whole:
            return None
        origins = {
            None if version is None else StreamOrigin(service, version)
            for service, stored in self.by_service.items()
            for version in self._possible_versions(stored, key)
        }
        return origins.pop() if len(origins) == 1 else None

    def replaced_ms_ago(self, split: VersionSplit) -> float | None:
        """Return how long ago a split was replaced; ``None`` if it is in force."""
        if split.until_store_ms is None or self.now_store_ms is None:
            return None
        return round(self.now_store_ms - split.until_store_ms, 1)

    def _possible_versions(
        self, stored: StoredVersions, key: int
    ) -> frozenset[SoftwareVersion | None]:
        if not stored.splits:
            return frozenset({None})
        return possible_versions(stored.splits, key, self.now_store_ms, self.life_ms)
