"""Items at risk keep a part of a service, and no server of a few slots as a whole."""

from __future__ import annotations

import msgspec
import pytest

from citrondyke.decisions.batch.batch_scheduler import Urgency
from citrondyke.decisions.forwarding.admission_rule import Admitted
from citrondyke.decisions.forwarding.route import RouteKind
from tests.test_batch.owner_world import SERVICE, OwnerWorld
from tests.test_forwarding.test_forwarding_send_history import route


@pytest.mark.parametrize('urgency', [Urgency.LATE, Urgency.PATIENT])
@pytest.mark.parametrize('slots', [[1], [1, 1, 1], [2]], ids=str)
def test_online_request_is_admitted_beside_items_that_are_preempted(
    slots: list[int], urgency: Urgency
) -> None:
    world = OwnerWorld(slots)
    for state in world.states:
        state.own.batch = state.listed.slots_count
    server = world.registry.choose_server(SERVICE, (), '')
    assert server is not None
    fast = msgspec.structs.replace(route(RouteKind.STREAM), target_ms=200.0)
    decision = world.admission.decide(fast, server, 5_000.0)
    assert decision == Admitted(0.0)
    server.own.online = 1
    world.preempt(urgency)
    assert server.own.batch == server.listed.slots_count - 1


@pytest.mark.parametrize(
    'slots', [[1], [1, 1, 1], [1] * 8, [2], [2, 2], [3, 1, 1], [8, 1]], ids=str
)
def test_items_at_risk_keep_at_most_a_quarter_of_a_service(slots: list[int]) -> None:
    # Online requests fill all servers, which items at risk had filled before.
    world = OwnerWorld(slots)
    for state in world.states:
        state.own.batch = state.own.online = state.listed.slots_count
    for _ in range(10):
        world.clock.ms += world.rate_limiter.gap_ms
        world.preempt(Urgency.AT_RISK)
    assert 4 * world.batch_count <= world.slots_count
    assert world.batch_count >= world.slots_count // 4 - 1
