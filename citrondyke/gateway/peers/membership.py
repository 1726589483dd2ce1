"""Heartbeats of instances in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import gevent
import logbook
import msgspec
from gevent.event import Event

from citrondyke.errors.unreadable_bytes import UnreadableBytesError
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
    from collections.abc import Iterable

    from citrondyke.decisions.batch.takeover import InstanceLiveness
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('INSTANCES_TABLE', 'Heartbeat', 'Membership')

log = logbook.Logger(__name__)

INSTANCES_TABLE = 'instances'
#: A third of the silence after which an instance is taken for gone.
HEARTBEAT_EVERY_MS = 900.0
#: Silence after which a peer is not sent anything any more: longer than a machine is frozen.
DEAD_AFTER_MS = 8_000.0
#: Silence after which its row is taken away.
ROW_EXPIRY_MS = 60_000.0


#: Peers are called by IP; anything else would be looked up as a name.
IP_PATTERN = r'^\d{1,3}(\.\d{1,3}){3}$'


class Heartbeat(msgspec.Struct, frozen=True):
    """An instance's row."""

    life: str
    ip: Annotated[str, msgspec.Meta(pattern=IP_PATTERN)]
    peer_port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    zone: AvailabilityZone
    number: int
    #: Of the values of the list of servers that it knows, for whoever starts; -1 from instances of
    #: an earlier version, who neither tell nor listen.
    list_bytes: int = -1


class Membership:
    """Writes this instance's heartbeat and takes in the others'."""

    def __init__(
        self,
        context: Context,
        life: str,
        address: tuple[str, int],
        table: PartitionedTable,
        live: InstanceLiveness,
    ) -> None:
        """Use the parts handed in.

        :param address: of this instance, for its peers.
        """
        self._context = context
        self._incarnation = life
        self._address = address
        self._table = table
        self._liveness = live
        self._number = 0
        self._is_leaving = False
        self._unreadable = UnreadableRows(INSTANCES_TABLE)
        #: Peers by id, this instance left out.
        self.peers: dict[InstanceId, Heartbeat] = {}
        #: Whether a whole list of the instances was seen, by the store or a peer.
        self.is_known = False
        self._known = Event()
        self._all_instances: tuple[InstanceId, ...] = ()
        #: Told with each heartbeat.
        self.list_bytes = 0

    def start(self, tasks: Tasks) -> None:
        """Begin to write heartbeats."""
        tasks.supervise(self._run)

    def leave(self) -> None:
        """Take this instance's row away, so that others need not wait for its silence."""
        self._is_leaving = True
        removal = RowRemoval(INSTANCES_TABLE, self._context.instance_id)
        self._table.transact(PartTransaction('', removals=(removal,)))

    def on_rows(self, rows: Iterable[PartRow]) -> None:
        """Take in changes."""
        for row in rows:
            instance_id = InstanceId(row.key)
            if row.value is None:
                self._remove_peer(instance_id)
                continue
            try:
                heartbeat = decode_json(row.value, Heartbeat)
            except UnreadableBytesError as error:
                self._unreadable.log_once(row.key, row.version, error.message)
                continue
            is_news = self._liveness.record_row(instance_id, heartbeat.life, row.version)
            if is_news and instance_id != self._context.instance_id:
                self._add_peer(instance_id, heartbeat)

    def on_listing(self, rows: list[PartRow], _: int) -> None:
        """Take in a read of the whole table."""
        self.on_rows(rows)
        self._mark_known()
        self._liveness.record_poll()
        self._drop_dead_peers({row.key: row.version for row in rows})

    def _drop_dead_peers(self, versions: dict[str, int]) -> None:
        """Forget peers that are gone; one of the others takes their rows away.

        A machine that was removed for good leaves its row behind. Calls that go by way of a peer
        would try it each time and wait for a connection that never comes.
        """
        for instance_id in self._liveness.unresponsive(DEAD_AFTER_MS):
            if self.peers.pop(instance_id, None) is not None:
                log.info('peer.gone', extra={'peer': instance_id, 'silent_ms': DEAD_AFTER_MS})
        names = self._liveness.live_instances()
        if names[0] != self._context.instance_id:
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
        """Give this instance's row."""
        ip, port = self._address
        return Heartbeat(
            self._incarnation, ip, port, self._context.zone, self._number, self.list_bytes
        )

    def merge_from_peer(self, heartbeats: dict[InstanceId, Heartbeat]) -> None:
        """Take in the addresses that a peer knows; they prove nobody's life."""
        for instance_id, heartbeat in heartbeats.items():
            if instance_id != self._context.instance_id and instance_id not in self.peers:
                self._add_peer(instance_id, heartbeat)
        if heartbeats:
            self._mark_known()

    def wait_known(self, longest_ms: float) -> bool:
        """Wait until a whole list of the instances was seen; tell whether one was."""
        self._known.wait(longest_ms / 1e3)
        return self.is_known

    def _mark_known(self) -> None:
        self.is_known = True
        self._known.set()

    @property
    def count(self) -> int:
        """Count the instances that are known, this one included."""
        return len(self.peers) + 1

    def all_instances(self) -> tuple[InstanceId, ...]:
        """List all instances, this one included; none while they are not known.

        The same object as long as nobody comes or goes.
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
        if known is None or known.life != heartbeat.life:
            log.info(
                'peer.known',
                extra={'peer': instance_id, 'life': heartbeat.life, 'ip': heartbeat.ip},
            )

    def _remove_peer(self, instance_id: InstanceId) -> None:
        self._liveness.record_removed(instance_id)
        if self.peers.pop(instance_id, None) is not None:
            log.info('peer.left', extra={'peer': instance_id})

    def _run(self) -> None:
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
