"""Runs workflows in greenlets and carries out their operations one at a time."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any, TypeVar

import gevent
import logbook
from gevent.event import Event

from citrondyke.decisions.core import ops

if TYPE_CHECKING:
    from citrondyke.backend.client import BackendClient
    from citrondyke.decisions.core.ops import Op, Workflow
    from citrondyke.decisions.core.server_call import ServerReply
    from citrondyke.peer.node import PeerNode
    from citrondyke.storage.fleet_lists import FleetLists
    from citrondyke.storage.object_store import ObjectStore
    from citrondyke.storage.table_service import TableService
    from citrondyke.util.clock import Clock

__all__ = ('GeventDriver',)

log = logbook.Logger(__name__)

T = TypeVar('T')


class GeventDriver:
    """Driver of the daemon; each workflow runs in the greenlet that requests its result."""

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        objects: ObjectStore,
        lists: FleetLists,
        backend: BackendClient,
        peers: PeerNode,
        on_fatal: Callable[[], None],
    ) -> None:
        """Create a driver that carries out operations with the given adapters.

        :param on_fatal: called when an essential workflow fails.
        """
        self._on_fatal = on_fatal
        self._clock = clock
        self._backend = backend
        self._handlers: dict[type[Op], Callable[[Any], Any]] = {
            ops.Transact: lambda op: table.transact(op.transaction),
            ops.ReadRows: lambda op: table.read(op.keys),
            ops.ScanRows: lambda op: table.scan(op.prefix, op.after, op.limit),
            ops.PutObject: lambda op: objects.put(op.key, op.body),
            ops.GetObject: lambda op: objects.get(op.key),
            ops.ListObjects: lambda op: objects.list_keys(op.prefix),
            ops.ReadLists: lambda _: lists.read(),
            ops.Sleep: self._sleep,
            ops.Wait: self._wait,
            ops.Spawn: lambda op: self.spawn(op.workflow, is_essential=op.is_essential),
            ops.CallServer: lambda op: backend.call(op.call),
            ops.PollLoad: lambda op: backend.poll_load(op.server_id, op.until_ms),
            ops.SendPeer: lambda op: peers.send(op.instance_id, op.message),
            ops.PullConfig: lambda op: peers.pull_config(op.instance_id, op.after_version),
        }

    def run(self, workflow: Workflow[T]) -> T:
        """Run a workflow in this greenlet and return its result."""
        result: Any = None
        try:
            while True:
                op = workflow.send(result)
                result = self._handlers[type(op)](op)
        except StopIteration as stop:
            value: T = stop.value
            return value
        finally:
            workflow.close()

    def stream(self, workflow: Workflow[T]) -> Generator[bytes, None, T]:
        """Run a workflow and yield the frames of its server calls as they arrive.

        Closing the generator closes the workflow, which releases all that it holds.
        """
        result: Any = None
        try:
            while True:
                op = workflow.send(result)
                if isinstance(op, ops.CallServer) and op.call.is_streamed:
                    result = yield from self._stream_call(op)
                    continue
                result = self._handlers[type(op)](op)
        except StopIteration as stop:
            value: T = stop.value
            return value
        finally:
            workflow.close()

    def spawn(self, workflow: Workflow[Any], *, is_essential: bool = False) -> gevent.Greenlet:
        """Run a workflow in a new greenlet.

        :param is_essential: whether the instance stops if the workflow fails.
        """
        return gevent.spawn(self._run_logged, workflow, is_essential)

    def _run_logged(self, workflow: Workflow[Any], is_essential: bool) -> None:
        try:
            self.run(workflow)
        except Exception:
            log.exception('workflow failed')
            # Without an essential workflow the instance would still look healthy. For example, if
            # it no longer followed the lists, it would keep sending requests to removed servers.
            # Stopping it lets another instance take over.
            if is_essential:
                self._on_fatal()

    def _stream_call(self, op: ops.CallServer) -> Generator[bytes, None, ServerReply]:
        return (yield from self._backend.stream(op.call))

    def _sleep(self, op: ops.Sleep) -> None:
        gevent.sleep(max(0.0, (op.until_ms - self._clock.now_ms()) / 1e3))

    def _wait(self, op: ops.Wait) -> bool:
        if op.signal.is_fired:
            return True
        fired = Event()
        op.signal.subscribe(fired.set)
        timeout_s = None
        if op.until_ms is not None:
            timeout_s = max(0.0, (op.until_ms - self._clock.now_ms()) / 1e3)
        try:
            fired.wait(timeout_s)
        finally:
            op.signal.unsubscribe(fired.set)
        return op.signal.is_fired
