"""Tests that instances follow the configuration and the server list through store outages."""

from __future__ import annotations

import gevent

from citrondyke.ids import ServerId
from citrondyke.platform.rows import SERVERS_TABLE
from tests.support.gateway import ROUTES, GatewayFleet, route, wait_until_seen

NEW_ROUTE = [*ROUTES, route('later', 'idempotent', 'app')]


def version(fleet: GatewayFleet, at: int) -> int:
    return fleet.instances[at].replicated.config.table.version


def wait_version(fleet: GatewayFleet, at: int) -> None:
    wait_until_seen(lambda: version(fleet, at) == 7, 'the change')


def wait_leaving(fleet: GatewayFleet, at: int) -> None:
    state = fleet.instances[at].book.state(ServerId('app-1'))
    assert state is not None
    wait_until_seen(lambda: state.listed.is_leaving, 'the leaving server')


def test_change_is_in_force_everywhere(fleet: GatewayFleet) -> None:
    fleet.configure(7, NEW_ROUTE)
    for at in (0, 1):
        wait_version(fleet, at)
        assert fleet.call('/later/a', at=at).status == 200


def test_instance_that_the_store_rejects_follows_its_peers(fleet: GatewayFleet) -> None:
    # The store rejects the calls of one instance only, while the operator adds a route and a server
    # starts draining. That instance learns of both from its peer.
    refused = fleet.instances[1]
    fleet.store.faults.refused_ips = {refused.address.ip}
    gevent.sleep(0.8)
    fleet.configure(7, NEW_ROUTE)
    fleet.list_server('app-1', 'app', state='draining')
    wait_until_seen(lambda: version(fleet, 1) == 7, 'the change at the rejected instance')
    wait_leaving(fleet, 1)
    assert fleet.call('/later/a', at=1).status == 200


def test_instance_that_starts_without_the_store_learns_from_a_seed(
    fleet: GatewayFleet,
) -> None:
    seed = fleet.instances[0].address.ip
    fleet.store.faults.refused_ips = {seed.rpartition('.')[0] + '.13'}
    fleet.start_instance(seed_ips=(seed,))
    wait_until_seen(lambda: fleet.instances[2].replicated.is_complete, 'the third instance')
    assert fleet.call('/fetch/a', at=2).status == 200


def test_unknown_route_is_not_final_while_the_configuration_is_unconfirmed(
    fleet: GatewayFleet,
) -> None:
    # The store is down for all instances. A route that was just added is not known yet: a 404 would
    # be final for its callers, a 503 makes them retry.
    fleet.store.faults.refused_ips = {'*'}
    wait_until_seen(lambda: fleet.call('/later/a').status == 503, 'a 503')
    fleet.store.faults.refused_ips = set()
    wait_until_seen(lambda: fleet.call('/later/a').status == 404, 'a 404')


def test_requests_are_served_while_the_store_is_down(fleet: GatewayFleet) -> None:
    fleet.store.faults.refused_ips = {'*'}
    gevent.sleep(1.5)
    for number in range(5):
        assert fleet.call('/fetch/a', request_id=f'request-{number}').status == 200


def test_table_is_reread_after_a_lost_history(fleet: GatewayFleet) -> None:
    # The store drops its history while an instance is behind, so its feed ends with 410. The next
    # full read returns the missed changes.
    fleet.store.faults.stale_at = fleet.store.table.version
    fleet.configure(7, NEW_ROUTE)
    fleet.store.table.forget_history()
    fleet.store.faults.stale_at = None
    wait_until_seen(lambda: version(fleet, 0) == 7, 'the change')


def test_stale_reads_never_revert_a_change(fleet: GatewayFleet) -> None:
    before = fleet.store.table.version
    fleet.configure(7, NEW_ROUTE)
    wait_until_seen(lambda: version(fleet, 0) == 7, 'the change')
    fleet.store.faults.stale_at = before
    gevent.sleep(1.3)
    assert version(fleet, 0) == 7


def test_draining_server_gets_no_new_requests(fleet: GatewayFleet) -> None:
    fleet.list_server('app-1', 'app', state='draining')
    for at in (0, 1):
        wait_leaving(fleet, at)
    fleet.servers['app-1'].runs.clear()
    for number in range(8):
        assert fleet.call('/fetch/a', at=number % 2, request_id=f'r-{number}').status == 200
    assert not fleet.servers['app-1'].runs


def test_removed_server_leaves_the_registry(fleet: GatewayFleet) -> None:
    fleet.store.remove(SERVERS_TABLE, 'app-1')
    books = [each.book for each in fleet.instances]
    wait_until_seen(
        lambda: all(book.state(ServerId('app-1')) is None for book in books), 'the removal'
    )


def test_peers_count_each_others_requests(fleet: GatewayFleet) -> None:
    # If two instances don't know of each other's requests, both choose the same server and overload
    # it.
    server = fleet.servers['lm-1']
    server.event_gap_ms = 300.0
    fleet.servers['lm-2'].event_gap_ms = 300.0
    with fleet.connection(0) as sock:
        sock.sendall(
            b'POST /stream/a HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: a\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        now_ms = fleet.clock.now_ms
        states = list(fleet.instances[1].book.states())
        wait_until_seen(
            lambda: sum(state.online_count(now_ms()) for state in states) == 1, 'the count'
        )
    wait_until_seen(
        lambda: sum(state.online_count(now_ms()) for state in states) == 0,
        'the count to return to zero',
    )
