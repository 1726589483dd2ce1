"""What may be sent again, and what a caller is told."""

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
    course = SendHistory(route(RouteKind.ONCE))
    course.record_send(A, outcome)
    assert not course.may_send
    assert course.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('outcome', [SendOutcome.NOT_SENT, SendOutcome.REFUSED])
def test_request_that_certainly_has_not_run_goes_to_another_server(outcome: SendOutcome) -> None:
    course = SendHistory(route(RouteKind.ONCE))
    course.record_send(A, outcome)
    assert course.may_send
    assert course.verdict is Verdict.NOT_RUN
    assert course.excluded == {A}


def test_refusal_after_a_run_does_not_make_it_not_run() -> None:
    # One server ran the request and broke off, the next turned it away. "Not run" would be false.
    course = SendHistory(route(RouteKind.IDEMPOTENT, attempts=3))
    course.record_send(A, SendOutcome.UNKNOWN)
    course.record_send(B, SendOutcome.REFUSED)
    assert course.verdict is Verdict.MAY_HAVE_RUN
    assert course.may_send


def test_attempts_are_bounded_by_the_route() -> None:
    course = SendHistory(route(RouteKind.IDEMPOTENT, attempts=2))
    course.record_send(A, SendOutcome.UNKNOWN)
    assert course.may_send
    course.record_send(B, SendOutcome.FAILED)
    assert not course.may_send


def test_stream_that_cannot_be_resumed_runs_once() -> None:
    course = SendHistory(route(RouteKind.STREAM))
    course.record_send(A, SendOutcome.UNKNOWN)
    assert not course.may_send
    resumable = SendHistory(route(RouteKind.STREAM, is_resumable=True))
    resumable.record_send(A, SendOutcome.UNKNOWN)
    assert resumable.may_send


def test_refusals_are_bounded() -> None:
    # All servers are full and say so. The caller is told at once rather than after a round of all.
    course = SendHistory(route(RouteKind.IDEMPOTENT))
    for name in 'abcd':
        assert course.may_send
        course.record_send(ServerIncarnation(name), SendOutcome.REFUSED)
    assert not course.may_send
    assert course.verdict is Verdict.NOT_RUN
