"""Endpoints for online requests to models and plain services."""

from __future__ import annotations

import uuid
from collections.abc import Generator
from typing import TYPE_CHECKING, Any

import bottle
import logbook
import msgspec

from citrondyke.backend.sse import DONE_EVENT
from citrondyke.decisions.at_most_once.once_result import OnceResultKind
from citrondyke.decisions.configuration.entries import ClassKind, TenantEntry
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.crashes.chat_parts import prompt_parts
from citrondyke.decisions.online.request import OnlineRequest, OnlineResult, OnlineResultKind
from citrondyke.decisions.steward import SERVICE_PREFIX
from citrondyke.entry.bodies import decode_body, read_body
from citrondyke.entry.deadline import request_deadline_ms
from citrondyke.entry.online_errors import error_for_once_result, error_for_result
from citrondyke.entry.request_recorder import RequestRecorder
from citrondyke.entry.responses import error_body, error_response, json_response
from citrondyke.entry.server import end_with_connection
from citrondyke.errors import (
    CitrondykeError,
    InvalidFieldError,
    UnknownModelError,
    UnknownServiceError,
)
from citrondyke.ids import PromptPart, RequestId, TargetName
from citrondyke.util.hashing import content_hash
from citrondyke.util.media_type import is_event_stream

if TYPE_CHECKING:
    from citrondyke.decisions.at_most_once.intent_row import StoredReply
    from citrondyke.entry.entry_context import EntryContext

__all__ = ('OnlineEndpoint', 'stored_response')

log = logbook.Logger(__name__)

CLASS_HEADER = 'Citrondyke-Class'
REPEATABLE_HEADER = 'Citrondyke-Repeatable'
KEY_HEADER = 'Idempotency-Key'
REQUEST_HEADER = 'X-Request-Id'
REPLAY_HEADER = 'Idempotent-Replayed'
EVENT_STREAM = 'text/event-stream'
KEY_LIMIT_CHARS = 255
#: Prompts of at least this length that share their first bytes go to the same servers.
PREFIX_BYTES = 512
FORWARDED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')


class _GenerationFields(msgspec.Struct):
    """The request fields that the instance reads; the engine receives the body unchanged."""

    model: str
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()
    stream: bool = False
    n: int = 1


class OnlineEndpoint:
    """Handles online requests."""

    def __init__(self, context: EntryContext) -> None:
        """Initialize the endpoint."""
        self._context = context

    def chat(self) -> Any:
        """Answer ``POST /v1/chat/completions``."""
        return self._generate('/v1/chat/completions', 'messages')

    def complete(self) -> Any:
        """Answer ``POST /v1/completions``."""
        return self._generate('/v1/completions', 'prompt')

    def models(self) -> bytes:
        """Answer ``GET /v1/models``."""
        self._context.authenticate_tenant(bottle.request.headers.get('Authorization'))
        names = [
            target
            for target in self._context.instance.fleet.targets()
            if not target.startswith(SERVICE_PREFIX)
        ]
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'citrondyke'}
            for name in names
        ]
        return json_response({'object': 'list', 'data': models})

    def service(self, service: str, path: str) -> Any:
        """Answer any method on ``/services/<service>/<path>``."""
        tenant = self._context.authenticate_tenant(bottle.request.headers.get('Authorization'))
        body = self._read_body()
        entry = self._context.instance.config_replica.current.service_entry(service)
        target = TargetName(SERVICE_PREFIX + service)
        if entry is None or self._context.instance.fleet.target(target) is None:
            raise UnknownServiceError(f'service {service!r} does not exist')
        query = bottle.request.query_string
        full_path = f'/{path}?{query}' if query else f'/{path}'
        request = self._build_request(
            tenant, target, full_path, body, is_streamed=False, bucket=None
        )
        return self._serve(request)

    def _generate(self, path: str, prompt_field: str) -> Any:
        tenant = self._context.authenticate_tenant(bottle.request.headers.get('Authorization'))
        body = self._read_body()
        fields = decode_body(body, _GenerationFields)
        prompt = fields.messages if prompt_field == 'messages' else fields.prompt
        if not bytes(prompt):
            raise InvalidFieldError(f'{prompt_field} is missing')
        if fields.n != 1:
            raise InvalidFieldError('n must be 1: only a single choice can be resumed')
        target = TargetName(fields.model)
        is_served = self._context.instance.fleet.target(target) is not None
        if not is_served or target.startswith(SERVICE_PREFIX):
            raise UnknownModelError(f'no backend server serves {fields.model!r}')
        request = self._build_request(
            tenant,
            target,
            path,
            body,
            is_streamed=fields.stream,
            bucket=_prefix_bucket(bytes(prompt)),
            parts=prompt_parts(bytes(prompt)),
        )
        return self._serve(request)

    def _read_body(self) -> bytes:
        limits = self._context.settings.limits
        return read_body(limits.body_bytes, limits.body_within_ms)

    def _build_request(
        self,
        tenant: TenantEntry,
        target: TargetName,
        path: str,
        body: bytes,
        *,
        is_streamed: bool,
        bucket: int | None,
        parts: tuple[PromptPart, ...] = (),
    ) -> OnlineRequest:
        headers = bottle.request.headers
        context = self._context
        class_entry = context.find_class(
            headers.get(CLASS_HEADER), tenant.online_class, ClassKind.ONLINE
        )
        key = headers.get(KEY_HEADER)
        forwarded = [(name, headers[name]) for name in FORWARDED_HEADERS if name in headers]
        if key:
            forwarded.append((KEY_HEADER, key))
        return OnlineRequest(
            request_id=RequestId(uuid.uuid4().hex),
            tenant_id=tenant.id,
            class_name=class_entry.name,
            target=target,
            method=bottle.request.method,
            path=path,
            headers=tuple(forwarded),
            body=body,
            is_streamed=is_streamed,
            is_model=not target.startswith(SERVICE_PREFIX),
            is_repeatable=self._is_repeatable(target),
            prefix_bucket=bucket,
            prompt_parts=parts,
            first_token_target_ms=class_entry.first_token_target_ms,
            deadline_ms=request_deadline_ms(
                context.clock, context.settings.limits.online_within_ms
            ),
            cancel=Signal(),
        )

    def _is_repeatable(self, target: TargetName) -> bool:
        """Return whether the request may be repeated.

        The service's configuration decides; a caller can only forbid repeats.
        """
        header = bottle.request.headers.get(REPEATABLE_HEADER, 'yes').lower()
        if header not in ('yes', 'no'):
            raise InvalidFieldError(f'{REPEATABLE_HEADER} must be yes or no')
        return header == 'yes' and self._context.instance.is_repeatable(target)

    def _serve(self, request: OnlineRequest) -> Any:
        bottle.response.set_header(REQUEST_HEADER, request.request_id)
        recorder = RequestRecorder(self._context, request)
        if not request.is_repeatable:
            return self._serve_at_most_once(request, recorder)
        if request.is_streamed:
            return self._serve_stream(request, recorder)
        result = None
        try:
            result = self._context.driver.run(self._context.instance.online.serve(request))
        finally:
            recorder.close(result)
        return self.respond(result)

    def _serve_stream(self, request: OnlineRequest, recorder: RequestRecorder) -> Any:
        events = self._context.driver.stream(self._context.instance.online.serve(request))
        try:
            first = next(events)
        except StopIteration as stop:
            recorder.close(stop.value)
            return self.respond(stop.value)
        except BaseException:
            recorder.close(None)
            raise
        bottle.response.content_type = EVENT_STREAM
        bottle.response.set_header('Cache-Control', 'no-cache')
        return _stream_events(first, events, recorder)

    def _serve_at_most_once(self, request: OnlineRequest, recorder: RequestRecorder) -> bytes:
        """Serve a request that must not be repeated, and return its response once it is stored."""
        key = bottle.request.headers.get(KEY_HEADER) or request.request_id
        if len(key) > KEY_LIMIT_CHARS:
            recorder.close(None)
            raise InvalidFieldError(f'{KEY_HEADER} has more than {KEY_LIMIT_CHARS} characters')
        bottle.response.set_header(KEY_HEADER, key)
        outcome = 'ok'
        try:
            result = self._context.driver.run(self._context.instance.once.serve(request, key))
            if result.kind is not OnceResultKind.ANSWERED or result.reply is None:
                error = error_for_once_result(result)
                outcome = error.code
                return error_response(error)
        finally:
            recorder.close_with_outcome(outcome)
        if result.is_replay:
            bottle.response.set_header(REPLAY_HEADER, 'true')
        return stored_response(result.reply, is_streamed=request.is_streamed)

    def respond(self, result: OnlineResult) -> bytes:
        """Return the response of an online request."""
        if result.kind is not OnlineResultKind.ANSWERED or result.reply is None:
            return error_response(error_for_result(result, has_begun=False))
        bottle.response.status = result.reply.status
        bottle.response.content_type = result.reply.content_type or 'application/json'
        if result.reply.ends_with_connection:
            _leave_unframed(len(result.reply.body))
        return result.reply.body


def _stream_events(
    first: bytes, events: Generator[bytes, None, OnlineResult], recorder: RequestRecorder
) -> Generator[bytes, None, None]:
    """Yield the events of a response.

    An interrupted response ends with an error event and without the closing event, so that the
    caller does not take it for complete.
    """
    result: OnlineResult | None = None
    try:
        yield first
        result = yield from events
        if result.kind is OnlineResultKind.ANSWERED:
            yield DONE_EVENT
            return
        yield _error_event(error_for_result(result, has_begun=True))
    finally:
        events.close()
        recorder.close(result)


def _error_event(error: CitrondykeError) -> bytes:
    return b'data: ' + msgspec.json.encode(error_body(error)) + b'\n\n'


def _leave_unframed(size_bytes: int) -> None:
    """Have the response end with its connection, as did that of the server."""
    end_with_connection(bottle.request.environ)
    bottle.response.set_header('Connection', 'close')
    log.info(
        'answer without a length',
        extra={
            'request_id': bottle.response.headers.get(REQUEST_HEADER, ''),
            'status': bottle.response.status_code,
            'size_bytes': size_bytes,
        },
    )


def stored_response(reply: StoredReply, *, is_streamed: bool) -> bytes:
    """Return the response of a request whose answer was stored."""
    bottle.response.status = reply.status
    bottle.response.content_type = reply.content_type or 'application/json'
    if reply.ends_with_connection:
        _leave_unframed(len(reply.body))
    if is_streamed and is_event_stream(reply.content_type):
        return reply.body + DONE_EVENT
    return reply.body


def _prefix_bucket(prompt: bytes) -> int | None:
    if len(prompt) < PREFIX_BYTES:
        return None
    return content_hash(prompt[:PREFIX_BYTES])
