"""A fleet of instances, backend servers and the platform in virtual time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from citrondyke.decisions.configuration.change import ConfigChange, first_change, log_row_key
from citrondyke.decisions.configuration.entries import ConfigEntry
from citrondyke.decisions.core.commit import encode_row
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.decisions.jobs.job_file_reader import InvalidLine, JobFileReader, JobFileSummary
from citrondyke.decisions.jobs.job_request import AcceptedJob, JobRejection, JobRequest, JobResult
from citrondyke.decisions.jobs.rows import input_object_key
from citrondyke.driver.virtual.virtual_instance import VirtualInstance
from citrondyke.driver.virtual.virtual_platform import VirtualPlatform
from citrondyke.driver.virtual.virtual_time import VirtualTime
from citrondyke.ids import AvailabilityZone, ClassName, ConfigVersion, InstanceId, TenantId, WriteId
from citrondyke.storage.fleet_lists import ListedInstance
from citrondyke.storage.table_service import Transaction, Write

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.core.runner import Effect
    from citrondyke.decisions.core.server_call import ServerCall
    from citrondyke.decisions.online.server_view import ServerView
    from citrondyke.decisions.sharing.server_share import ServerShare
    from citrondyke.driver.virtual.virtual_server import VirtualServer
    from citrondyke.ids import ServerId

__all__ = ('VirtualFleet',)

#: Longest virtual time that a workflow such as the acceptance of a job may take.
ACCEPT_TIMEOUT_MS = 60_000.0


class VirtualFleet:
    """A whole fleet in one thread; runs with the same seed are identical."""

    def __init__(
        self,
        seed: int,
        *,
        one_way_ms: float = 1.0,
        platform_one_way_ms: float = 3.0,
        datagram_loss: float = 0.0,
        new_share: Callable[[ServerView], ServerShare] | None = None,
    ) -> None:
        """Create a fleet that has only the platform.

        :param one_way_ms: one-way latency between instances and to servers.
        :param platform_one_way_ms: one-way latency to the platform.
        :param datagram_loss: share of datagrams that are lost, from 0 to 1.
        :param new_share: creates the sharing policy of a server; ``None`` for the default one.
        """
        self.time = VirtualTime()
        self.random = Random(seed)
        self.one_way_ms = one_way_ms
        self.platform = VirtualPlatform(self.time, platform_one_way_ms)
        self.instances: dict[InstanceId, VirtualInstance] = {}
        self.servers: dict[ServerId, VirtualServer] = {}
        self.new_share = new_share
        #: Called before each effect, so that a test can kill the instance at that point.
        self.crash_point: Callable[[VirtualInstance, Effect], None] | None = None
        self.datagrams_count = 0
        self._datagram_loss = datagram_loss
        self._frame_listeners: dict[str, Callable[[float], None]] = {}
        self._limits = InstanceLimits()
        self._uploads_count = 0

    def configure(self, entries: Iterable[ConfigEntry]) -> None:
        """Write the first version of the configuration."""
        change = first_change(entries, 'seed')
        write = Write(log_row_key(change.version), encode_row(change))
        self.platform.table.transact(Transaction(WriteId('seed'), (), (write,)))

    def add_server(self, server: VirtualServer) -> None:
        """Add a server to the server list, so that it gets requests."""
        self.servers[server.listed.id] = server
        self.platform.lists.put_server(server.listed, self.time.now_ms())

    def add_instance(self, name: str, zone: str, limits: InstanceLimits) -> VirtualInstance:
        """List and start an instance; a restarted one has lost its memory."""
        listed = ListedInstance(InstanceId(name), '10.0.0.1', 1, 1, AvailabilityZone(zone))
        self._limits = limits
        self.platform.lists.put_instance(listed, self.time.now_ms())
        instance = VirtualInstance(self, listed, limits, self.random.getrandbits(32))
        self.instances[listed.id] = instance
        return instance

    def live_instances(self) -> list[VirtualInstance]:
        """Return the instances that are alive and not frozen."""
        return [each for each in self.instances.values() if each.is_alive and not each.is_frozen]

    def send_peer(
        self, sender: VirtualInstance, receiver_id: InstanceId, message: msgspec.Struct
    ) -> None:
        """Send a datagram, which may be lost."""
        self.datagrams_count += 1
        sender.sent_count += 1
        if self.random.random() < self._datagram_loss:
            return

        def arrive() -> None:
            receiver = self.instances.get(receiver_id)
            if receiver is not None:
                receiver.deliver(lambda: self._deliver_message(receiver, sender, message))

        self.time.after(self.one_way_ms, arrive)

    def pull_config(
        self,
        instance_id: InstanceId,
        after_version: ConfigVersion,
        answer: Callable[[Any], None],
    ) -> None:
        """Request configuration changes from a peer over a stream."""
        peer = self.instances.get(instance_id)
        changes: list[ConfigChange] = []
        if peer is not None and peer.is_alive and not peer.is_frozen:
            changes = peer.instance.config_replica.changes_after(after_version)
        self.time.after(2 * self.one_way_ms, lambda: answer(changes))

    def listen(self, request_id: str, listener: Callable[[float], None]) -> None:
        """Call a listener with the time of each token that arrives for a request."""
        self._frame_listeners[request_id] = listener

    def on_frame(self, call: ServerCall, now_ms: float) -> None:
        """Notify the listener of a request that one of its tokens arrived."""
        listener = self._frame_listeners.get(call.request_id)
        if listener is not None:
            listener(now_ms)

    def accept_job(
        self, host: VirtualInstance, tenant_id: str, class_name: str, lines: bytes
    ) -> AcceptedJob:
        """Upload and start a job; virtual time advances until it is accepted.

        :raises TypeError: if the job is rejected.
        """
        workflow = self.job_workflow(host, tenant_id, ClassName(class_name), lines)
        result: JobResult = self.complete(host, workflow)
        if not isinstance(result, AcceptedJob):
            raise TypeError(result)
        return result

    def job_workflow(
        self, host: VirtualInstance, tenant_id: str, class_name: ClassName, lines: bytes
    ) -> Workflow[JobResult]:
        """Store a job's segments and return the workflow that accepts the job.

        :raises ValueError: if a line of the job is invalid.
        """
        self._uploads_count += 1
        upload_id = f'upload-{self._uploads_count}'
        reader = JobFileReader(self._limits.segment_items, 1_000_000, 1_000_000)
        first, last = reader.feed(lines), reader.finish()
        if isinstance(first, InvalidLine) or isinstance(last, InvalidLine):
            raise ValueError(first or last)
        for number, segment in enumerate([*first, *last[0]]):
            self.platform.objects[input_object_key(upload_id, number)] = segment
        return self._job_workflow(host, TenantId(tenant_id), class_name, upload_id, last[1])

    def _job_workflow(
        self,
        host: VirtualInstance,
        tenant_id: TenantId,
        class_name: ClassName,
        upload_id: str,
        summary: JobFileSummary,
    ) -> Workflow[JobResult]:
        acceptance = host.instance.acceptance
        recorded = yield from acceptance.record_file(tenant_id, upload_id, 'job', summary)
        if isinstance(recorded, JobRejection):
            return recorded
        file_id, row = recorded
        request = JobRequest(
            tenant_id=tenant_id, file_id=file_id, endpoint=row.url, class_name=class_name
        )
        return (yield from acceptance.accept(request))

    def complete(self, host: VirtualInstance, workflow: Any) -> Any:
        """Run a workflow and return its result; virtual time advances until it ends."""
        results: list[Any] = []
        host.start(workflow, results.append)
        until_ms = self.time.now_ms() + ACCEPT_TIMEOUT_MS
        self.time.run_while(lambda: not results, until_ms)
        return results[0]

    def _deliver_message(
        self, receiver: VirtualInstance, sender: VirtualInstance, message: Any
    ) -> None:
        receiver.received_count += 1
        receiver.instance.on_peer_version(
            sender.listed.id, sender.instance.config_replica.current.version
        )
        answer = receiver.instance.on_peer_message(sender.listed.id, message)
        if answer is not None:
            self.send_peer(receiver, sender.listed.id, answer)
