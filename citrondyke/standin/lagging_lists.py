"""Stand-in for the fleet lists, which are read with a lag."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from citrondyke.storage.fleet_lists import FleetSnapshot, ListedInstance, ListedServer

if TYPE_CHECKING:
    from citrondyke.ids import InstanceId, ServerId

__all__ = ('LaggingLists',)


class LaggingLists:
    """The instance list and the server list with their earlier states."""

    def __init__(self) -> None:
        """Create empty lists that are read without a lag."""
        self.lag_ms = 0.0
        self._instances: dict[InstanceId, ListedInstance] = {}
        self._servers: dict[ServerId, ListedServer] = {}
        self._snapshots: deque[tuple[float, FleetSnapshot]] = deque([(0.0, FleetSnapshot())])

    def put_instance(self, instance: ListedInstance, now_ms: float) -> None:
        """Add an instance to the list, or update its entry."""
        self._instances[instance.id] = instance
        self._record(now_ms)

    def put_server(self, server: ListedServer, now_ms: float) -> None:
        """Add a backend server to the list, or update its entry."""
        self._servers[server.id] = server
        self._record(now_ms)

    def remove_instance(self, instance_id: InstanceId, now_ms: float) -> None:
        """Remove an instance from the list."""
        self._instances.pop(instance_id, None)
        self._record(now_ms)

    def remove_server(self, server_id: ServerId, now_ms: float) -> None:
        """Remove a backend server from the list."""
        self._servers.pop(server_id, None)
        self._record(now_ms)

    def at(self, now_ms: float) -> FleetSnapshot:
        """Return what a read at a time shows: the state ``lag_ms`` before."""
        as_of_ms = now_ms - self.lag_ms
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= as_of_ms:
            self._snapshots.popleft()
        return self._snapshots[0][1]

    def _record(self, now_ms: float) -> None:
        snapshot = FleetSnapshot(tuple(self._instances.values()), tuple(self._servers.values()))
        self._snapshots.append((now_ms, snapshot))
