"""Which requests may be sent again, and what callers are told."""

from __future__ import annotations

import pytest

from citrondyke.decisions.forwarding.route import Route, RouteKind, ServiceShare
from citrondyke.decisions.forwarding.send_history import SendHistory, SendOutcome, Verdict
from citrondyke.ids import RouteName, ServerIncarnation, ServiceName

A, B, C = ServerIncarnation('a'), ServerIncarnation('b'), ServerIncarnation('c')


def route(kind: RouteKind, attempts: int = 2, *, is_resumable: bool = False) -> Route:
    return Route(
        name=RouteName('r'),
        host='h',
        prefix='/p/',
        kind=kind,
        shares=(ServiceShare(ServiceName('s'), 1.0),),
        timeout_ms=3_000.0,
        target_ms=300.0,
        attempts_limit=attempts,
        is_resumable=is_resumable,
    )


@pytest.mark.parametrize('outcome', [SendOutcome.UNKNOWN, SendOutcome.FAILED])
def test_request_that_may_have_run_once_is_not_sent_again(outcome: SendOutcome) -> None:
    # A server books an order and its answer is lost. The caller is told that it may have run;
    # sending it to another server would book it twice.
    history = SendHistory(route(RouteKind.ONCE))
    history.record_send(A, outcome)
    assert not history.may_send
    assert history.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('outcome', [SendOutcome.NOT_SENT, SendOutcome.REFUSED])
def test_request_that_certainly_has_not_run_goes_to_another_server(outcome: SendOutcome) -> None:
    history = SendHistory(route(RouteKind.ONCE))
    history.record_send(A, outcome)
    assert history.may_send
    assert history.verdict is Verdict.NOT_RUN
    assert history.excluded == {A}


def test_rejection_after_a_possible_run_is_not_reported_as_not_run() -> None:
    # One server started the request and broke the connection, the next rejected it. "Not run" would
    # be false.
    history = SendHistory(route(RouteKind.IDEMPOTENT, attempts=3))
    history.record_send(A, SendOutcome.UNKNOWN)
    history.record_send(B, SendOutcome.REFUSED)
    assert history.verdict is Verdict.MAY_HAVE_RUN
    assert history.may_send


def test_attempts_are_bounded_by_the_route() -> None:
    history = SendHistory(route(RouteKind.IDEMPOTENT, attempts=2))
    history.record_send(A, SendOutcome.UNKNOWN)
    assert history.may_send
    history.record_send(B, SendOutcome.FAILED)
    assert not history.may_send


def test_stream_that_cannot_be_resumed_runs_once() -> None:
    history = SendHistory(route(RouteKind.STREAM))
    history.record_send(A, SendOutcome.UNKNOWN)
    assert not history.may_send
    resumable = SendHistory(route(RouteKind.STREAM, is_resumable=True))
    resumable.record_send(A, SendOutcome.UNKNOWN)
    assert resumable.may_send


def test_rejections_are_bounded() -> None:
    # All servers are full and reject the request. The caller is told so before all of them were
    # tried.
    history = SendHistory(route(RouteKind.IDEMPOTENT))
    for name in 'abcd':
        assert history.may_send
        history.record_send(ServerIncarnation(name), SendOutcome.REFUSED)
    assert not history.may_send
    assert history.verdict is Verdict.NOT_RUN


def test_server_that_ran_a_stream_may_confirm_its_end_once() -> None:
    # Two attempts: A was cut after event 6, and B states that nothing follows.
    history = SendHistory(route(RouteKind.STREAM, attempts=2, is_resumable=True))
    history.record_send(A, SendOutcome.UNKNOWN)
    history.record_send(B, SendOutcome.UNCONFIRMED, asked_after=6)
    assert not history.may_send
    assert history.verdict is Verdict.MAY_HAVE_RUN
    assert history.servers_to_ask_again(6, {B}) == {A}
    history.record_send(A, SendOutcome.UNKNOWN, asked_after=6)
    assert not history.servers_to_ask_again(6, {B})


def test_server_that_has_stated_the_end_or_never_ran_confirms_nothing() -> None:
    history = SendHistory(route(RouteKind.STREAM, attempts=2, is_resumable=True))
    history.record_send(A, SendOutcome.UNCONFIRMED, asked_after=4)
    history.record_send(B, SendOutcome.NOT_SENT, asked_after=6)
    history.record_send(C, SendOutcome.REFUSED, asked_after=6)
    assert not history.servers_to_ask_again(6, {A})


def test_stream_that_cannot_be_resumed_is_never_asked_about() -> None:
    history = SendHistory(route(RouteKind.STREAM))
    history.record_send(A, SendOutcome.UNKNOWN)
    assert not history.servers_to_ask_again(6, ())
