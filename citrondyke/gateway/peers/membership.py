"""Membership of the fleet, by heartbeats of the instances in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import gevent
import logbook
import msgspec
from gevent.event import Event

from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.list_codec import UPDATE_LIMIT_BYTES
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
from citrondyke.ids import AvailabilityZone, InstanceId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    PartCommitted,
    PartTransaction,
    RowCondition,
    RowPut,
    RowRemoval,
)
from citrondyke.util.decoding import decode_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.batch.takeover import InstanceLiveness
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('INSTANCES_TABLE', 'Heartbeat', 'Membership')

log = logbook.Logger(__name__)

INSTANCES_TABLE = 'instances'
#: A third of the time without a heartbeat after which the jobs of an instance are taken over.
HEARTBEAT_EVERY_MS = 900.0
#: Time without a heartbeat after which nothing is sent to a peer any more: longer than a machine
#: freezes for.
PEER_EXPIRY_MS = 8_000.0
#: Time without a heartbeat after which the row of an instance is removed.
ROW_EXPIRY_MS = 60_000.0


#: Peers are addressed by IP; anything else would be resolved as a host name.
IP_PATTERN = r'^\d{1,3}(\.\d{1,3}){3}$'


class Heartbeat(msgspec.Struct, frozen=True):
    """Row of an instance in the store."""

    life: str
    ip: Annotated[str, msgspec.Meta(pattern=IP_PATTERN)]
    peer_port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    zone: AvailabilityZone
    number: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    #: Size of the values of the server list that the instance has, for instances that start; -1
    #: from instances of an earlier version, which neither publish the list nor subscribe to it.
    list_bytes: Annotated[int, msgspec.Meta(ge=-1, le=UPDATE_LIMIT_BYTES)] = -1


class Membership:
    """Writes this instance's heartbeats, and reads those of its peers."""

    def __init__(
        self,
        context: Context,
        incarnation: str,
        address: tuple[str, int],
        table: PartitionedTable,
        liveness: InstanceLiveness,
        on_zones: Callable[[dict[InstanceId, AvailabilityZone]], None],
    ) -> None:
        """Start without known peers.

        :param incarnation: identifies this run of the instance.
        :param address: address of this instance, for its peers.
        :param on_zones: called with the zones of all peers when a peer joins, moves or leaves, so
            that messages to all peers go to those that are known now.
        """
        self._context = context
        self._incarnation = incarnation
        self._address = address
        self._table = table
        self._liveness = liveness
        self._on_zones = on_zones
        self._number = 0
        self._is_leaving = False
        self.unreadable = UnreadableRows(INSTANCES_TABLE)
        #: Live peers by id, without this instance.
        self.peers: dict[InstanceId, Heartbeat] = {}
        #: Whether ``on_zones`` is to be called for changes of ``peers``.
        self._has_changed = False
        #: Whether a complete list of the instances was received, from the store or from a peer.
        self.is_known = False
        self._known = Event()
        self._all_instances: tuple[InstanceId, ...] = ()
        #: Published with each heartbeat: the size of the server list; 0 while it is not known here.
        self.list_bytes = 0
        #: Size of the list by the rows of other instances and of this one's earlier incarnations.
        self._published_list_bytes = 0

    def start(self, tasks: Tasks) -> None:
        """Start writing heartbeats."""
        tasks.supervise(self._run)

    def leave(self) -> None:
        """Remove this instance's row, so that peers need not wait until it counts as dead."""
        self._is_leaving = True
        removal = RowRemoval(INSTANCES_TABLE, self._context.instance_id)
        self._table.transact(PartTransaction('', removals=(removal,)))

    def on_rows(self, rows: Iterable[PartRow]) -> None:
        """Apply changed rows."""
        self.unreadable.apply_each(rows, self._apply_row)
        self._report_zones()

    def _apply_row(self, row: PartRow) -> None:
        instance_id = InstanceId(row.key)
        if row.value is None:
            self._remove_peer(instance_id)
            return
        try:
            heartbeat = decode_json(row.value, Heartbeat)
        except UnreadableBytesError as error:
            self.unreadable.log_once(row.key, row.version, error.message)
            return
        self._published_list_bytes = max(self._published_list_bytes, heartbeat.list_bytes)
        is_new = self._liveness.record_row(instance_id, heartbeat.life, row.version)
        if is_new and instance_id != self._context.instance_id:
            self._add_peer(instance_id, heartbeat)
        self.unreadable.record_readable(row.key, row.version)

    def on_listing(self, rows: list[PartRow], _: int) -> None:
        """Apply a full read of the table."""
        self.on_rows(rows)
        self._mark_known()
        self._liveness.record_poll()
        self._drop_dead_peers({row.key: row.version for row in rows})

    def _drop_dead_peers(self, versions: dict[str, int]) -> None:
        """Drop dead peers; the first live instance by name removes their rows.

        A machine that is removed for good leaves its row behind. If it were kept, store calls that
        are relayed by a peer would try it each time and wait for a connection that never opens.
        """
        for instance_id in self._liveness.unresponsive(PEER_EXPIRY_MS):
            if self.peers.pop(instance_id, None) is not None:
                self._has_changed = True
                log.info('peer.gone', extra={'peer': instance_id, 'silent_ms': PEER_EXPIRY_MS})
        self._report_zones()
        live_instances = self._liveness.live_instances()
        if live_instances[0] != self._context.instance_id:
            return
        for instance_id in self._liveness.unresponsive(ROW_EXPIRY_MS):
            version = versions.get(instance_id)
            if version is None:
                self._liveness.record_removed(instance_id)
                continue
            condition = RowCondition(INSTANCES_TABLE, instance_id, version)
            removal = RowRemoval(INSTANCES_TABLE, instance_id)
            self._table.transact(PartTransaction('', (condition,), (), (removal,)))

    def own_heartbeat(self) -> Heartbeat:
        """Return this instance's row.

        Until the list is known here, the row repeats the size that other rows state. When all
        instances start at once, their rows replace the last ones that state it, and an instance
        that reads only the new rows would take the list for small and read it itself.
        """
        ip, port = self._address
        list_bytes = self.list_bytes or self._published_list_bytes
        return Heartbeat(self._incarnation, ip, port, self._context.zone, self._number, list_bytes)

    def merge_from_peer(self, heartbeats: dict[InstanceId, Heartbeat]) -> None:
        """Add the addresses that a peer knows; they don't prove that these instances live."""
        for instance_id, heartbeat in heartbeats.items():
            self._published_list_bytes = max(self._published_list_bytes, heartbeat.list_bytes)
            if instance_id != self._context.instance_id and instance_id not in self.peers:
                self._add_peer(instance_id, heartbeat)
        self._report_zones()
        if heartbeats:
            self._mark_known()

    def wait_known(self, timeout_ms: float) -> bool:
        """Wait for a complete list of the instances; return whether it was received."""
        self._known.wait(timeout_ms / 1e3)
        return self.is_known

    def _mark_known(self) -> None:
        self.is_known = True
        self._known.set()

    @property
    def count(self) -> int:
        """Return the number of known instances, including this one."""
        return len(self.peers) + 1

    def all_instances(self) -> tuple[InstanceId, ...]:
        """Return all instances including this one, or none while they are not known.

        The returned tuple is the same object until an instance joins or leaves.
        """
        if not self.is_known:
            return ()
        if len(self._all_instances) != self.count or not self.peers.keys() <= set(
            self._all_instances
        ):
            self._all_instances = (*self.peers, self._context.instance_id)
        return self._all_instances

    def _add_peer(self, instance_id: InstanceId, heartbeat: Heartbeat) -> None:
        known = self.peers.get(instance_id)
        self.peers[instance_id] = heartbeat
        self._has_changed |= known is None or known.zone != heartbeat.zone
        if known is None or known.life != heartbeat.life:
            log.info(
                'peer.known',
                extra={'peer': instance_id, 'life': heartbeat.life, 'ip': heartbeat.ip},
            )

    def _remove_peer(self, instance_id: InstanceId) -> None:
        self._liveness.record_removed(instance_id)
        if self.peers.pop(instance_id, None) is not None:
            self._has_changed = True
            log.info('peer.left', extra={'peer': instance_id})

    def _report_zones(self) -> None:
        if self._has_changed:
            self._has_changed = False
            self._on_zones({each: heartbeat.zone for each, heartbeat in self.peers.items()})

    def _run(self) -> None:
        # The first row states what the rows before it state, so it is written after they were read.
        # If the store does not answer within an interval, a missing heartbeat has no effect yet.
        self.wait_known(HEARTBEAT_EVERY_MS)
        while not self._is_leaving:
            self._number += 1
            value = msgspec.json.encode(self.own_heartbeat())
            put = RowPut(INSTANCES_TABLE, self._context.instance_id, value)
            answer = self._table.transact(PartTransaction('', puts=(put,)))
            if isinstance(answer, PartCommitted):
                self._liveness.record_own_heartbeat()
            elif isinstance(answer, PlatformFailure):
                log.info('heartbeat.failed', extra={'reason': answer.reason.value})
            gevent.sleep(
                self._context.jittered_ms(HEARTBEAT_EVERY_MS * self._liveness.timeout_factor) / 1e3
            )
