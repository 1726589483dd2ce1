"""Online calls: model completions and plain services."""

from __future__ import annotations

import uuid
from collections.abc import Generator
from typing import TYPE_CHECKING, Any

import bottle
import logbook
import msgspec

from citrondyke.backend.sse import DONE_FRAME
from citrondyke.decisions.configuration.entries import ClassEntry, ClassKind, TenantEntry
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.evidence.record import OutcomeRecord, RecordKind
from citrondyke.decisions.once.once_desk import OnceEndKind
from citrondyke.decisions.online.request import OnlineEnd, OnlineEndKind, OnlineRequest
from citrondyke.decisions.steward import SERVICE_PREFIX
from citrondyke.entry.answers import answer_error, error_body, json_answer
from citrondyke.entry.bodies import decode_body, read_body
from citrondyke.entry.deadline import deadline_of_request
from citrondyke.entry.online_errors import error_of_end, error_of_once
from citrondyke.errors import (
    CitrondykeError,
    InvalidFieldError,
    UnknownModelError,
    UnknownServiceError,
)
from citrondyke.ids import RequestId, TargetName
from citrondyke.operator.measures import RequestSample
from citrondyke.util.hashing import content_bucket

if TYPE_CHECKING:
    from citrondyke.decisions.once.intent_row import StoredReply
    from citrondyke.entry.front import Front

__all__ = ('OnlineDoor',)

log = logbook.Logger(__name__)

CLASS_HEADER = 'Citrondyke-Class'
REPEATABLE_HEADER = 'Citrondyke-Repeatable'
KEY_HEADER = 'Idempotency-Key'
REQUEST_HEADER = 'X-Request-Id'
REPLAY_HEADER = 'Idempotent-Replayed'
EVENT_STREAM = 'text/event-stream'
KEY_LIMIT_CHARS = 255
#: Prompts that begin with the same bytes are sent to the same servers, from this length on.
PREFIX_BYTES = 512
PASSED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')


class _Fields(msgspec.Struct):
    """The fields of a request that the instance reads; all go to the engine as they are."""

    model: str
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()
    stream: bool = False
    n: int = 1


class OnlineDoor:
    """Answers online calls."""

    def __init__(self, front: Front) -> None:
        """Use the instance behind ``front``."""
        self._front = front

    def chat(self) -> Any:
        """Answer ``POST /v1/chat/completions``."""
        return self._generate('/v1/chat/completions', 'messages')

    def complete(self) -> Any:
        """Answer ``POST /v1/completions``."""
        return self._generate('/v1/completions', 'prompt')

    def models(self) -> bytes:
        """Answer ``GET /v1/models``."""
        self._front.tenant(bottle.request.headers.get('Authorization'))
        names = [
            target
            for target in self._front.instance.fleet.targets()
            if not target.startswith(SERVICE_PREFIX)
        ]
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'citrondyke'}
            for name in names
        ]
        return json_answer({'object': 'list', 'data': models})

    def service(self, service: str, path: str) -> Any:
        """Answer any method on ``/services/<service>/<path>``."""
        tenant = self._front.tenant(bottle.request.headers.get('Authorization'))
        body = self._read()
        entry = self._front.instance.keeper.current.service_entry(service)
        target = TargetName(SERVICE_PREFIX + service)
        if entry is None or self._front.instance.fleet.target(target) is None:
            raise UnknownServiceError(f'there is no service {service!r}')
        query = bottle.request.query_string
        full_path = f'/{path}?{query}' if query else f'/{path}'
        request = self._request(tenant, target, full_path, body, is_streamed=False, bucket=None)
        return self._serve(request)

    def _generate(self, path: str, prompt_field: str) -> Any:
        tenant = self._front.tenant(bottle.request.headers.get('Authorization'))
        body = self._read()
        fields = decode_body(body, _Fields)
        prompt = fields.messages if prompt_field == 'messages' else fields.prompt
        if not bytes(prompt):
            raise InvalidFieldError(f'{prompt_field} is missing')
        if fields.n != 1:
            raise InvalidFieldError('n may only be 1: an answer must be resumable')
        target = TargetName(fields.model)
        is_served = self._front.instance.fleet.target(target) is not None
        if not is_served or target.startswith(SERVICE_PREFIX):
            raise UnknownModelError(f'no backend server serves {fields.model!r}')
        request = self._request(
            tenant, target, path, body, is_streamed=fields.stream, bucket=_bucket(bytes(prompt))
        )
        return self._serve(request)

    def _read(self) -> bytes:
        limits = self._front.settings.limits
        return read_body(limits.body_bytes, limits.body_within_ms)

    def _request(
        self,
        tenant: TenantEntry,
        target: TargetName,
        path: str,
        body: bytes,
        *,
        is_streamed: bool,
        bucket: int | None,
    ) -> OnlineRequest:
        headers = bottle.request.headers
        front = self._front
        wanted = front.class_of(headers.get(CLASS_HEADER), tenant.online_class, ClassKind.ONLINE)
        key = headers.get(KEY_HEADER)
        passed = [(name, headers[name]) for name in PASSED_HEADERS if name in headers]
        if key:
            passed.append((KEY_HEADER, key))
        return OnlineRequest(
            request_id=RequestId(uuid.uuid4().hex),
            tenant_id=tenant.id,
            class_name=wanted.name,
            target=target,
            method=bottle.request.method,
            path=path,
            headers=tuple(passed),
            body=body,
            is_streamed=is_streamed,
            is_model=not target.startswith(SERVICE_PREFIX),
            is_repeatable=self._is_repeatable(target),
            prefix_bucket=bucket,
            first_token_target_ms=wanted.first_token_target_ms,
            deadline_ms=deadline_of_request(front.clock, front.settings.limits.online_within_ms),
            cancel=Signal(),
        )

    def _is_repeatable(self, target: TargetName) -> bool:
        """Take the service's word; a caller can only make it stricter."""
        stated = bottle.request.headers.get(REPEATABLE_HEADER, 'yes').lower()
        if stated not in ('yes', 'no'):
            raise InvalidFieldError(f'{REPEATABLE_HEADER} is yes or no')
        return stated == 'yes' and self._front.instance.is_repeatable(target)

    def _serve(self, request: OnlineRequest) -> Any:
        bottle.response.set_header(REQUEST_HEADER, request.request_id)
        visit = _Visit(self._front, request)
        if not request.is_repeatable:
            return self._serve_once(request, visit)
        if request.is_streamed:
            return self._serve_stream(request, visit)
        end = None
        try:
            end = self._front.driver.run(self._front.instance.online.serve(request))
        finally:
            visit.close(end)
        return self._answer(end)

    def _serve_stream(self, request: OnlineRequest, visit: _Visit) -> Any:
        frames = self._front.driver.stream(self._front.instance.online.serve(request))
        try:
            first = next(frames)
        except StopIteration as stop:
            visit.close(stop.value)
            return self._answer(stop.value)
        except BaseException:
            visit.close(None)
            raise
        bottle.response.content_type = EVENT_STREAM
        bottle.response.set_header('Cache-Control', 'no-cache')
        return _frames_of_answer(first, frames, visit)

    def _serve_once(self, request: OnlineRequest, visit: _Visit) -> bytes:
        """Serve a request that runs at most once; its answer is told whole, once it is stored."""
        key = bottle.request.headers.get(KEY_HEADER) or request.request_id
        if len(key) > KEY_LIMIT_CHARS:
            visit.close(None)
            raise InvalidFieldError(f'{KEY_HEADER} has more than {KEY_LIMIT_CHARS} characters')
        bottle.response.set_header(KEY_HEADER, key)
        outcome = 'ok'
        try:
            end = self._front.driver.run(self._front.instance.once.serve(request, key))
            if end.kind is not OnceEndKind.ANSWERED or end.reply is None:
                error = error_of_once(end)
                outcome = error.code
                return answer_error(error)
        finally:
            visit.close_as(outcome)
        if end.is_replay:
            bottle.response.set_header(REPLAY_HEADER, 'true')
        return _answer_stored(end.reply, is_streamed=request.is_streamed)

    def _answer(self, end: OnlineEnd) -> bytes:
        if end.kind is not OnlineEndKind.ANSWERED or end.reply is None:
            return answer_error(error_of_end(end, has_begun=False))
        bottle.response.status = end.reply.status
        bottle.response.content_type = end.reply.content_type or 'application/json'
        return end.reply.body


class _Visit:
    """Measures one request from its acceptance to its end."""

    def __init__(self, front: Front, request: OnlineRequest) -> None:
        self._front = front
        self._request = request
        self._began_ms = front.clock.now_ms()
        self._is_open = True
        front.open_calls += 1

    def close(self, end: OnlineEnd | None) -> None:
        """Record how it ended; ``None`` when the caller went away or we failed."""
        if end is None:
            self.close_as('caller_gone')
            return
        if end.kind is OnlineEndKind.ANSWERED and end.reply is not None:
            outcome = 'ok' if end.reply.status < 400 else f'status_{end.reply.status}'  # noqa: PLR2004
            self.close_as(outcome, end)
            return
        self.close_as(error_of_end(end, has_begun=end.frames_count > 0).code, end)

    def close_as(self, outcome: str, end: OnlineEnd | None = None) -> None:
        """Record an outcome; the first one stands."""
        if not self._is_open:
            return
        self._is_open = False
        front, request = self._front, self._request
        front.open_calls -= 1
        total_ms = front.clock.now_ms() - self._began_ms
        first_ms = end.first_frame_ms if end is not None else None
        entry = front.instance.keeper.current.class_entry(request.class_name)
        sample = RequestSample(
            tenant_id=request.tenant_id,
            class_name=request.class_name,
            outcome=outcome,
            total_ms=total_ms,
            first_token_ms=first_ms if request.is_streamed else None,
            tokens_count=end.frames_count if end is not None else 0,
            is_kept=_is_kept(entry, request, outcome, end, total_ms),
        )
        front.measures.add(sample)
        self._record(sample)
        if front.settings.logs.requests:
            log.info(
                'request ended',
                extra={
                    'tenant': request.tenant_id,
                    'class': request.class_name,
                    'request_id': request.request_id,
                    'target': request.target,
                    'outcome': outcome,
                    'total_ms': round(total_ms, 2),
                    'attempts': end.attempts if end is not None else 0,
                },
            )

    def _record(self, sample: RequestSample) -> None:
        """Write the outcome down for whoever asks for evidence."""
        front, request = self._front, self._request
        now_ms = front.clock.now_ms()
        front.instance.journal.add(
            OutcomeRecord(
                at_epoch_ms=front.clock.epoch_ms(),
                kind=RecordKind.ONLINE if request.is_repeatable else RecordKind.ONCE,
                tenant_id=request.tenant_id,
                class_name=request.class_name,
                target=request.target,
                request_id=request.request_id,
                outcome=sample.outcome,
                is_kept=sample.is_kept,
                first_token_ms=sample.first_token_ms,
                total_ms=sample.total_ms,
                prompt_bytes=len(request.body),
                tokens_count=sample.tokens_count,
                within_ms=request.deadline_ms - now_ms + sample.total_ms,
            )
        )


def _is_kept(
    entry: ClassEntry | None,
    request: OnlineRequest,
    outcome: str,
    end: OnlineEnd | None,
    total_ms: float,
) -> bool | None:
    """Judge a request by its class's target; a failure is a target missed."""
    if entry is None or not request.is_model:
        return None
    if outcome != 'ok' or end is None:
        return False if outcome != 'caller_gone' else None
    if not request.is_streamed or end.first_frame_ms is None:
        return None
    if end.first_frame_ms > entry.first_token_target_ms:
        return False
    gaps = max(1, end.frames_count - 1)
    return (total_ms - end.first_frame_ms) / gaps <= entry.token_gap_target_ms


def _frames_of_answer(
    first: bytes, frames: Generator[bytes, None, OnlineEnd], visit: _Visit
) -> Generator[bytes, None, None]:
    """Give out an answer; one that is cut ends with its failure, never as if it were whole."""
    end: OnlineEnd | None = None
    try:
        yield first
        end = yield from frames
        if end.kind is OnlineEndKind.ANSWERED:
            yield DONE_FRAME
            return
        yield _error_frame(error_of_end(end, has_begun=True))
    finally:
        frames.close()
        visit.close(end)


def _error_frame(error: CitrondykeError) -> bytes:
    return b'data: ' + msgspec.json.encode(error_body(error)) + b'\n\n'


def _answer_stored(reply: StoredReply, *, is_streamed: bool) -> bytes:
    bottle.response.status = reply.status
    bottle.response.content_type = reply.content_type or 'application/json'
    if is_streamed and reply.content_type.startswith(EVENT_STREAM):
        return reply.body + DONE_FRAME
    return reply.body


def _bucket(prompt: bytes) -> int | None:
    if len(prompt) < PREFIX_BYTES:
        return None
    return content_bucket(prompt[:PREFIX_BYTES])
