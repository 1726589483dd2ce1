"""Tests that streams are split into whole events, in order and without duplicates."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.errors.broken_reply import BrokenReplyError
from citrondyke.gateway.callers.event_stream import EventSplitter


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
