"""HTTP stand-in for an inference engine with the OpenAI API."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Iterator
from typing import Any

import bottle
import gevent
import msgspec
from gevent.event import Event
from gevent.queue import SimpleQueue

from citrondyke.standin.abortable_server import abort_connection
from citrondyke.standin.engine_answer import CHARS_PER_TOKEN, EngineAnswer
from citrondyke.standin.engine_curve import EngineCurve
from citrondyke.standin.engine_faults import BackendFaults
from citrondyke.standin.engine_model import EngineModel, EngineStream, EngineToken
from citrondyke.standin.engine_text import prompt_seed
from citrondyke.util.clock import Clock

__all__ = ('EngineApp', 'LoadReport', 'engine_app', 'prompt_text')

#: In a prompt: answer 422, however often the request is sent.
NEVER_MARK = '[[never]]'
#: In a prompt: crash, so that all streams are lost.
CRASH_MARK = '[[crash]]'
DEFAULT_MAX_TOKENS = 16
PREFIX_CHARS = 256


class LoadReport(msgspec.Struct, frozen=True):
    """Answer to ``GET /load``."""

    running: int
    waiting: int
    max_running: int
    is_leaving: bool = False


class _Message(msgspec.Struct):
    role: str
    content: str


class _GenerateRequest(msgspec.Struct):
    model: str
    messages: list[_Message] = msgspec.field(default_factory=list)
    prompt: str = ''
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    #: Number of tokens of the same answer that the caller already has.
    resume_from_token: int = 0


def prompt_text(messages: list[tuple[str, str]]) -> str:
    """Join messages, each a role and its content, to a prompt."""
    return '\n'.join(f'{role}: {content}' for role, content in messages)


class EngineApp:
    """A continuous-batching engine with an HTTP interface."""

    def __init__(
        self, model_name: str, curve: EngineCurve, clock: Clock, load_lag_ms: float = 100.0
    ) -> None:
        """Create an idle engine and start its stepping greenlet.

        :param load_lag_ms: age of the load that the engine reports.
        """
        self.faults = BackendFaults()
        self._model_name = model_name
        self._curve = curve
        self._clock = clock
        self._load_lag_ms = load_lag_ms
        self._engine = EngineModel(curve)
        self._queues: dict[str, SimpleQueue] = {}
        self._wake = Event()
        self._load_history: deque[tuple[float, LoadReport]] = deque()
        self._streams_count = 0
        self._crashes_count = 0
        self._runs: dict[str, int] = {}
        self._started_ms: dict[str, float] = {}
        self._ended_ms: dict[str, float] = {}
        gevent.spawn(self._run_steps)

    def chat(self) -> Any:
        """Answer ``POST /v1/chat/completions``."""
        return self._generate(chat=True)

    def complete(self) -> Any:
        """Answer ``POST /v1/completions``."""
        return self._generate(chat=False)

    def load(self) -> bytes:
        """Answer ``GET /load``."""
        as_of_ms = self._clock.now_ms() - self._load_lag_ms
        while len(self._load_history) > 1 and self._load_history[1][0] <= as_of_ms:
            self._load_history.popleft()
        report = (
            self._load_history[0][1]
            if self._load_history
            else LoadReport(0, 0, self._curve.max_running)
        )
        if self.faults.lie_running >= 0:
            report = LoadReport(self.faults.lie_running, 0, self._curve.max_running)
        if self.faults.is_leaving:
            report = msgspec.structs.replace(report, is_leaving=True)
        return msgspec.json.encode(report)

    def runs(self) -> bytes:
        """Answer ``GET /control/runs``: the number of runs of each request id."""
        return msgspec.json.encode(self._runs)

    def running(self) -> bytes:
        """Answer ``GET /control/running``: the ids of the streams in the engine."""
        return msgspec.json.encode(sorted(self._queues))

    def crashes(self) -> bytes:
        """Answer ``GET /control/crashes``: how often a prompt crashed the engine."""
        return msgspec.json.encode(self._crashes_count)

    def set_faults(self) -> bytes:
        """Answer ``PUT /control/faults``."""
        self.faults = msgspec.json.decode(bottle.request.body.read(), type=BackendFaults)
        return b'{}'

    def _generate(self, *, chat: bool) -> Any:
        try:
            request = msgspec.json.decode(bottle.request.body.read(), type=_GenerateRequest)
        except msgspec.DecodeError as error:
            return _error_answer(400, str(error))
        prompt = request.prompt
        if chat:
            prompt = prompt_text([(each.role, each.content) for each in request.messages])
        if NEVER_MARK in prompt:
            return _error_answer(422, 'the prompt cannot be answered')
        if CRASH_MARK in prompt:
            return self._crash()
        if self.faults.refuse_left > 0:
            self.faults.refuse_left -= 1
            return _error_answer(503, 'overloaded')
        request_id = bottle.request.headers.get('X-Request-Id') or f'req-{self._streams_count}'
        self._runs[request_id] = self._runs.get(request_id, 0) + 1
        answer = EngineAnswer(request.model, prompt, request_id, chat=chat)
        stream_id = self._submit(request, prompt, request_id)
        if self.faults.cut_before_answer_left > 0:
            self.faults.cut_before_answer_left -= 1
            abort_connection(bottle.request.environ)
            self._drop_stream(stream_id)
            return b''
        tokens = self._tokens(stream_id, bottle.request.environ)
        if not request.stream:
            bottle.response.content_type = 'application/json'
            return answer.complete_body(tokens)
        bottle.response.content_type = 'text/event-stream'
        return answer.frames(tokens)

    def _crash(self) -> bytes:
        self._crashes_count += 1
        if self.faults.crash_exits:
            os._exit(3)
        self._engine.drop_all()
        for queue in list(self._queues.values()):
            queue.put(None)
        abort_connection(bottle.request.environ)
        return b''

    def _submit(self, request: _GenerateRequest, prompt: str, request_id: str) -> str:
        self._streams_count += 1
        stream_id = f'{request_id}/{self._streams_count}'
        self._queues[stream_id] = SimpleQueue()
        prefix = prompt[:PREFIX_CHARS]
        self._engine.submit(
            EngineStream(
                stream_id=stream_id,
                prompt_tokens=max(1, len(prompt) // CHARS_PER_TOKEN),
                max_tokens=request.max_completion_tokens
                or request.max_tokens
                or DEFAULT_MAX_TOKENS,
                prefix_key=str(prompt_seed(prefix)),
                prefix_tokens=len(prefix) // CHARS_PER_TOKEN,
                done_tokens=request.resume_from_token,
            )
        )
        self._record_load()
        self._wake.set()
        return stream_id

    def _tokens(self, stream_id: str, environ: dict[str, Any]) -> Iterator[EngineToken]:
        cut_after = -1
        if self.faults.cut_streams_left > 0:
            self.faults.cut_streams_left -= 1
            cut_after = self.faults.cut_after_tokens
        sent = 0
        try:
            while True:
                token = self._queues[stream_id].get()
                if token is None or sent == cut_after:
                    abort_connection(environ)
                    raise ConnectionAbortedError
                yield token
                sent += 1
                if token.last:
                    return
        finally:
            self._drop_stream(stream_id)

    def _drop_stream(self, stream_id: str) -> None:
        self._queues.pop(stream_id, None)
        self._engine.cancel(stream_id)
        self._record_load()

    def _run_steps(self) -> None:
        while True:
            if self._engine.is_idle():
                self._wake.clear()
                self._wake.wait()
            began_ms = self._clock.now_ms()
            step_ms = self._engine.begin_step() + self.faults.slow_ms
            gevent.sleep(max(0.0, (began_ms + step_ms - self._clock.now_ms()) / 1e3))
            for token in self._engine.end_step():
                queue = self._queues.get(token.stream_id)
                if queue is not None:
                    queue.put(token)
            self._record_load()

    def _record_load(self) -> None:
        report = LoadReport(
            self._engine.running_count, self._engine.waiting_count, self._curve.max_running
        )
        if not self._load_history or self._load_history[-1][1] != report:
            self._load_history.append((self._clock.now_ms(), report))


def _error_answer(status: int, message: str) -> bytes:
    bottle.response.status = status
    bottle.response.content_type = 'application/json'
    return msgspec.json.encode({'error': {'message': message, 'type': 'engine_error'}})


def engine_app(
    model_name: str, curve: EngineCurve, clock: Clock, load_lag_ms: float = 100.0
) -> tuple[bottle.Bottle, EngineApp]:
    """Create the stand-in and its WSGI application."""
    engine = EngineApp(model_name, curve, clock, load_lag_ms)
    app = bottle.Bottle()
    app.post('/v1/chat/completions', callback=engine.chat)
    app.post('/v1/completions', callback=engine.complete)
    app.get('/load', callback=engine.load)
    app.get('/control/runs', callback=engine.runs)
    app.get('/control/running', callback=engine.running)
    app.get('/control/crashes', callback=engine.crashes)
    app.put('/control/faults', callback=engine.set_faults)
    return app, engine
