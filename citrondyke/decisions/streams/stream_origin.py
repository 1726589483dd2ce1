"""The service and software version whose servers may continue a stream."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from citrondyke.ids import RequestId, ServiceName, SoftwareVersion
from citrondyke.util.hashing import content_hash

__all__ = (
    'OriginUnknownReason',
    'OriginView',
    'StreamOrigin',
    'UnknownOrigin',
    'infer_origin',
    'stream_key',
)


class StreamOrigin(msgspec.Struct, frozen=True):
    """Service and software version of the server that began a stream.

    What servers of two versions write does not fit together, and they do not check it: a stream
    that goes on at another version is a text that no server would have written.
    """

    service: ServiceName
    #: Empty if it is not known; then no server may continue the stream.
    version: SoftwareVersion


class OriginView(msgspec.Struct, frozen=True):
    """The origins that a stream can have, as far as one instance knows."""

    origins: frozenset[StreamOrigin]
    #: Whether it includes every origin of the time in which such a stream can have begun.
    is_complete: bool


class OriginUnknownReason(Enum):
    """Why the origin of a stream could not be determined."""

    #: Several versions served when it can have begun, and no instance has a record of it.
    SEVERAL = 'several_versions'
    #: No instance has followed the server list for long enough.
    NOT_COVERED = 'not_covered'
    #: The server list came from an instance of an earlier version, which leaves versions out.
    NOT_STATED = 'not_stated'
    #: The server list may lack the newest version, and too few peers answered.
    NOT_CONFIRMED = 'not_confirmed'


class UnknownOrigin(msgspec.Struct, frozen=True):
    """Result for a stream whose origin could not be determined."""

    reason: OriginUnknownReason

    def __bool__(self) -> bool:
        """Return ``False``, so that the result is falsy."""
        return False


def stream_key(request_id: RequestId) -> int:
    """Return the 63-bit key of the stream that a request began."""
    return content_hash(request_id.encode()) >> 1


def infer_origin(
    views: Iterable[OriginView], *, is_confirmed: bool
) -> StreamOrigin | UnknownOrigin:
    """Determine the origin of a stream of which no instance has a record.

    Streams are recorded only where several origins are possible, so most have no record. An
    instance whose server list lags does not know the newest version, so the views of all instances
    that answered are combined.

    :param is_confirmed: whether the views include that of an instance whose list is newer than the
        end of the stream.
    """
    views = list(views)
    origins = frozenset[StreamOrigin]().union(*(view.origins for view in views))
    if len(origins) > 1:
        return UnknownOrigin(OriginUnknownReason.SEVERAL)
    if not origins or not any(view.is_complete for view in views):
        return UnknownOrigin(OriginUnknownReason.NOT_COVERED)
    if not is_confirmed:
        return UnknownOrigin(OriginUnknownReason.NOT_CONFIRMED)
    (origin,) = origins
    return origin if origin.version else UnknownOrigin(OriginUnknownReason.NOT_STATED)
