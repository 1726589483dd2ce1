"""Answers are read whole, or not at all."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError
from citrondyke.errors.invalid_header import InvalidHeaderError
from citrondyke.gateway.http_head import write_head
from citrondyke.gateway.servers.reply_reader import ReplyReader

LENGTH = b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello'
CHUNKS = (
    b'HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n'
)
TO_THE_END = b'HTTP/1.1 200 OK\r\nA: b\r\n\r\nhello'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def read(data: bytes, cuts: list[int] = [], *, is_bodiless: bool = False) -> ReplyReader:  # noqa: B006
    reader = ReplyReader(is_bodiless=is_bodiless)
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in itertools.pairwise(places):
        reader.feed(data[start:end])
    return reader


@given(
    st.sampled_from([LENGTH, CHUNKS, TO_THE_END, CONTINUE + LENGTH]),
    st.lists(st.integers(0, 200), max_size=6),
)
def test_answer_is_the_same_however_it_is_cut(data: bytes, cuts: list[int]) -> None:
    reader = read(data, cuts)
    if data is TO_THE_END:
        reader.end()
    assert reader.head is not None
    assert (reader.head.status, reader.head.header(b'a')) == (200, b'b')
    assert reader.is_whole
    assert reader.take() == b'hello'


@pytest.mark.parametrize('data', [LENGTH, CHUNKS])
@pytest.mark.parametrize('extra', [LENGTH, b'x', b'\0\0', b'HTTP/1.1 '])
@pytest.mark.parametrize('cut', [0, 1])
def test_what_stands_behind_an_answer_spoils_the_connection_only(
    data: bytes, extra: bytes, cut: int
) -> None:
    # A faulty server sends a second answer. Kept, the connection would give it to whoever is
    # next, and a caller would get an answer that belongs to somebody else.
    reader = read(data + extra, [len(data)] * cut)
    assert reader.is_whole
    assert reader.take() == b'hello'
    assert not reader.is_reusable
    assert read(data).is_reusable


@pytest.mark.parametrize('data', [LENGTH, CHUNKS])
def test_answer_that_ends_early_is_not_whole(data: bytes) -> None:
    for end in range(1, len(data)):
        reader = read(data[:end])
        assert not reader.is_whole
        with pytest.raises(BrokenReplyError) as caught:
            reader.end()
        assert caught.value.break_kind is BreakKind.CUT


@pytest.mark.parametrize(
    'data',
    [
        b'nonsense\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n',
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nA: ' + b'x' * 70_000,
    ],
)
def test_bytes_that_are_no_answer_are_told_so(data: bytes) -> None:
    with pytest.raises(BrokenReplyError) as caught:
        read(data)
    assert caught.value.break_kind is BreakKind.MALFORMED


def test_answer_without_a_body_is_whole_at_its_head() -> None:
    head = LENGTH[: -len(b'hello')]
    assert read(head, is_bodiless=True).is_whole
    assert not read(head).is_whole
    assert read(b'HTTP/1.1 304 Not Modified\r\nA: b\r\n\r\n').is_reusable


@given(st.binary(max_size=300))
@example(b'HTTP/1.0 200\r\nContent-Length:0\r\n\r\n')
def test_any_bytes_give_an_answer_or_a_typed_error(data: bytes) -> None:
    reader = ReplyReader(is_bodiless=False)
    try:
        reader.feed(data)
        reader.end()
    except BrokenReplyError:
        assert not reader.is_whole


@pytest.mark.parametrize(
    'header', [(b'a', b'x\r\nb: y'), (b'a', b'x\ny'), (b'a b', b'x'), (b'', b'x'), (b'a:', b'x')]
)
def test_header_that_would_be_read_as_two_is_not_written(header: tuple[bytes, bytes]) -> None:
    with pytest.raises(InvalidHeaderError):
        write_head(b'GET / HTTP/1.1', [header])
