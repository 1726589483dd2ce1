"""Which ends of runs are taken for the end of a stream."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.streams.stream_end import EndVerdict, RunEnd, StreamEnd
from citrondyke.ids import ServerIncarnation

A, B, C, D = (ServerIncarnation(name) for name in 'ABCD')


@pytest.fixture
def stream() -> StreamEnd:
    return StreamEnd(may_be_empty=True)


def framed(server: ServerIncarnation, events_count: int, last_event_id: int | None) -> RunEnd:
    return RunEnd(server, True, events_count, last_event_id)


def unframed(server: ServerIncarnation, events_count: int, last_event_id: int | None) -> RunEnd:
    return RunEnd(server, False, events_count, last_event_id)


def interrupt(stream: StreamEnd, last_event_id: int, *, is_in_event: bool = False) -> None:
    stream.record_interruption(last_event_id, has_events=True, is_in_event=is_in_event)


def test_framed_run_with_events_ends_its_stream(stream: StreamEnd) -> None:
    assert stream.record_end(framed(A, 6, 6)) is EndVerdict.COMPLETE_BY_FRAMING


def test_framed_run_that_continues_with_events_ends_its_stream(stream: StreamEnd) -> None:
    interrupt(stream, 6, is_in_event=True)
    assert stream.record_end(framed(B, 14, 20)) is EndVerdict.COMPLETE_BY_FRAMING


def test_end_without_an_event_after_an_interruption_needs_a_second_server(
    stream: StreamEnd,
) -> None:
    interrupt(stream, 6)
    assert stream.record_end(framed(B, 0, 6)) is EndVerdict.UNCONFIRMED
    assert stream.record_end(framed(B, 0, 6)) is EndVerdict.UNCONFIRMED
    assert stream.record_end(framed(A, 0, 6)) is EndVerdict.COMPLETE_BY_AGREEMENT


def test_further_events_refute_an_earlier_statement(stream: StreamEnd) -> None:
    interrupt(stream, 6)
    stream.record_end(framed(B, 0, 6))
    interrupt(stream, 8)
    assert not stream.is_in_doubt
    assert stream.record_end(framed(A, 0, 8)) is EndVerdict.UNCONFIRMED


def test_unframed_end_between_events_needs_two_servers_that_bring_nothing(
    stream: StreamEnd,
) -> None:
    # Failure: the server had exited, and the word of one faulty server ended the stream.
    assert stream.record_end(unframed(A, 6, 6)) is EndVerdict.UNCONFIRMED
    assert stream.ended_with_connection
    assert stream.record_end(framed(B, 0, 6)) is EndVerdict.UNCONFIRMED
    assert stream.record_end(framed(C, 0, 6)) is EndVerdict.COMPLETE_BY_AGREEMENT


def test_server_that_closed_its_connection_may_state_the_end_itself(stream: StreamEnd) -> None:
    stream.record_end(unframed(A, 6, 6))
    assert not stream.stating_servers
    stream.record_end(framed(B, 0, 6))
    assert stream.record_end(framed(A, 0, 6)) is EndVerdict.COMPLETE_BY_AGREEMENT


def test_servers_that_exit_one_after_the_other_confirm_no_end(stream: StreamEnd) -> None:
    stream.record_end(unframed(A, 6, 6))
    assert stream.record_end(unframed(B, 0, 6)) is EndVerdict.UNCONFIRMED
    assert stream.record_end(unframed(C, 0, 6)) is EndVerdict.COMPLETE_BY_AGREEMENT


def test_interruption_inside_an_event_needs_one_more_server(stream: StreamEnd) -> None:
    interrupt(stream, 6, is_in_event=True)
    stream.record_end(framed(B, 0, 6))
    assert stream.record_end(framed(C, 0, 6)) is EndVerdict.UNCONFIRMED
    assert stream.record_end(framed(D, 0, 6)) is EndVerdict.COMPLETE_BY_AGREEMENT


def test_interruption_without_an_event_refutes_nothing(stream: StreamEnd) -> None:
    interrupt(stream, 6)
    stream.record_end(framed(B, 0, 6))
    stream.record_interruption(6, has_events=False, is_in_event=False)
    assert stream.record_end(framed(C, 0, 6)) is EndVerdict.COMPLETE_BY_AGREEMENT


@pytest.mark.parametrize('may_be_empty', [True, False])
def test_empty_stream_is_whole_only_where_one_statement_is_enough(may_be_empty: bool) -> None:
    verdict = StreamEnd(may_be_empty=may_be_empty).record_end(framed(A, 0, None))
    assert verdict.is_complete is may_be_empty


def test_caller_that_resumes_needs_two_servers_for_an_end_without_an_event(
    stream: StreamEnd,
) -> None:
    assert stream.record_end(framed(A, 0, 6)) is EndVerdict.UNCONFIRMED
    assert not stream.ended_with_connection
    assert stream.record_end(framed(B, 0, 6)) is EndVerdict.COMPLETE_BY_AGREEMENT


@given(st.integers(1, 9), st.booleans(), st.booleans())
def test_only_server_of_a_service_ends_every_stream_within_five_runs(
    last_event_id: int, is_framed: bool, is_in_event: bool
) -> None:
    stream = StreamEnd(may_be_empty=False)
    interrupt(stream, last_event_id, is_in_event=is_in_event)
    verdicts = [
        stream.record_end(RunEnd(A, is_framed, 0, last_event_id), has_other_servers=False)
        for _ in range(5)
    ]
    assert not verdicts[1].is_complete
    assert verdicts[-1].is_complete


def test_part_of_a_further_event_refutes_the_end_of_a_connection(stream: StreamEnd) -> None:
    # Failure: the caller's response would end in order in front of an event that exists.
    stream.record_end(unframed(A, 6, 6))
    stream.record_interruption(6, has_events=False, is_in_event=True)
    assert not stream.ended_with_connection


def test_stream_that_was_interrupted_in_its_first_event_is_not_empty(stream: StreamEnd) -> None:
    stream.record_interruption(None, has_events=False, is_in_event=True)
    assert stream.record_end(framed(B, 0, None)) is EndVerdict.UNCONFIRMED
