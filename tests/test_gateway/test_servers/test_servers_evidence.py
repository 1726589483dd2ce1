"""Tests that the outcomes one instance sees at a server affect its health at the others."""

from __future__ import annotations

from citrondyke.decisions.servers.server_health import ServerHealth
from citrondyke.ids import ServerId
from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import GatewayFleet, wait_until_seen


def standing(fleet: GatewayFleet, at: int, server: str) -> ServerHealth:
    state = fleet.instances[at].book.state(ServerId(server))
    assert state is not None
    return state.health_record.health


def test_failure_at_one_instance_keeps_others_from_the_server(fleet: GatewayFleet) -> None:
    # A server responds 500 at once. The other instance has sent it nothing, but must not lose a
    # non-idempotent request to it.
    neighbours = fleet.instances[0].book.topology
    wait_until_seen(neighbours.all_peers, 'the other instance to be known')
    fleet.servers['app-1'].answer_modes.extend([AnswerMode.FAIL] * 50)
    wait_until_seen(
        lambda: fleet.call('/order/a', b'x', at=0).status == 500 or None, 'a failed order'
    )
    wait_until_seen(
        lambda: standing(fleet, 1, 'app-1') is not ServerHealth.HEALTHY,
        'the other instance to receive the outcomes',
    )
    before = len(fleet.servers['app-1'].runs)
    replies = [fleet.call('/order/a', b'y', at=1).status for _ in range(20)]
    assert replies == [200] * 20
    assert len(fleet.servers['app-1'].runs) == before


def test_recovered_server_is_used_by_all_instances(fleet: GatewayFleet) -> None:
    fleet.servers['app-1'].answer_modes.extend([AnswerMode.FAIL] * 6)

    def both_healthy() -> bool:
        for at in range(2):
            assert fleet.call('/fetch/a', b'x', at=at).status == 200
        served = len(fleet.servers['app-1'].runs) > 6
        return served and all(
            standing(fleet, at, 'app-1') is ServerHealth.HEALTHY for at in range(2)
        )

    wait_until_seen(both_healthy, 'both instances to use it')


def test_metrics_show_the_health_of_servers(fleet: GatewayFleet) -> None:
    text = fleet.instances[0].metrics.text()
    assert 'citrondyke_servers_sound 4' in text
    assert 'citrondyke_servers_out 0' in text
