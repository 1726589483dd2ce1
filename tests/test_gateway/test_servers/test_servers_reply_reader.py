"""Tests that a response is parsed whole or reported as an error."""

from __future__ import annotations

import itertools

import h11
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.errors.invalid_header import InvalidHeaderError
from citrondyke.gateway.http_head import write_head
from citrondyke.gateway.servers.reply_reader import ReplyHead, ReplyReader
from citrondyke.platform.dialect import PlatformDialect

LENGTH = b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello'
CHUNKS = (
    b'HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n'
)
TO_THE_END = b'HTTP/1.1 200 OK\r\nA: b\r\n\r\nhello'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def is_late_copy(head: ReplyHead) -> bool:
    return head.header(b'a') == b'late'


def read(data: bytes, cuts: list[int] = [], *, is_bodiless: bool = False) -> ReplyReader:  # noqa: B006
    reader = ReplyReader(is_bodiless=is_bodiless, is_late_copy=is_late_copy)
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in itertools.pairwise(places):
        reader.feed(data[start:end])
    return reader


@given(
    st.sampled_from([LENGTH, CHUNKS, TO_THE_END, CONTINUE + LENGTH]),
    st.lists(st.integers(0, 200), max_size=6),
)
def test_response_does_not_depend_on_how_the_bytes_arrive(data: bytes, cuts: list[int]) -> None:
    reader = read(data, cuts)
    if data is TO_THE_END:
        reader.end()
    assert reader.head is not None
    assert (reader.head.status, reader.head.header(b'a')) == (200, b'b')
    assert reader.is_whole
    assert reader.take_body() == b'hello'


@pytest.mark.parametrize('data', [LENGTH, CHUNKS])
@pytest.mark.parametrize('extra', [LENGTH, b'x', b'\0\0', b'HTTP/1.1 '])
@pytest.mark.parametrize('cut', [0, 1])
def test_bytes_after_a_response_make_only_the_connection_unusable(
    data: bytes, extra: bytes, cut: int
) -> None:
    # A faulty server sends a second response. If the connection were reused, the next caller would
    # get a response that belongs to another request.
    reader = read(data + extra, [len(data)] * cut)
    assert reader.is_whole
    assert reader.take_body() == b'hello'
    assert not reader.is_reusable
    assert read(data).is_reusable


@pytest.mark.parametrize('data', [LENGTH, CHUNKS])
def test_truncated_response_is_not_whole(data: bytes) -> None:
    for end in range(1, len(data)):
        reader = read(data[:end])
        assert not reader.is_whole
        with pytest.raises(BrokenReplyError) as caught:
            reader.end()
        assert caught.value.failure_kind is ReplyFailureKind.CUT


@pytest.mark.parametrize(
    'data',
    [
        b'nonsense\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n',
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
    ],
)
def test_malformed_response_is_an_error(data: bytes) -> None:
    with pytest.raises(BrokenReplyError) as caught:
        read(data)
    assert caught.value.failure_kind is ReplyFailureKind.MALFORMED


@pytest.mark.parametrize(
    'data',
    [
        *(
            LENGTH.replace(b': 5', b': ' + length)
            for length in (b'9' * 4_301, b'-5', b'+5', b'5, 5')
        ),
        *(
            CHUNKS.replace(b'\n2\r', b'\n%b\r' % size)
            for size in (b'f' * 4_301, b'-2', b'0x2', b'')
        ),
        *(
            LENGTH.replace(b'200', status)
            for status in (b'9' * 4_301, b'1000', b'-200', b'0200', b'')
        ),
    ],
    ids=lambda data: str(data[:60]),
)
def test_odd_length_size_or_status_is_an_error(data: bytes) -> None:
    with pytest.raises(BrokenReplyError) as caught:
        read(data)
    assert len(caught.value.message) < 200


@pytest.mark.parametrize('status', [b'000', b'001', b'099', b'600', b'999'])
def test_status_that_none_may_be_is_an_error(status: bytes) -> None:
    with pytest.raises(BrokenReplyError) as caught:
        read(LENGTH.replace(b'200', status))
    assert caught.value.failure_kind is ReplyFailureKind.MALFORMED


def test_head_without_end_is_an_error() -> None:
    with pytest.raises(BrokenReplyError) as caught:
        read(b'HTTP/1.1 200 OK\r\nA: ' + b'x' * 70_000)
    assert caught.value.failure_kind is ReplyFailureKind.OVERSIZED


@pytest.mark.parametrize('piece', [b'x' * 4_096, b'Y: z\r\n' * 600])
def test_trailers_without_end_are_an_error(piece: bytes) -> None:
    reader = read(CHUNKS[:-2] + b'X: ')
    with pytest.raises(BrokenReplyError) as caught:
        for _ in range(20):
            reader.feed(piece)
    assert caught.value.failure_kind is ReplyFailureKind.OVERSIZED


def test_response_without_a_body_is_whole_after_its_head() -> None:
    head = LENGTH[: -len(b'hello')]
    assert read(head, is_bodiless=True).is_whole
    assert not read(head).is_whole
    assert read(b'HTTP/1.1 304 Not Modified\r\nA: b\r\n\r\n').is_reusable


@given(st.binary(max_size=300))
@example(b'HTTP/1.0 200\r\nContent-Length:0\r\n\r\n')
def test_any_bytes_give_a_response_or_a_broken_reply_error(data: bytes) -> None:
    reader = ReplyReader(is_bodiless=False)
    try:
        reader.feed(data)
        reader.end()
    except BrokenReplyError:
        assert not reader.is_whole


@pytest.mark.parametrize(
    'header', [(b'a', b'x\r\nb: y'), (b'a', b'x\ny'), (b'a b', b'x'), (b'', b'x'), (b'a:', b'x')]
)
def test_malformed_header_is_not_written(header: tuple[bytes, bytes]) -> None:
    with pytest.raises(InvalidHeaderError):
        write_head(b'GET / HTTP/1.1', [header])


@given(
    st.sampled_from([LENGTH, CHUNKS]),
    st.sampled_from([LENGTH, CHUNKS]),
    st.lists(st.integers(0, 400), max_size=6),
)
def test_late_copy_is_skipped_and_the_connection_not_reused(
    late: bytes, data: bytes, cuts: list[int]
) -> None:
    # A faulty server sends an earlier response where this one is expected.
    reader = read(late.replace(b'A: b', b'A: late') + data, cuts)
    assert reader.head is not None
    assert reader.head.header(b'a') == b'b'
    assert reader.take_body() == b'hello'
    assert (reader.is_whole, reader.skipped_count) == (True, 1)
    assert not reader.is_reusable


def test_late_copies_without_end_are_an_error() -> None:
    with pytest.raises(BrokenReplyError):
        read(LENGTH.replace(b'A: b', b'A: late') * 2_000, list(range(0, 100_000, 1_000)))


@pytest.mark.parametrize('space', [b' ', b'\t', b' \t '])
def test_space_after_a_header_value_is_no_part_of_it(space: bytes) -> None:
    # Such a value can be received but not sent on, so that the caller got no answer.
    head = read(LENGTH.replace(b'A: b', b'A:' + space + b'b' + space)).head
    assert head is not None
    assert head.header(b'a') == b'b'


def test_trailers_are_no_part_of_the_head() -> None:
    # A faulty server sends trailers without end, or some that look like headers of its head.
    head = read(CHUNKS[:-2] + b'B: c\r\n\r\n').head
    assert head is not None
    assert head.header(b'b') is None


@given(st.binary(max_size=40))
@example(b'x ')
@example(b'x\r\n folded')
def test_any_head_that_is_received_can_be_sent_on(value: bytes) -> None:
    reader = ReplyReader(is_bodiless=False)
    try:
        reader.feed(b'HTTP/1.1 200 OK\r\nA: ' + value + b'\r\nContent-Length: 5\r\n\r\nhello')
    except BrokenReplyError:
        return
    if reader.head is None:
        return
    headers = PlatformDialect().response_headers(reader.head)
    http = h11.Connection(h11.SERVER)
    http.receive_data(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    http.next_event()
    assert http.send(h11.Response(status_code=reader.head.status, headers=headers))
