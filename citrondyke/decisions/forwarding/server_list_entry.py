"""A backend server as the list of servers tells of it."""

from __future__ import annotations

import msgspec

from citrondyke.ids import AvailabilityZone, ServerId, ServerIncarnation, ServiceName

__all__ = ('ServerListEntry',)


class ServerListEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One life of one backend server."""

    #: A server that starts again may keep it.
    id: ServerId
    service: ServiceName
    ip: str
    port: int
    zone: AvailabilityZone
    #: Requests that it runs at once.
    slots_count: int
    is_leaving: bool = False
    #: When this life began, by the server's clock; ``None`` where it does not say.
    born_epoch_ms: int | None = None
    #: Counts what this life wrote into its entry; begins anew with each life.
    seq: int = 0

    @property
    def stated_incarnation(self) -> ServerIncarnation:
        """Name this life as all instances name it; the id alone where it does not state one."""
        born = '' if self.born_epoch_ms is None else f'@{self.born_epoch_ms}'
        return ServerIncarnation(f'{self.id}{born}')

    def is_later_incarnation_than(self, known: ServerListEntry) -> bool:
        """Tell whether this entry was written by a later life than a known, older entry.

        Where one of the two does not say when it was born, only a sequence that begins anew
        shows it.
        """
        if self.born_epoch_ms is None or known.born_epoch_ms is None:
            return self.seq < known.seq
        return self.born_epoch_ms > known.born_epoch_ms
