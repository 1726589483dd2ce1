"""A backend server as the server list describes it."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.ids import (
    AvailabilityZone,
    ServerId,
    ServerIncarnation,
    ServiceName,
    SoftwareVersion,
)

__all__ = ('ServerListEntry',)


class ServerListEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of one backend server."""

    #: A restarted server may keep it.
    id: ServerId
    service: ServiceName
    ip: str
    port: int
    zone: AvailabilityZone
    #: Requests that the server runs at once.
    slots_count: int
    is_leaving: bool = False
    #: Start of this incarnation by the server's clock; ``None`` if not stated.
    born_epoch_ms: int | None = None
    #: Counts the writes of this incarnation to its entry; restarts with each incarnation.
    seq: int = 0
    #: ``None`` in entries from instances of an earlier version, which leave it out.
    software_version: SoftwareVersion | None = None

    @property
    def stated_incarnation(self) -> ServerIncarnation:
        """Return the fleet-wide name of this incarnation; the id alone without a start time."""
        born = '' if self.born_epoch_ms is None else f'@{self.born_epoch_ms}'
        return ServerIncarnation(f'{self.id}{born}')

    @property
    def origin(self) -> StreamOrigin:
        """Return the origin of the streams that this server begins."""
        return StreamOrigin(self.service, self.software_version or SoftwareVersion(''))

    def may_continue(self, origin: StreamOrigin) -> bool:
        """Return whether this server may continue a stream."""
        return bool(origin.version) and self.origin == origin

    def is_later_incarnation_than(self, known: ServerListEntry) -> bool:
        """Return whether a later incarnation than that of a known, older entry wrote this one.

        If either does not state its start time, only a sequence number that restarts shows it.
        """
        if self.born_epoch_ms is None or known.born_epoch_ms is None:
            return self.seq < known.seq
        return self.born_epoch_ms > known.born_epoch_ms
