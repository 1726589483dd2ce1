"""Tests that large bodies stay within an instance's memory budget."""

from __future__ import annotations

import gevent

from citrondyke.decisions.memory.byte_budget import ByteBudget, HeldBytes, HeldKind
from tests.support.gateway import GatewayFleet


def fill(budget: ByteBudget, kind: HeldKind) -> list[HeldBytes]:
    """Reserve bytes until the budget has none free."""
    others = []
    for size_bytes in (1_000_000, 10_000, 100, 1):
        while (held := budget.open(kind)).try_acquire(size_bytes):
            others.append(held)
    return others


def test_body_beyond_the_budget_is_rejected_with_a_retry_time(fleet: GatewayFleet) -> None:
    # Other bodies fill the instance's memory. One more is rejected at once with a retry time and
    # does not run. Without this limit the process would run out of memory and lose all requests.
    budget = fleet.instances[0].budget
    others = fill(budget, HeldKind.REQUEST)
    reply = fleet.call('/fetch/x', b'b' * 1_000, at=0, request_id='large-1')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
    assert reply.headers['attempt-id'] == 'large-1'
    for held in others:
        held.release()
    assert fleet.call('/fetch/x', b'b' * 1_000, at=0).status == 200
    assert budget.bytes_of(HeldKind.REQUEST) == 0
    runs = [run.request_id for server in fleet.servers.values() for run in server.runs]
    assert 'large-1' not in runs


def test_response_waits_for_free_memory(fleet: GatewayFleet) -> None:
    # Responses that their callers do not read fill the memory. Reading the next one from its server
    # pauses until memory is free, and the caller gets it whole.
    budget = fleet.instances[0].budget
    others = fill(budget, HeldKind.ANSWER)

    def read_on() -> None:
        for held in others:
            held.release()

    gevent.spawn_later(0.2, read_on)
    reply = fleet.call('/fetch/x', b'', at=0)
    assert (reply.status, reply.is_whole) == (200, True)
    assert budget.bytes_of(HeldKind.ANSWER) == 0
