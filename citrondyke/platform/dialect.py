"""Headers of callers and servers, and formats of the batch job calls."""

from __future__ import annotations

import base64
import binascii
import math
import re
from typing import TYPE_CHECKING, Annotated
from urllib.parse import parse_qs, unquote

import msgspec

from citrondyke.decisions.batch.job import JobItem
from citrondyke.errors import InvalidFieldError
from citrondyke.gateway.dialect import (
    Dialect,
    JobCall,
    JobCallKind,
    JobPage,
    ReplyMetadata,
    RequestMetadata,
)
from citrondyke.gateway.http_head import check_headers
from citrondyke.ids import JobId, PromptPart, RequestId, ServerId, TenantId
from citrondyke.util.decoding import decode_json
from citrondyke.util.hashing import key_hash
from citrondyke.util.numbers import parse_count, parse_decimal

if TYPE_CHECKING:
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.servers.reply_reader import ReplyHead

__all__ = ('PlatformDialect',)

ATTEMPT_HEADER = b'attempt-id'
#: How long the sender waits: a duration in ms, despite the name of the header.
TIMEOUT_HEADER = b'deadline-ms'
LAST_EVENT_HEADER = b'last-event-id'
#: Request that brought the first event of the stream that a caller resumes.
BEGUN_BY_HEADER = b'resumes'
PREFIX_HEADER = b'prefix-hash'
#: Mark by which a server signs its own responses.
SEAL_HEADER = b'response-seal'
EXPECT_SERVER_HEADER = b'expect-instance'
NOT_RUN_HEADER = b'not-executed'
#: A server's load: running requests, waiting requests, slots, service time in percent.
LOAD_HEADER = b'instance-load'
WAIT_HEADER = b'wait-ms'
KEY_HEADER = b'x-api-key'
#: Tells the server which account the request's key belongs to.
ACCOUNT_HEADER = b'tenant'
#: A server answers ``MISDIRECTED_REQUEST`` also if its weights have another version than this one.
EXPECT_WEIGHTS_HEADER = b'expect-version'
#: Id of the server that answers.
SERVER_HEADER = b'instance-id'
MISDIRECTED_REQUEST = 421
#: Headers that apply to a single connection, and those that this instance sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
REPLACED_HEADERS = frozenset(
    (TIMEOUT_HEADER, EXPECT_SERVER_HEADER, LAST_EVENT_HEADER, KEY_HEADER, ACCOUNT_HEADER)
)
#: Headers of an item's request that its job and its id determine.
ITEM_OWN_HEADERS = frozenset((b'host', ATTEMPT_HEADER))
RESULTS_PATH = '/-/lots/'
ITEMS_PATH = '/-/items/'
#: Request targets that can be sent in a request line.
TARGET_PATTERN = re.compile(r'/[!-~]*')


#: Tokens of an item: the sums of a backlog remain exact, as integers and as floats.
TokensCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class _Item(msgspec.Struct, frozen=True):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: TokensCount = 0


class _Job(msgspec.Struct, frozen=True):
    requests: list[_Item]


class _Result(msgspec.Struct, frozen=True):
    id: str
    state: str
    text: str


class _Page(msgspec.Struct, frozen=True):
    total: int
    next: int
    results: list[_Result]


class PlatformDialect(Dialect):
    """Translates the headers and job calls of the platform."""

    def request_metadata(self, request: CallerRequest) -> RequestMetadata:
        """Read the metadata of a request from its headers."""
        request_id = (request.header(ATTEMPT_HEADER) or b'').decode('latin-1')
        prefix = (request.header(PREFIX_HEADER) or b'').decode('latin-1')
        begun_by = (request.header(BEGUN_BY_HEADER) or b'').decode('latin-1')
        last_event = request.header(LAST_EVENT_HEADER) or b''
        shared = _shared_prefix(prefix)
        return RequestMetadata(
            request_id=RequestId(request_id),
            within_ms=_parse_duration_ms(request.header(TIMEOUT_HEADER)),
            last_event_id=parse_count(last_event),
            has_invalid_event_id=bool(last_event) and parse_count(last_event) is None,
            begun_by=RequestId(begun_by) if begun_by else None,
            prefix=shared,
            prompt_parts=_prompt_parts(shared),
            key_digest=_key_digest(request),
        )

    def server_headers(
        self,
        headers: Headers,
        server_id: ServerId,
        left_ms: float | None,
        last_event_id: int | None,
        account_id: TenantId,
    ) -> Headers:
        """Derive the headers of a request to a server from those of the caller."""
        result = [pair for pair in _end_to_end_headers(headers) if pair[0] not in REPLACED_HEADERS]
        result.append((EXPECT_SERVER_HEADER, server_id.encode()))
        if left_ms is not None:
            result.append((TIMEOUT_HEADER, str(max(1, int(left_ms))).encode()))
        if last_event_id is not None:
            result.append((LAST_EVENT_HEADER, str(last_event_id).encode()))
        if account_id:
            result.append((ACCOUNT_HEADER, account_id.encode()))
        return result

    def reply_metadata(self, head: ReplyHead, sent: Headers) -> ReplyMetadata:
        """Read the metadata of a reply from its headers and status."""
        return ReplyMetadata(
            request_id=self.response_id(head),
            is_signed=head.header(SEAL_HEADER) is not None
            and head.header(b'content-encoding') is None,
            was_not_run=head.header(NOT_RUN_HEADER) is not None
            or head.status == MISDIRECTED_REQUEST,
            is_misplaced=head.status == MISDIRECTED_REQUEST and _is_other_server(head, sent),
            load=_parse_load(head.header(LOAD_HEADER)),
            pace=_parse_slowdown(head.header(LOAD_HEADER)),
        )

    def response_id(self, head: ReplyHead) -> str:
        """Read the id of the request that a response belongs to; empty if it states none."""
        return (head.header(ATTEMPT_HEADER) or b'').decode('latin-1')

    def response_headers(self, head: ReplyHead) -> Headers:
        """Derive the headers of a response to a caller from those of the server."""
        return _end_to_end_headers(head.headers)

    def own_response_headers(self, request_id: RequestId, retry_in_ms: float | None) -> Headers:
        """Build the headers of a response that this instance creates itself."""
        result: Headers = [(ATTEMPT_HEADER, request_id.encode('latin-1'))]
        if retry_in_ms is not None:
            result.append((b'retry-after', f'{retry_in_ms / 1e3:.3f}'.encode()))
        return result

    def job_call(self, request: CallerRequest) -> JobCall | None:
        """Parse a call about a batch job; return ``None`` for any other request."""
        path = request.path
        query = parse_qs(request.target.partition(b'?')[2].decode('latin-1'))
        if path.startswith(RESULTS_PATH):
            job_id = JobId(unquote(path[len(RESULTS_PATH) :]))
            if request.method == b'DELETE':
                return JobCall(kind=JobCallKind.END, job_id=job_id)
            if request.method == b'GET':
                after = query.get('after', ['0'])[0]
                return JobCall(
                    kind=JobCallKind.READ,
                    job_id=job_id,
                    after=parse_count(after),
                    wait_ms=_parse_duration_ms(request.header(WAIT_HEADER)) or 0.0,
                )
        if path.startswith(ITEMS_PATH) and request.method == b'GET':
            return JobCall(
                kind=JobCallKind.ITEM_BODY,
                job_id=JobId(unquote(path[len(ITEMS_PATH) :])),
                item_id=query.get('id', [''])[0],
            )
        return None

    def job_items(self, body: bytes) -> list[JobItem]:
        """Decode the items of a submitted job.

        :raises InvalidFieldError: when the body or one of its items is invalid.
        """
        try:
            job = decode_json(body, _Job)
            for item in job.requests:
                _check_item(item)
            return [
                JobItem(
                    id=item.id,
                    path=item.path,
                    headers=item.headers,
                    body=base64.b64decode(item.body, validate=True),
                    tokens=item.tokens,
                )
                for item in job.requests
            ]
        except (ValueError, binascii.Error) as error:
            raise InvalidFieldError(f'requests: {error}') from error

    def job_page(self, page: JobPage) -> bytes:
        """Encode a page of results of a job."""
        results = [_Result(result.id, result.state.value, result.text) for result in page.results]
        return msgspec.json.encode(_Page(page.total, page.after + len(results), results))

    def item_headers(self, item: JobItem, host: str) -> Headers:
        """Build the initial headers of the request of a batch item."""
        result: Headers = [
            (b'host', host.encode('latin-1')),
            (ATTEMPT_HEADER, item.id.encode('latin-1')),
        ]
        # A second host or id would make the request ambiguous, so that no server ever ran the item.
        result.extend(
            (name, value.encode('latin-1'))
            for text, value in item.headers.items()
            if (name := text.lower().encode('latin-1')) not in ITEM_OWN_HEADERS
        )
        return result

    def item_prompt_parts(self, item: JobItem) -> tuple[PromptPart, ...]:
        """Read the parts of a batch item's prompt that other requests may share, in order."""
        name = PREFIX_HEADER.decode()
        prefix = next((value for key, value in item.headers.items() if key.lower() == name), '')
        return _prompt_parts(_shared_prefix(prefix))


def _is_other_server(head: ReplyHead, sent: Headers) -> bool:
    """Return whether a misdirected request reached another server than the expected one.

    A server that does not state its id may only lack the weights that the caller expects.
    """
    names = dict(sent)
    stated = head.header(SERVER_HEADER)
    if stated is not None:
        return stated != names.get(EXPECT_SERVER_HEADER)
    return EXPECT_WEIGHTS_HEADER not in names


def _shared_prefix(prefix: str) -> str:
    """Leave out the last entry, which belongs to one request or session only."""
    return prefix.rpartition(',')[0]


def _prompt_parts(shared: str) -> tuple[PromptPart, ...]:
    """Return the ids of comma-separated ``ID:TOKENS`` entries."""
    if not shared:
        return ()
    ids = [entry.partition(':')[0].strip().lower() for entry in shared.split(',')]
    return tuple(PromptPart(part) for part in dict.fromkeys(ids) if part)


def _check_item(item: _Item) -> None:
    """Check that the id, headers and path of an item are valid in a request.

    :raises ValueError: when one of them is not.
    """
    check_headers(
        [
            (ATTEMPT_HEADER, item.id.encode('latin-1')),
            *(
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in item.headers.items()
            ),
        ]
    )
    if not TARGET_PATTERN.fullmatch(item.path):
        raise InvalidFieldError(f'path: {item.path[:80]!r}')


def _key_digest(request: CallerRequest) -> str:
    """Return the digest of the API key, so that the key itself is not passed on.

    Several keys are joined into a text that matches no account.
    """
    keys = [value for name, value in request.headers if name == KEY_HEADER]
    return key_hash(b','.join(keys).decode('latin-1')) if keys else ''


def _end_to_end_headers(headers: Headers) -> Headers:
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name == b'connection':
            connection_options.update(part.strip().lower() for part in value.split(b','))
    return [
        pair
        for pair in headers
        if pair[0] not in HOP_BY_HOP_HEADERS and pair[0] not in connection_options
    ]


#: Longer durations count as this one, whose end is far beyond that of any request.
MAX_DURATION_MS = 86_400_000.0
#: Durations outside of this range are as unreadable as any other text.
DURATION_RANGE_MS = 1e15


def _parse_duration_ms(value: bytes | None) -> float | None:
    """Parse a duration; ``None`` if there is none, or no finite number.

    Deadlines are computed from it, and one that is not a number would never pass.
    """
    duration_ms = parse_decimal(value or b'', -DURATION_RANGE_MS, DURATION_RANGE_MS)
    return None if duration_ms is None else min(duration_ms, MAX_DURATION_MS)


#: Digits of a count that are parsed; no count of requests has more.
MAX_COUNT_DIGITS = 9


def _parse_load(value: bytes | None) -> tuple[int, int] | None:
    """Parse the counts of running and waiting requests; ignore the other parts."""
    counts = [
        parse_count(part.strip()[:MAX_COUNT_DIGITS]) for part in (value or b'').split(b',')[:2]
    ]
    if len(counts) < 2 or counts[0] is None or counts[1] is None:  # noqa: PLR2004
        return None
    return counts[0], counts[1]


#: Index of the part that holds the service time, in percent of the typical one.
SLOWDOWN_INDEX = 3
MAX_PERCENT = 1e9


def _parse_slowdown(value: bytes | None) -> float | None:
    parts = (value or b'').split(b',')
    if len(parts) <= SLOWDOWN_INDEX:
        return None
    percent = parse_decimal(parts[SLOWDOWN_INDEX].strip(), 0.0, MAX_PERCENT)
    return math.nan if percent is None else percent / 100.0
