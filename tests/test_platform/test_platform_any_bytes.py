"""Tests that any bytes from outside give a value or the one typed error."""

from __future__ import annotations

import base64
import contextlib
import math
from collections.abc import Callable
from typing import Any

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from citrondyke.decisions.membership.session_row import SessionRow
from citrondyke.errors import InvalidFieldError
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.callers.caller_request import CallerRequest
from citrondyke.gateway.http_client import HttpAnswer
from citrondyke.gateway.peers.membership import Heartbeat
from citrondyke.gateway.servers.reply_reader import ReplyHead
from citrondyke.ids import AvailabilityZone
from citrondyke.platform.dialect import PlatformDialect
from citrondyke.platform.rows import decode_config, decode_server
from citrondyke.platform.store_client import PlatformTable
from citrondyke.storage.failure import PlatformFailure
from citrondyke.util.decoding import decode_json
from tests.support.peers import server_row

ODD_NUMBERS = ('9' * 400, '9' * 4_301, '0' * 4_301, '1e400', '-1', '1.5', '1e3', 'nan', '"9"', '')
#: Texts of JSON values, which a value can't express: numbers of any length, and deep nesting.
ODD_JSON = st.sampled_from([*ODD_NUMBERS, '[' * 5_000 + ']' * 5_000, '{"a":' * 5_000, '"\\ud800"'])
PLAIN_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
).map(lambda value: msgspec.json.encode(value).decode())
JSON = ODD_JSON | PLAIN_JSON
ODD_TEXT = st.sampled_from(ODD_NUMBERS) | st.text(max_size=30) | st.integers().map(str)
ROUTE = {'name': 'r', 'hostname': 'h', 'path_prefix': '/', 'type': 'batch', 'timeout_ms': 5_000}


def with_field(entry: dict[str, Any], name: str, text: str) -> bytes:
    """Encode an object in which the text of one value is replaced."""
    fields = {**{key: msgspec.json.encode(value).decode() for key, value in entry.items()}}
    fields[name] = text
    inner = ','.join(f'"{key}":{value}' for key, value in fields.items())
    return f'{{{inner}}}'.encode('utf-8', 'replace')


def check(decode: Callable[[], object]) -> None:
    with contextlib.suppress(UnreadableBytesError):
        decode()


@given(st.sampled_from([*server_row(), 'born']), JSON)
def test_any_field_of_a_server_entry(name: str, text: str) -> None:
    check(lambda: decode_server('i-1', with_field(server_row(), name, text)))


@example('9' * 4_301)
@example('0' * 4_301)
@given(ODD_TEXT)
def test_any_port_of_a_server_entry(port: str) -> None:
    entry = server_row(address=f'10.0.0.1:{port}')
    with contextlib.suppress(UnreadableBytesError):
        assert 1 <= decode_server('i-1', msgspec.json.encode(entry)).port <= 65_535


@given(st.sampled_from([*ROUTE, 'priority', 'max_attempts', 'max_count', 'max_wait_s']), JSON)
def test_any_field_of_a_route(name: str, text: str) -> None:
    raw = b'{"version":1,"routes":[%b]}' % with_field(ROUTE, name, text)
    with contextlib.suppress(UnreadableBytesError):
        for route in decode_config(raw).routes:
            numbers = (route.timeout_ms, route.target_ms, route.item_wait_ms, route.priority)
            assert all(math.isfinite(each) for each in (*numbers, route.waiting_tokens_limit))


@given(st.sampled_from(['version', 'routes', 'limits', 'tenants']), JSON)
def test_any_field_of_a_configuration(name: str, text: str) -> None:
    check(lambda: decode_config(with_field({'version': 1, 'routes': [ROUTE]}, name, text)))


HEARTBEAT = Heartbeat('life-1', '10.0.0.1', 80, AvailabilityZone('z'), 1, 700_000)


@given(st.sampled_from(HEARTBEAT.__struct_fields__), JSON)
def test_any_field_of_a_heartbeat(name: str, text: str) -> None:
    # Other instances repeat the size of the list, and compute with it when they start.
    raw = with_field(msgspec.structs.asdict(HEARTBEAT), name, text)
    with contextlib.suppress(UnreadableBytesError):
        heartbeat = decode_json(raw, Heartbeat)
        assert -1 <= heartbeat.list_bytes <= 64 * 1024 * 1024
        assert 0 <= heartbeat.number < 2**63


@given(st.binary())
def test_any_bytes_of_a_row(raw: bytes) -> None:
    check(lambda: decode_config(raw))
    check(lambda: decode_server('i-1', raw))
    check(lambda: decode_json(raw, SessionRow))
    check(lambda: decode_json(raw, Heartbeat))


class OneAnswer:
    """Stands for the HTTP client of a store that gives one answer to every call."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def call(self, *_: object) -> HttpAnswer:
        return HttpAnswer(200, self._body)


ROW = {'table': 't', 'key': 'k', 'ver': 3, 'value': base64.b64encode(b'x').decode()}


@given(st.one_of(st.binary(), st.tuples(st.sampled_from([*ROW, 'deleted']), JSON)))
def test_any_answer_of_the_store_is_a_result_or_a_failure(answer: bytes | tuple[str, str]) -> None:
    body = (
        answer if isinstance(answer, bytes) else b'{"ver":3,"rows":[%b]}' % with_field(ROW, *answer)
    )
    table = PlatformTable(OneAnswer(body), 300.0)  # type: ignore[arg-type]
    for result in (table.read('t', ''), table.follow('t', 1, 10.0)):
        if not isinstance(result, PlatformFailure):
            assert all(0 <= row.version < 2**64 for row in result.rows)
    table.list_parts('t')


HEADERS = (b'deadline-ms', b'last-event-id', b'wait-ms', b'prefix-hash', b'attempt-id', b'resumes')


@given(
    st.sampled_from(HEADERS),
    ODD_TEXT | st.binary(max_size=40).map(lambda raw: raw.decode('latin-1')),
)
def test_any_header_of_a_caller(name: bytes, text: str) -> None:
    value = text.encode('latin-1', 'replace')
    request = CallerRequest(b'GET', b'/-/lots/j?after=' + value, [(name, value)], b'', 0.0)
    metadata = PlatformDialect().request_metadata(request)
    assert metadata.within_ms is None or math.isfinite(metadata.within_ms)
    assert metadata.last_event_id is None or 0 <= metadata.last_event_id < 2**63
    call = PlatformDialect().job_call(request)
    assert call is not None
    assert call.after is None or 0 <= call.after < 2**63
    assert math.isfinite(call.wait_ms)


@given(st.sampled_from([b'instance-load', b'response-seal', b'instance-id']), ODD_TEXT, ODD_TEXT)
def test_any_header_of_a_server(name: bytes, first: str, second: str) -> None:
    value = f'{first},{second},8,{first}'.encode('latin-1', 'replace')
    metadata = PlatformDialect().reply_metadata(ReplyHead(200, [(name, value)]), [])
    assert metadata.load is None or all(0 <= count < 10**9 for count in metadata.load)


@given(st.sampled_from(['id', 'path', 'headers', 'body', 'tokens']), JSON)
def test_any_field_of_an_item(name: str, text: str) -> None:
    item = {'id': 'i', 'path': '/x', 'headers': {}, 'body': '', 'tokens': 1}
    body = b'{"requests":[%b]}' % with_field(item, name, text)
    with contextlib.suppress(InvalidFieldError):
        assert all(0 <= item.tokens <= 10**9 for item in PlatformDialect().job_items(body))
