"""Backend servers in virtual time."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.ops import ServerLoad
from citrondyke.ids import RequestId
from citrondyke.standin.engine_model import EngineModel, EngineStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.server_call import ServerCall
    from citrondyke.driver.virtual.virtual_time import VirtualTime
    from citrondyke.standin.engine_curve import EngineCurve
    from citrondyke.storage.fleet_lists import ListedServer

__all__ = ('CallSink', 'EngineRequest', 'VirtualEngine', 'VirtualServer', 'VirtualService')

DEFAULT_MAX_TOKENS = 16


class CallSink(ABC):
    """Receiver of a server's answer."""

    @abstractmethod
    def on_token(self, *, is_last: bool) -> None:
        """Receive a token."""

    @abstractmethod
    def on_complete(self, status: int, body: bytes) -> None:
        """Receive an answer without a stream."""

    @abstractmethod
    def on_rejected(self) -> None:
        """Handle that the server rejected the request without running it."""

    @abstractmethod
    def on_aborted(self) -> None:
        """Handle that the server aborted the connection."""


class EngineRequest(msgspec.Struct, frozen=True):
    """Fields of a request's body that a virtual engine reads."""

    max_tokens: int = DEFAULT_MAX_TOKENS
    prompt_tokens: int = 50
    prefix: str = ''
    prefix_tokens: int = 0
    #: Makes the server crash, so that all its streams are lost.
    is_crash: bool = False
    #: Makes the server answer 422, however often the request is sent.
    is_never: bool = False


class VirtualServer(ABC):
    """Base class of servers that requests are sent to."""

    def __init__(self, listed: ListedServer, time: VirtualTime) -> None:
        """Create a server that is up and idle."""
        self.listed = listed
        self.is_up = True
        self.is_leaving = False
        #: How often each request was run.
        self.runs: dict[RequestId, int] = {}
        self._time = time

    @abstractmethod
    def submit(self, call: ServerCall, sink: CallSink) -> Callable[[], None]:
        """Accept a request and return a callback that aborts it."""

    @abstractmethod
    def load(self) -> ServerLoad:
        """Return the load that the server reports; it may be out of date."""

    @abstractmethod
    def crash(self) -> None:
        """Lose all requests in flight."""


class VirtualEngine(VirtualServer):
    """A continuous-batching inference engine in virtual time."""

    def __init__(
        self, listed: ListedServer, time: VirtualTime, curve: EngineCurve, load_lag_ms: float
    ) -> None:
        """Create an idle engine.

        :param load_lag_ms: age of the load that the engine reports.
        """
        super().__init__(listed, time)
        self.model = EngineModel(curve)
        #: Factor by which each step is slowed down.
        self.slowness = 1.0
        #: Number of running streams to report instead of the real load; ``None`` for the real one.
        self.lie_running: int | None = None
        self.steps_count = 0
        self.tokens_count = 0
        #: Tokens recomputed for resumed streams: their prompts and the tokens generated before.
        self.recomputed_tokens = 0
        self._curve = curve
        self._load_lag_ms = load_lag_ms
        self._sinks: dict[str, CallSink] = {}
        self._is_stepping = False
        self._streams_count = 0
        self._load_history: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])

    def submit(self, call: ServerCall, sink: CallSink) -> Callable[[], None]:
        """Queue a request and return a callback that aborts it."""
        request = msgspec.json.decode(call.body, type=EngineRequest)
        if request.is_crash:
            self.crash()
            sink.on_aborted()
            return lambda: None
        if request.is_never:
            sink.on_complete(422, b'{"error": {"message": "never"}}')
            return lambda: None
        self.runs[call.request_id] = self.runs.get(call.request_id, 0) + 1
        if call.resume_from_frame:
            self.recomputed_tokens += request.prompt_tokens + call.resume_from_frame
        self._streams_count += 1
        stream_id = f'{call.request_id}/{self._streams_count}'
        self._sinks[stream_id] = sink
        self.model.submit(
            EngineStream(
                stream_id=stream_id,
                prompt_tokens=request.prompt_tokens,
                max_tokens=request.max_tokens,
                prefix_key=request.prefix,
                prefix_tokens=request.prefix_tokens,
                done_tokens=call.resume_from_frame,
            )
        )
        self._record_load()
        self._step()
        return lambda: self._abort(stream_id)

    def load(self) -> ServerLoad:
        """Return the load as of ``load_lag_ms`` ago."""
        as_of_ms = self._time.now_ms() - self._load_lag_ms
        while len(self._load_history) > 1 and self._load_history[1][0] <= as_of_ms:
            self._load_history.popleft()
        _, running, waiting = self._load_history[0]
        if self.lie_running is not None:
            running, waiting = self.lie_running, 0
        return ServerLoad(running, waiting, self._curve.max_running, self.is_leaving)

    def crash(self) -> None:
        """Lose all streams and abort their connections."""
        self.model.drop_all()
        sinks, self._sinks = self._sinks, {}
        for sink in sinks.values():
            sink.on_aborted()
        self._record_load()

    def _abort(self, stream_id: str) -> None:
        if self._sinks.pop(stream_id, None) is not None:
            self.model.cancel(stream_id)
            self._record_load()

    def _step(self) -> None:
        if self._is_stepping or self.model.is_idle():
            return
        self._is_stepping = True
        self._time.after(self.model.begin_step() * self.slowness, self._end_step)

    def _end_step(self) -> None:
        self._is_stepping = False
        self.steps_count += 1
        for token in self.model.end_step():
            self.tokens_count += 1
            sink = self._sinks.get(token.stream_id)
            if sink is None:
                continue
            if token.last:
                del self._sinks[token.stream_id]
            sink.on_token(is_last=token.last)
        self._record_load()
        self._step()

    def _record_load(self) -> None:
        state = (self._time.now_ms(), self.model.running_count, self.model.waiting_count)
        if self._load_history[-1][0] == state[0]:
            self._load_history.pop()
        self._load_history.append(state)


class VirtualService(VirtualServer):
    """A plain service in virtual time, which counts its runs by idempotency key."""

    def __init__(self, listed: ListedServer, time: VirtualTime, run_ms: float) -> None:
        """Create an idle service.

        :param run_ms: duration of one run.
        """
        super().__init__(listed, time)
        self._run_ms = run_ms
        self._running = 0

    def submit(self, call: ServerCall, sink: CallSink) -> Callable[[], None]:
        """Run a request; aborting it drops the answer, but the run still counts."""
        key = RequestId(dict(call.headers).get('Idempotency-Key', call.request_id))
        self.runs[key] = self.runs.get(key, 0) + 1
        self._running += 1
        is_aborted = False

        def end() -> None:
            self._running -= 1
            if not is_aborted:
                sink.on_complete(200, b'{"ok": true}')

        def abort() -> None:
            nonlocal is_aborted
            is_aborted = True

        self._time.after(self._run_ms, end)
        return abort

    def load(self) -> ServerLoad:
        """Return the current load."""
        return ServerLoad(self._running, 0, 64, self.is_leaving)

    def crash(self) -> None:
        """Do nothing: started runs continue to their end."""
