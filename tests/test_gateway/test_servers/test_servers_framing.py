"""Tests that a response's body is exactly what was sent, however its head states the framing."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers.reply_reader import ReplyHead, ReplyReader

PAYLOAD = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
CHUNKS = b'f\r\n' + PAYLOAD[:15] + b'\r\nf\r\n' + PAYLOAD[15:] + b'\r\n0\r\n\r\n'
CODING = b'Transfer-Encoding'
LENGTH = b'Content-Length'

codings = st.lists(st.sampled_from([b'chunked', b'Chunked', b'identity', b'gzip', b'', b'"x']))
spaces = st.sampled_from([b'', b' ', b'\t', b' \t ', b'  '])
coding_values = st.tuples(spaces, codings.map(b', '.join), spaces).map(b''.join)
length_values = st.tuples(spaces, st.sampled_from([b'30', b'030', b'+30']), spaces).map(b''.join)
header_lines = st.one_of(
    st.tuples(st.sampled_from([CODING, CODING.lower()]), coding_values),
    st.tuples(st.just(LENGTH), length_values),
    st.tuples(st.just(b'Connection'), st.sampled_from([b'close', b'keep-alive', b'upgrade'])),
)
Headers = list[tuple[bytes, bytes]]


def head_of(status_line: bytes, headers: Headers) -> bytes:
    return status_line + b'\r\n' + b''.join(b'%b:%b\r\n' % pair for pair in headers) + b'\r\n'


def body_of(headers: Headers) -> bytes:
    """Return the payload as a server sends it that joins the lines of a header."""
    stated = b','.join(value for name, value in headers if name.lower() == CODING.lower())
    names = [each.strip().lower() for each in stated.split(b',') if each.strip()]
    return CHUNKS if names[-1:] == [b'chunked'] else PAYLOAD


def read(data: bytes, cuts: list[int], *, is_bodiless: bool = False) -> ReplyReader:
    reader = ReplyReader(is_bodiless=is_bodiless)
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in itertools.pairwise(places):
        reader.feed(data[start:end])
    return reader


@given(
    st.sampled_from([b'HTTP/1.1 200 OK', b'HTTP/1.0 200 OK']),
    st.lists(header_lines, max_size=4),
    st.lists(st.integers(0, 400), max_size=4),
)
@example(b'HTTP/1.1 200 OK', [(CODING, b'chunked'), (CODING, b'identity')], [])
@example(b'HTTP/1.1 200 OK', [(CODING, b'chunked\t')], [])
def test_body_is_the_sent_one_or_an_error(
    status_line: bytes, headers: Headers, cuts: list[int]
) -> None:
    # Failure: the parser goes by another header line than this reader, and the heads of chunks
    # reach callers as text.
    head, body = head_of(status_line, headers), body_of(headers)
    try:
        reader = read(head + body, cuts)
        reader.end()
    except BrokenReplyError as error:
        assert error.failure_kind is ReplyFailureKind.MALFORMED
        return
    assert reader.take_body() == PAYLOAD
    has_frame = any(name in (CODING, CODING.lower(), LENGTH) for name, _ in headers)
    assert reader.is_framed == has_frame
    part = read(head + body[:-1], cuts)
    assert not part.is_whole
    if has_frame:
        with pytest.raises(BrokenReplyError):
            part.end()


@pytest.mark.parametrize('status', [b'100', b'103', b'150', b'199'])
def test_body_of_an_interim_response_is_no_part_of_the_final_one(status: bytes) -> None:
    # Failure: a faulty server's bytes precede the text of the answer.
    interim = head_of(b'HTTP/1.1 %b Odd' % status, [(LENGTH, b'3')])
    with pytest.raises(BrokenReplyError) as caught:
        read(interim + b'abc' + head_of(b'HTTP/1.1 200 OK', [(LENGTH, b'30')]) + PAYLOAD, [])
    assert caught.value.failure_kind is ReplyFailureKind.MALFORMED


@pytest.mark.parametrize('values', [[b'gzip'], [b'chunked', b'identity'], [b'chunked'] * 2])
def test_error_says_which_framing_is_not_supported(values: list[bytes]) -> None:
    with pytest.raises(BrokenReplyError, match='Transfer-Encoding') as caught:
        read(head_of(b'HTTP/1.1 200 OK', [(CODING, value) for value in values]) + CHUNKS, [])
    assert caught.value.failure_kind is ReplyFailureKind.MALFORMED


@pytest.mark.parametrize(
    ('status', 'headers', 'is_framed'),
    [
        (b'200', [(LENGTH, b'0')], True),
        (b'200', [(CODING, b'chunked')], True),
        (b'200', [], False),
        (b'204', [], True),
        (b'204', [(CODING, b'chunked')], True),
        (b'205', [(LENGTH, b'0')], True),
        (b'205', [], False),
        (b'304', [(LENGTH, b'30')], True),
        (b'404', [], False),
    ],
)
def test_head_says_whether_there_is_a_frame(
    status: bytes, headers: Headers, is_framed: bool
) -> None:
    head = head_of(b'HTTP/1.1 %b X' % status, headers)
    reader = read(head, [])
    assert reader.is_framed == is_framed
    answer_to_head = read(head, [], is_bodiless=True)
    assert (answer_to_head.is_whole, answer_to_head.is_framed) == (True, True)


@pytest.mark.parametrize(
    ('status', 'kind', 'is_run'),
    [
        (200, b'text/event-stream', True),
        (200, b'Text/Event-Stream; charset=utf-8', True),
        (200, b'application/json', False),
        (204, b'text/event-stream', False),
    ],
)
def test_run_of_a_stream_is_told_by_its_media_type_in_any_case(
    status: int, kind: bytes, is_run: bool
) -> None:
    # Failure: a run that goes on is rejected online, and accepted for an item.
    assert ReplyHead(status, [(b'content-type', kind)]).is_event_stream == is_run
