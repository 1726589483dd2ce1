"""An instance in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from citrondyke.decisions.core import ops
from citrondyke.decisions.core.context import Context
from citrondyke.decisions.core.runner import (
    Effect,
    OpToken,
    Perform,
    Runner,
    StartTimer,
    WorkflowEnded,
)
from citrondyke.decisions.core.server_call import ReplyKind, ServerCall, ServerReply
from citrondyke.decisions.instance import Instance
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.driver.virtual.virtual_server import CallSink

if TYPE_CHECKING:
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.driver.virtual.fleet_environment import FleetEnvironment
    from citrondyke.storage.fleet_lists import ListedInstance

__all__ = ('VirtualInstance',)

#: Frame of each token of an answer except the last one.
FRAME = (
    b'{"id":"v","created":0,"model":"m","choices":[{"delta":{"content":"w "},'
    b'"finish_reason":null}]}'
)
#: Frame of the last token of an answer.
LAST_FRAME = FRAME.replace(b'null', b'"length"')


class VirtualInstance:
    """Runs an instance, which can be killed or frozen between any two effects."""

    def __init__(
        self, fleet: FleetEnvironment, listed: ListedInstance, limits: InstanceLimits, seed: int
    ) -> None:
        """Start an instance with an empty memory."""
        self.listed = listed
        self.is_alive = True
        self.is_frozen = False
        #: Peer messages sent and received.
        self.sent_count = 0
        self.received_count = 0
        self.effects_count = 0
        self._fleet = fleet
        context = Context(listed.id, listed.zone, fleet.time, Random(seed))
        self.instance = Instance(context, limits, new_share=fleet.new_share)
        self._runner = Runner()
        self._on_end_callbacks: dict[OpToken, Callable[[Any], None]] = {}
        self._deferred: list[Callable[[], None]] = []
        self._aborts: dict[int, Callable[[], None]] = {}
        self.start(self.instance.run())

    def start(self, workflow: Workflow[Any], on_end: Callable[[Any], None] | None = None) -> None:
        """Start a workflow.

        :param on_end: called with the result of the workflow.
        """
        token, effects = self._runner.start(workflow)
        if on_end is not None:
            self._on_end_callbacks[token] = on_end
        self._apply_effects(effects)

    def kill(self) -> None:
        """Kill the instance: its memory is lost and its connections are aborted."""
        self.is_alive = False
        for abort in list(self._aborts.values()):
            self._fleet.time.after(self._fleet.one_way_ms, abort)

    def freeze(self) -> None:
        """Suspend the instance; arrivals are deferred until it wakes."""
        self.is_frozen = True

    def wake(self) -> None:
        """Resume the instance and run what was deferred."""
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            action()

    def deliver(self, arrival: Callable[[], None]) -> None:
        """Run the handler of an arrival, deferred while frozen and dropped once killed."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._deferred.append(lambda: self.deliver(arrival))
            return
        arrival()
        self._apply_effects(self._runner.take_effects())

    def _apply_effects(self, effects: list[Effect]) -> None:
        for position, effect in enumerate(effects):
            self.effects_count += 1
            if self._fleet.crash_point is not None and self.is_alive and not self.is_frozen:
                self._fleet.crash_point(self, effect)
            if not self.is_alive:
                return
            if self.is_frozen:
                self._defer_effects(effects[position:])
                return
            self._apply_effect(effect)

    def _defer_effects(self, effects: list[Effect]) -> None:
        """Defer the remaining effects of a frozen instance until it wakes."""
        self._deferred.append(lambda: self._apply_effects(effects))

    def _apply_effect(self, effect: Effect) -> None:
        match effect:
            case Perform():
                self._perform(effect.token, effect.op)
            case StartTimer():
                self._start_timer(effect)
            case WorkflowEnded():
                on_end = self._on_end_callbacks.pop(effect.token, None)
                if on_end is not None:
                    on_end(effect.result)

    def _start_timer(self, effect: StartTimer) -> None:
        def on_timer() -> None:
            self._resume(effect.token, False)

        self._fleet.time.at(effect.at_ms, lambda: self.deliver(on_timer))

    def _resume(self, token: OpToken, result: Any) -> None:
        self._apply_effects(self._runner.resume(token, result))

    def _perform(self, token: OpToken, op: ops.Op) -> None:
        fleet = self._fleet

        def answer(result: Any) -> None:
            self.deliver(lambda: self._resume(token, result))

        match op:
            case ops.CallServer():
                self._call_server(op.call, answer)
            case ops.PollLoad():
                server = fleet.servers.get(op.server_id)
                is_up = server is not None and server.is_up
                load = server.load() if server is not None and is_up else None
                fleet.time.after(2 * fleet.one_way_ms, lambda: answer(load))
            case ops.SendPeer():
                fleet.send_peer(self, op.instance_id, op.message)
                answer(None)
            case ops.PullConfig():
                fleet.pull_config(op.instance_id, op.after_version, answer)
            case _:
                if not fleet.platform.perform(op, answer):
                    raise NotImplementedError(type(op).__name__)

    def _call_server(self, call: ServerCall, answer: Callable[[Any], None]) -> None:
        exchange = _ServerExchange(self, self._fleet, call, answer)
        exchange.begin()

    def register_abort(self, exchange: _ServerExchange, abort: Callable[[], None]) -> None:
        """Register the abort callback of a request, to be called if this instance is killed."""
        self._aborts[id(exchange)] = abort

    def unregister_abort(self, exchange: _ServerExchange) -> None:
        """Remove the abort callback of a finished request."""
        self._aborts.pop(id(exchange), None)


class _ServerExchange(CallSink):
    """One request to a server and its answer, both with network latency."""

    def __init__(
        self,
        host: VirtualInstance,
        fleet: FleetEnvironment,
        call: ServerCall,
        answer: Callable[[Any], None],
    ) -> None:
        self._host = host
        self._fleet = fleet
        self._call = call
        self._answer = answer
        self._start_ms = fleet.time.now_ms()
        self._frames: list[bytes] = []
        self._first_ms: float | None = None
        self._is_finished = False
        self._abort: Callable[[], None] | None = None

    def begin(self) -> None:
        """Send the request."""
        self._call.cancel.subscribe(self._on_cancel)
        self._fleet.time.after(self._fleet.one_way_ms, self._arrive)
        self._fleet.time.at(self._call.deadline_ms, self._on_deadline)

    def on_token(self, *, is_last: bool) -> None:
        """Receive a token from the server, which arrives one latency later."""
        self._fleet.time.after(self._fleet.one_way_ms, lambda: self._on_token_arrival(is_last))

    def on_complete(self, status: int, body: bytes) -> None:
        """Receive an answer without a stream from the server."""
        reply = ServerReply(
            kind=ReplyKind.COMPLETE, status=status, content_type='application/json', body=body
        )
        self._fleet.time.after(self._fleet.one_way_ms, lambda: self._end(reply))

    def on_rejected(self) -> None:
        """Handle that the server rejected the request without running it."""
        reply = ServerReply(kind=ReplyKind.REFUSED, status=503)
        self._fleet.time.after(self._fleet.one_way_ms, lambda: self._end(reply))

    def on_aborted(self) -> None:
        """Handle that the server aborted the connection."""
        self._fleet.time.after(
            self._fleet.one_way_ms, lambda: self._end(self._reply(ReplyKind.CUT))
        )

    def _arrive(self) -> None:
        if self._is_finished or not self._host.is_alive:
            return
        server = self._fleet.servers.get(self._call.server_id)
        if server is None or not server.is_up:
            reply = ServerReply(kind=ReplyKind.UNREACHABLE)
            self._fleet.time.after(self._fleet.one_way_ms, lambda: self._end(reply))
            return
        self._abort = server.submit(self._call, self)
        self._host.register_abort(self, self._abort)

    def _on_token_arrival(self, is_last: bool) -> None:
        if self._is_finished:
            return
        now_ms = self._fleet.time.now_ms()
        if self._first_ms is None:
            self._first_ms = now_ms - self._start_ms
        self._frames.append(LAST_FRAME if is_last else FRAME)
        if self._host.is_alive and not self._host.is_frozen:
            if self._call.on_frame is not None:
                self._call.on_frame(now_ms)
            self._fleet.on_frame(self._call, now_ms)
        if is_last:
            self._end(self._reply(ReplyKind.COMPLETE, 200))

    def _on_cancel(self) -> None:
        if self._is_finished:
            return
        abort = self._abort
        if abort is not None:
            self._fleet.time.after(self._fleet.one_way_ms, abort)
        self._end(self._reply(ReplyKind.CANCELLED))

    def _on_deadline(self) -> None:
        if self._is_finished:
            return
        if self._abort is not None:
            self._fleet.time.after(self._fleet.one_way_ms, self._abort)
        self._end(self._reply(ReplyKind.LATE))

    def _end(self, reply: ServerReply) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        self._host.unregister_abort(self)
        self._call.cancel.unsubscribe(self._on_cancel)
        self._answer(reply)

    def _reply(self, kind: ReplyKind, status: int = 0) -> ServerReply:
        return ServerReply(
            kind=kind,
            status=status,
            content_type='text/event-stream',
            frames=tuple(self._frames),
            frames_count=len(self._frames),
            first_frame_ms=self._first_ms,
        )
