"""Online calls: model completions and plain services."""

from __future__ import annotations

import uuid
from collections.abc import Generator
from typing import TYPE_CHECKING, Any

import bottle
import msgspec

from citrondyke.backend.sse import DONE_FRAME
from citrondyke.decisions.at_most_once.once_result import OnceResultKind
from citrondyke.decisions.configuration.entries import ClassKind, TenantEntry
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.online.request import OnlineRequest, OnlineResult, OnlineResultKind
from citrondyke.decisions.steward import SERVICE_PREFIX
from citrondyke.entry.answers import answer_error, error_body, json_answer
from citrondyke.entry.bodies import decode_body, read_body
from citrondyke.entry.deadline import deadline_of_request
from citrondyke.entry.online_errors import error_of_end, error_of_once
from citrondyke.entry.visit import Visit
from citrondyke.errors import (
    CitrondykeError,
    InvalidFieldError,
    UnknownModelError,
    UnknownServiceError,
)
from citrondyke.ids import RequestId, TargetName
from citrondyke.util.hashing import content_hash

if TYPE_CHECKING:
    from citrondyke.decisions.at_most_once.intent_row import StoredReply
    from citrondyke.entry.front import Front

__all__ = ('OnlineEndpoint',)

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


class OnlineEndpoint:
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
        entry = self._front.instance.config_replica.current.service_entry(service)
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
        visit = Visit(self._front, request)
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

    def _serve_stream(self, request: OnlineRequest, visit: Visit) -> Any:
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

    def _serve_once(self, request: OnlineRequest, visit: Visit) -> bytes:
        """Serve a request that runs at most once; its answer is told whole, once it is stored."""
        key = bottle.request.headers.get(KEY_HEADER) or request.request_id
        if len(key) > KEY_LIMIT_CHARS:
            visit.close(None)
            raise InvalidFieldError(f'{KEY_HEADER} has more than {KEY_LIMIT_CHARS} characters')
        bottle.response.set_header(KEY_HEADER, key)
        outcome = 'ok'
        try:
            end = self._front.driver.run(self._front.instance.once.serve(request, key))
            if end.kind is not OnceResultKind.ANSWERED or end.reply is None:
                error = error_of_once(end)
                outcome = error.code
                return answer_error(error)
        finally:
            visit.close_as(outcome)
        if end.is_replay:
            bottle.response.set_header(REPLAY_HEADER, 'true')
        return _answer_stored(end.reply, is_streamed=request.is_streamed)

    def _answer(self, end: OnlineResult) -> bytes:
        if end.kind is not OnlineResultKind.ANSWERED or end.reply is None:
            return answer_error(error_of_end(end, has_begun=False))
        bottle.response.status = end.reply.status
        bottle.response.content_type = end.reply.content_type or 'application/json'
        return end.reply.body


def _frames_of_answer(
    first: bytes, frames: Generator[bytes, None, OnlineResult], visit: Visit
) -> Generator[bytes, None, None]:
    """Give out an answer; one that is cut ends with its failure, never as if it were whole."""
    end: OnlineResult | None = None
    try:
        yield first
        end = yield from frames
        if end.kind is OnlineResultKind.ANSWERED:
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
    return content_hash(prompt[:PREFIX_BYTES])
