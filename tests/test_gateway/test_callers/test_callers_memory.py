"""Large bodies stay within the memory of an instance."""

from __future__ import annotations

import gevent

from citrondyke.decisions.memory.byte_budget import ByteBudget, HeldBytes, HeldKind
from tests.support.gateway import GatewayFleet


def fill(budget: ByteBudget, kind: HeldKind) -> list[HeldBytes]:
    """Hold bodies until there is room for none."""
    others = []
    for size_bytes in (1_000_000, 10_000, 100, 1):
        while (held := budget.open(kind)).try_acquire(size_bytes):
            others.append(held)
    return others


def test_body_beyond_the_budget_is_refused_with_a_time(fleet: GatewayFleet) -> None:
    # Others' bodies fill the instance's memory. One more is refused at once, has not run, and its
    # caller hears when to come back; without a bound the process would be lost with all of them.
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


def test_answer_waits_for_room(fleet: GatewayFleet) -> None:
    # Answers that nobody reads fill the memory; the next one stays with its server until there is
    # room, and comes whole.
    budget = fleet.instances[0].budget
    others = fill(budget, HeldKind.ANSWER)

    def read_on() -> None:
        for held in others:
            held.release()

    gevent.spawn_later(0.2, read_on)
    reply = fleet.call('/fetch/x', b'', at=0)
    assert (reply.status, reply.is_whole) == (200, True)
    assert budget.bytes_of(HeldKind.ANSWER) == 0
