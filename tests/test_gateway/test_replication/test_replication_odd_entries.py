"""Tests that an odd entry among those of the servers costs only itself."""

from __future__ import annotations

import msgspec
import pytest

from citrondyke.gateway.instance import GatewayInstance
from citrondyke.platform.rows import SERVERS_TABLE
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.peers import server_row


def leaving(instance: GatewayInstance) -> set[str]:
    """Servers that an instance knows to be leaving."""
    return {state.listed.id for state in instance.book.states() if state.listed.is_leaving}


@pytest.mark.parametrize('port', ['9' * 4_301, '0' * 4_301 + '80', '9' * 60_000])
def test_instances_follow_the_list_beside_an_entry_with_a_port_of_any_length(
    fleet: GatewayFleet, port: str
) -> None:
    # One entry whose port can't be converted ended each read and feed of the list, so that servers
    # that left went on getting requests and new ones got none.
    odd = msgspec.json.encode(server_row(service='app', address=f'127.0.0.1:{port}'))
    fleet.store.put(SERVERS_TABLE, 'odd-1', odd)
    fleet.add_server('app-3', 'app')
    for name in ('app-1', 'app-2'):
        fleet.list_server(name, 'app', state='draining', seq=2)
    wait_until_seen(
        lambda: all(leaving(instance) == {'app-1', 'app-2'} for instance in fleet.instances),
        'the servers that leave',
    )
    for at in range(len(fleet.instances)):
        assert fleet.call('/fetch/x', at=at, request_id=f'after-{at}').status == 200
    assert len(fleet.servers['app-3'].runs) == len(fleet.instances)


def test_items_are_run_after_a_loss_of_all_beside_an_odd_entry(fleet: GatewayFleet) -> None:
    # No instance knew a server after it, so that no item of an accepted job was run.
    odd = msgspec.json.encode(server_row(service='lm', address=f'127.0.0.1:{"9" * 4_301}'))
    fleet.store.put(SERVERS_TABLE, 'odd-1', odd)
    for instance in fleet.instances:
        instance.stop_abruptly()
    at = len(fleet.instances)
    fleet.start_instance()
    wait_until_seen(lambda: fleet.submit('job-1', at=at).status == 202, 'an accepted job')
    assert all(result['state'] == 'completed' for result in fleet.wait_done('job-1', at=at))
