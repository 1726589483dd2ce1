"""The headers of callers and servers, and the shapes of the batch job calls."""

from __future__ import annotations

import base64
import binascii
import math
import re
from typing import TYPE_CHECKING
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
from citrondyke.ids import JobId, RequestId, ServerId, TenantId
from citrondyke.util.decoding import decode_json
from citrondyke.util.hashing import key_hash

if TYPE_CHECKING:
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.servers.reply_reader import ReplyHead

__all__ = ('PlatformDialect',)

ATTEMPT_HEADER = b'attempt-id'
#: How long the sender waits; a length of time, though its name says deadline.
TIMEOUT_HEADER = b'deadline-ms'
LAST_EVENT_HEADER = b'last-event-id'
PREFIX_HEADER = b'prefix-hash'
#: The server's own mark on its answer.
SEAL_HEADER = b'response-seal'
EXPECT_SERVER_HEADER = b'expect-instance'
NOT_RUN_HEADER = b'not-executed'
#: Of a server: running, waiting, slots.
LOAD_HEADER = b'instance-load'
WAIT_HEADER = b'wait-ms'
KEY_HEADER = b'x-api-key'
#: The account of the key that a request brought, for its server.
ACCOUNT_HEADER = b'tenant'
MISDIRECTED_REQUEST = 421
#: Headers that concern one connection only, and those that this instance sets anew.
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
RESULTS_PATH = '/-/lots/'
ITEMS_PATH = '/-/items/'
#: What can stand in a request's first line.
TARGET_PATTERN = re.compile(r'/[!-~]*')


class _Item(msgspec.Struct, frozen=True):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: int = 0


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
    """The platform's names on the wire."""

    def request_metadata(self, request: CallerRequest) -> RequestMetadata:
        """Read what a caller says."""
        request_id = (request.header(ATTEMPT_HEADER) or b'').decode('latin-1')
        prefix = (request.header(PREFIX_HEADER) or b'').decode('latin-1')
        # The last entry is the request's own; what stands before it is shared.
        shared = prefix.rpartition(',')[0]
        return RequestMetadata(
            request_id=RequestId(request_id),
            within_ms=_parse_float(request.header(TIMEOUT_HEADER)),
            last_event_id=_parse_int(request.header(LAST_EVENT_HEADER)),
            prefix=shared,
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
        """Make the headers of a request to a server from a caller's."""
        made = [pair for pair in _end_to_end_headers(headers) if pair[0] not in REPLACED_HEADERS]
        made.append((EXPECT_SERVER_HEADER, server_id.encode()))
        if left_ms is not None:
            made.append((TIMEOUT_HEADER, str(max(1, int(left_ms))).encode()))
        if last_event_id is not None:
            made.append((LAST_EVENT_HEADER, str(last_event_id).encode()))
        if account_id:
            made.append((ACCOUNT_HEADER, account_id.encode()))
        return made

    def reply_metadata(self, head: ReplyHead) -> ReplyMetadata:
        """Read what a server says."""
        return ReplyMetadata(
            request_id=(head.header(ATTEMPT_HEADER) or b'').decode('latin-1'),
            is_signed=head.header(SEAL_HEADER) is not None
            and head.header(b'content-encoding') is None,
            was_not_run=head.header(NOT_RUN_HEADER) is not None
            or head.status == MISDIRECTED_REQUEST,
            is_misplaced=head.status == MISDIRECTED_REQUEST,
            load=_parse_load(head.header(LOAD_HEADER)),
            pace=_parse_slowdown(head.header(LOAD_HEADER)),
        )

    def response_headers(self, head: ReplyHead) -> Headers:
        """Make the headers of an answer to a caller from a server's."""
        return _end_to_end_headers(head.headers)

    def own_response_headers(self, request_id: RequestId, retry_in_ms: float | None) -> Headers:
        """Make the headers of this instance's own answer."""
        made: Headers = [(ATTEMPT_HEADER, request_id.encode('latin-1'))]
        if retry_in_ms is not None:
            made.append((b'retry-after', f'{retry_in_ms / 1e3:.3f}'.encode()))
        return made

    def job_call(self, request: CallerRequest) -> JobCall | None:
        """Read a call about a batch job."""
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
                    after=int(after) if after.isdigit() else 0,
                    wait_ms=_parse_float(request.header(WAIT_HEADER)) or 0.0,
                )
        if path.startswith(ITEMS_PATH) and request.method == b'GET':
            return JobCall(
                kind=JobCallKind.ITEM_BODY,
                job_id=JobId(unquote(path[len(ITEMS_PATH) :])),
                item_id=query.get('id', [''])[0],
            )
        return None

    def job_items(self, body: bytes) -> list[JobItem]:
        """Read the items of a submitted job."""
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
        """Write results of a job."""
        results = [_Result(each.id, each.state.value, each.text) for each in page.results]
        return msgspec.json.encode(_Page(page.total, page.after + len(results), results))

    def item_headers(self, item: JobItem, host: str) -> Headers:
        """Make the headers that a batch item's request starts from."""
        made: Headers = [
            (b'host', host.encode('latin-1')),
            (ATTEMPT_HEADER, item.id.encode('latin-1')),
        ]
        made.extend(
            (name.lower().encode('latin-1'), value.encode('latin-1'))
            for name, value in item.headers.items()
        )
        return made


def _check_item(item: _Item) -> None:
    """Check that an item can be sent as it is.

    :raises ValueError: when it cannot.
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
    """Digest the key at once, so that its text goes no further; two keys are nobody's."""
    keys = [value for name, value in request.headers if name == KEY_HEADER]
    return key_hash(b','.join(keys).decode('latin-1')) if keys else ''


def _end_to_end_headers(headers: Headers) -> Headers:
    named: set[bytes] = set()
    for name, value in headers:
        if name == b'connection':
            named.update(part.strip().lower() for part in value.split(b','))
    return [pair for pair in headers if pair[0] not in HOP_BY_HOP_HEADERS and pair[0] not in named]


def _parse_float(value: bytes | None) -> float | None:
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def _parse_int(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None


#: Digits of a count that are read; more are no count of requests, and costly to read.
MAX_COUNT_DIGITS = 9


def _parse_load(value: bytes | None) -> tuple[int, int] | None:
    """Read the running and the waiting requests; whatever stands behind them may be odd."""
    counts = [
        _parse_int(part.strip()[:MAX_COUNT_DIGITS]) for part in (value or b'').split(b',')[:2]
    ]
    if len(counts) < 2 or counts[0] is None or counts[1] is None:  # noqa: PLR2004
        return None
    return counts[0], counts[1]


#: The figure of how long work takes stands here, in percent of the usual.
SLOWDOWN_INDEX = 3


def _parse_slowdown(value: bytes | None) -> float | None:
    parts = (value or b'').split(b',')
    if len(parts) <= SLOWDOWN_INDEX:
        return None
    percent = _parse_float(parts[SLOWDOWN_INDEX].strip())
    return math.nan if percent is None else percent / 100.0
