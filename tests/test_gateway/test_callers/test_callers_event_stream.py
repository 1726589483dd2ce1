"""Tests that streams are split into whole events, in order and without duplicates."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.callers.event_stream import (
    EVENT_LIMIT_BYTES,
    IDLE_LIMIT_BYTES,
    STREAM_LIMIT_BYTES,
    EventSplitter,
)


def event(number: int, data: str = 'x') -> bytes:
    return f'id: {number}\ndata: {data}\n\n'.encode()


@given(st.lists(st.integers(1, 40), max_size=60))
def test_events_do_not_depend_on_how_the_bytes_arrive(cuts: list[int]) -> None:
    whole = b''.join(event(n, f'text {n}') for n in range(1, 12))
    splitter = EventSplitter()
    found = []
    rest = whole
    for cut in cuts:
        found += splitter.feed(rest[:cut])
        rest = rest[cut:]
    found += splitter.feed(rest)
    assert b''.join(each.raw for each in found) == whole
    assert [each.id for each in found] == list(range(1, 12))
    assert splitter.is_between_events


def test_partial_event_is_not_returned() -> None:
    # A server fails in the middle of an event. The partial event is dropped, and the next server
    # resumes after the last whole one.
    splitter = EventSplitter()
    assert len(splitter.feed(event(1) + event(2)[:-3])) == 1
    assert splitter.last_id == 1
    assert not splitter.is_between_events


@pytest.mark.parametrize('number', [2, 4, 6])
def test_missing_or_duplicate_event_is_an_error(number: int) -> None:
    splitter = EventSplitter(4)
    with pytest.raises(BrokenReplyError):
        splitter.feed(event(number))


def test_data_lines_are_joined() -> None:
    splitter = EventSplitter()
    (found,) = splitter.feed(b'id: 7\r\ndata: a\r\ndata: b\r\n\r\n')
    assert (found.id, found.data) == (7, b'a\nb')


def split(data: bytes, cuts: list[int]) -> tuple[list[bytes], bool]:
    """Feed data cut at some places; return the events and whether they ended in an error."""
    splitter = EventSplitter()
    found = []
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in itertools.pairwise(places):
        try:
            found += splitter.feed(data[start:end])
        except BrokenReplyError as error:
            assert error.failure_kind in (ReplyFailureKind.MALFORMED, ReplyFailureKind.OVERSIZED)
            return [each.raw for each in found], True
    return [each.raw for each in found], False


lines = st.sampled_from(
    [
        b'id: ' + b'9' * 4_301,
        b'id: \xb2',
        b'id: 1',
        b'id: 2',
        b'id: 3',
        b'data: x',
        b'data:',
        b': x',
        b'event: y',
        b'\xfe\xff',
        b'',
    ]
)
ends = st.sampled_from([b'\n', b'\r\n', b'\r', b''])
streams = st.lists(st.tuples(lines, ends)).map(lambda pairs: b''.join(map(b''.join, pairs)))


@given(st.one_of(streams, st.binary()), st.lists(st.integers(0, 500), max_size=8))
def test_any_bytes_give_the_same_events_however_they_arrive(data: bytes, cuts: list[int]) -> None:
    whole, is_broken = split(data, [])
    found, is_broken_in_parts = split(data, cuts)
    assert is_broken == is_broken_in_parts
    # An error hides the events that arrive in one piece with it.
    assert found[: len(whole)] == whole
    assert is_broken or found == whole


@pytest.mark.parametrize(
    ('repeated', 'limit_bytes'),
    [
        (b'\xfe', EVENT_LIMIT_BYTES),
        (b': x\n', EVENT_LIMIT_BYTES),
        (b': x\n\n', IDLE_LIMIT_BYTES),
        (b'\n', IDLE_LIMIT_BYTES),
        (b'data: x\n\n', IDLE_LIMIT_BYTES),
    ],
)
@pytest.mark.parametrize('piece_bytes', [1_000, 65_536])
def test_stream_without_events_is_an_error(
    repeated: bytes, limit_bytes: int, piece_bytes: int
) -> None:
    # A faulty server sends without end; no more than the limit is kept or parsed.
    splitter = EventSplitter()
    piece = repeated * (piece_bytes // len(repeated))
    fed_bytes = 0
    with pytest.raises(BrokenReplyError) as caught:
        while fed_bytes <= 2 * limit_bytes:
            fed_bytes += len(piece)
            splitter.feed(piece)
    assert caught.value.failure_kind is ReplyFailureKind.OVERSIZED
    assert str(limit_bytes) in caught.value.message
    assert fed_bytes <= limit_bytes + piece_bytes


def test_stream_of_events_without_end_is_an_error() -> None:
    splitter = EventSplitter()
    with pytest.raises(BrokenReplyError, match=str(STREAM_LIMIT_BYTES)):
        for number in range(STREAM_LIMIT_BYTES // 1_000 + 1):
            splitter.feed(event(number, 'x' * 1_000))


def test_comments_between_events_do_not_add_up() -> None:
    splitter = EventSplitter()
    for number in range(1, 40):
        splitter.feed(b': x\n\n' * (IDLE_LIMIT_BYTES // 10) + event(number))
    assert splitter.last_id == 39


def test_event_that_needs_an_id_and_has_none_is_malformed() -> None:
    # Failure: the stream is resumed after the event before it, and the caller gets it twice.
    splitter = EventSplitter(3, needs_ids=True)
    splitter.feed(b': open\n\nid: 4\n\nid: 5\ndata: a\n\n')
    with pytest.raises(BrokenReplyError, match='event without an id') as caught:
        splitter.feed(b'data: b\n\n')
    assert caught.value.failure_kind is ReplyFailureKind.MALFORMED
    assert EventSplitter(3).feed(b'data: b\n\n')


def test_events_with_an_id_and_data_are_counted() -> None:
    splitter = EventSplitter()
    splitter.feed(b': open\n\ndata: a\n\nid: 1\ndata: a\n\nid: 2\n\nid: 3\nda')
    assert (splitter.progress_count, splitter.last_id) == (1, 2)
    assert not splitter.is_between_events
