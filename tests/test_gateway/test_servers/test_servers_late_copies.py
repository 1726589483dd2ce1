"""Tests that a late copy of an answer is not taken for the answer to a later send."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from citrondyke.standin.platform_server import AnswerMode, PlatformServer
from tests.support.gateway import GatewayFleet, route

ATTEMPTS = 2


@pytest.fixture
def one_server() -> Iterator[tuple[GatewayFleet, PlatformServer]]:
    """An instance and one server, so that each repeat comes to it."""
    fleet = GatewayFleet()
    try:
        fleet.configure(
            routes=[
                route('stream', 'streaming', 'lm', resumable=True),
                route(
                    'batch-stream',
                    'batch',
                    'lm',
                    completion_slo_ms=18_000,
                    max_wait_s=40,
                    max_attempts=ATTEMPTS,
                ),
            ]
        )
        server = fleet.add_server('lm-1', 'lm')
        server.sends_late_copies = True
        fleet.start_instance()
        fleet.wait_ready()
        yield fleet, server
    finally:
        fleet.end()


@pytest.mark.parametrize('mode', [AnswerMode.FAIL, AnswerMode.REFUSE, AnswerMode.MOVED])
def test_late_copy_of_an_items_answer_does_not_count_for_its_next_run(
    one_server: tuple[GatewayFleet, PlatformServer], mode: AnswerMode
) -> None:
    # The item fails or is rejected once, and the copy arrives where its second answer is expected.
    fleet, server = one_server
    server.answer_modes.append(mode)
    assert fleet.submit('job', 1).status == 202
    (result,) = fleet.wait_done('job')
    assert result['state'] == 'completed'
    assert [run.is_aborted for run in server.runs if run.answer_mode is AnswerMode.SERVE] == [False]


def test_late_copy_of_a_rejection_is_not_the_answer_to_another_request(
    one_server: tuple[GatewayFleet, PlatformServer],
) -> None:
    # The copy would say "not run" of a request that runs; it is skipped, and the answer comes.
    fleet, server = one_server
    server.answer_modes.append(AnswerMode.REFUSE)
    assert fleet.call('/stream/a', request_id='rejected').status == 503
    for request_id in ('second', 'third'):
        reply = fleet.call('/stream/a', request_id=request_id)
        assert (reply.status, reply.is_whole) == (200, True)
    assert server.late_copies_count == 1
    assert [run.request_id for run in server.runs] == ['second', 'third']


def test_item_is_not_run_again_on_the_connection_of_a_broken_answer(
    one_server: tuple[GatewayFleet, PlatformServer],
) -> None:
    # The answer is whole and its last event is not; a late copy of it would have the item's id.
    fleet, server = one_server
    server.answer_modes.append(AnswerMode.END_IN_EVENT)
    assert fleet.submit('job', 1).status == 202
    (result,) = fleet.wait_done('job')
    assert result['state'] == 'completed'
    first, second = server.runs
    assert first.connection != second.connection
