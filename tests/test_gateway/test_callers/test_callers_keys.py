"""Tests of API keys: authentication, the account sent to servers, and ownership of jobs."""

from __future__ import annotations

import pytest

from citrondyke.decisions.forwarding.route_table import EMPTY_ROUTE_TABLE
from citrondyke.gateway.peers.peer_codec import KnowledgeWanted
from citrondyke.ids import ConfigVersion
from tests.support.gateway import (
    HOST,
    ROUTES,
    GatewayFleet,
    Reply,
    account,
    exchange,
    route,
    wait_until_seen,
)

ACME, OTHER = 'key-of-acme', 'key-of-other'


@pytest.fixture
def keyed(fleet: GatewayFleet) -> GatewayFleet:
    """A fleet whose configuration has two accounts and a public route."""
    routes = [*ROUTES, route('open', 'idempotent', 'app', public=True)]
    accounts = [account('acme', ACME, 'second-of-acme'), account('other', OTHER)]
    fleet.configure(2, routes, accounts)
    fleet.wait_version(2)
    return fleet


def seen_headers(fleet: GatewayFleet) -> list[dict[bytes, bytes]]:
    return [run.headers for server in fleet.servers.values() for run in server.runs]


@pytest.mark.parametrize('path', ['/fetch/x', '/stream/x'])
def test_server_receives_the_account_and_never_the_key(keyed: GatewayFleet, path: str) -> None:
    # A caller puts another account into the header that tells servers the account. If it were
    # forwarded, a server would show one customer's data to another.
    reply = keyed.call(path, x_api_key=ACME, tenant='other')
    assert reply.status == 200
    (headers,) = seen_headers(keyed)
    assert headers[b'tenant'] == b'acme'
    assert b'x-api-key' not in headers


@pytest.mark.parametrize('key', ['', 'nobodys', ACME[:-1], f'{ACME},{OTHER}'])
def test_caller_without_a_valid_key_gets_401_and_reaches_no_server(
    keyed: GatewayFleet, key: str
) -> None:
    assert keyed.call('/fetch/x', x_api_key=key).status == 401
    assert keyed.call('/fetch/x', request_id='bare').status == 401
    assert keyed.submit('job-1', x_api_key=key).status == 401
    assert not seen_headers(keyed)


def test_public_route_needs_no_key(keyed: GatewayFleet) -> None:
    assert keyed.call('/open/x', request_id='without').status == 200
    assert keyed.call('/open/x', request_id='with', x_api_key=ACME).status == 200
    assert keyed.call('/open/x', request_id='unknown', x_api_key='nobodys').status == 200
    told = [headers.get(b'tenant') for headers in seen_headers(keyed)]
    assert sorted(str(each) for each in told) == ['None', 'None', "b'acme'"]
    assert not [headers for headers in seen_headers(keyed) if b'x-api-key' in headers]


def test_revoked_key_is_rejected_on_an_open_connection(keyed: GatewayFleet) -> None:
    # The operator revokes a key while a program still has a connection open. If the key were
    # checked only when the connection is opened, the program would be served indefinitely.
    with keyed.connection() as sock:
        assert exchange(sock, '/fetch/x', b'', x_api_key=ACME).status == 200
        keyed.configure(3, accounts=[account('acme', 'second-of-acme')])
        keyed.wait_version(3)
        assert exchange(sock, '/fetch/x', b'', request_id='late', x_api_key=ACME).status == 401
        reply = exchange(sock, '/fetch/x', b'', request_id='new', x_api_key='second-of-acme')
        assert reply.status == 200


def test_unknown_key_gets_a_retry_time_while_the_configuration_may_be_stale(
    keyed: GatewayFleet,
) -> None:
    # The store rejects this instance's calls, so it cannot know whether the key was added
    # meanwhile. A 401 would be final: the caller would not retry.
    keyed.store.faults.refused_ips = {each.address.ip for each in keyed.instances}
    config = keyed.instances[0].replicated.config
    now_ms = keyed.instances[0].context.now_ms
    wait_until_seen(lambda: not config.is_confirmed(now_ms()), 'the configuration to grow old')
    reply = keyed.call('/fetch/x', x_api_key='nobodys')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
    assert keyed.call('/fetch/x', request_id='known', x_api_key=ACME).status == 200


def test_job_belongs_to_its_account(keyed: GatewayFleet) -> None:
    # A caller that knows another account's job id, from a log for example, must not be able to read
    # its results, cancel it, or find out that it exists.
    assert keyed.submit('job-1', x_api_key=ACME).status == 202
    done = keyed.wait_done('job-1', at=1, x_api_key='second-of-acme')
    assert len(done) == 3
    assert {headers.get(b'tenant') for headers in seen_headers(keyed)} == {b'acme'}
    for at in (0, 1):
        for method, path in (
            ('GET', '/-/lots/job-1?after=0'),
            ('GET', '/-/items/job-1?id=job-1-0'),
            ('DELETE', '/-/lots/job-1'),
        ):
            reply = keyed.call(path, b'', at=at, method=method, x_api_key=OTHER)
            missing = keyed.call(f'{path}-none', b'', at=at, method=method, x_api_key=OTHER)
            assert (reply.status, reply.body) == (missing.status, missing.body) == (404, b'')
            assert keyed.call(path, b'', at=at, method=method).status == 401
    assert keyed.submit('job-1', at=1, x_api_key=OTHER).status == 404
    assert len(keyed.results('job-1', x_api_key=ACME)['results']) == 3


def test_job_continues_after_its_key_is_revoked(keyed: GatewayFleet) -> None:
    for name in ('lm-1', 'lm-2'):
        keyed.servers[name].event_gap_ms = 60.0
    assert keyed.submit('job-1', x_api_key=ACME).status == 202
    keyed.configure(3, accounts=[account('acme', 'third-of-acme'), account('other', OTHER)])
    keyed.wait_version(3)
    assert len(keyed.wait_done('job-1', x_api_key='third-of-acme')) == 3


def test_peer_receives_digests_and_no_keys(keyed: GatewayFleet) -> None:
    # Messages between instances are sent unencrypted.
    exchange = keyed.instances[0].peers.store_state

    told = exchange.answer(KnowledgeWanted(0), ConfigVersion(0)).data
    assert HOST.encode() in told
    assert ACME.encode() not in told


def test_invalid_accounts_leave_the_previous_version_in_force(keyed: GatewayFleet) -> None:
    # A key that belongs to two accounts is ambiguous. If it were accepted, requests of one customer
    # would run under the other's account.
    keyed.configure(3, accounts=[account('acme', ACME), account('other', ACME)])
    keyed.configure(4, accounts=[account('acme', ACME, rate_per_s=-1)])
    assert keyed.call('/fetch/x', x_api_key=OTHER).status == 200
    assert keyed.instances[0].replicated.config.table.version == 2


def test_instance_without_a_configuration_does_not_report_a_job_as_unknown(
    keyed: GatewayFleet,
) -> None:
    # An instance that has just started reaches the store but has not read the configuration. Every
    # key is unknown to it; after a 404 the job's caller would submit the job again.
    assert keyed.submit('job-1', x_api_key=ACME).status == 202
    config = keyed.instances[1].replicated.config

    def call_without_configuration(path: str, method: str) -> Reply:
        # The instance reads the configuration each second; only responses sent without it count.
        while True:
            config.table = EMPTY_ROUTE_TABLE
            reply = keyed.call(path, b'', at=1, method=method, x_api_key=ACME)
            if not config.table.version:
                return reply

    for method, path in (
        ('GET', '/-/lots/job-1?after=0'),
        ('GET', '/-/items/job-1?id=job-1-0'),
        ('DELETE', '/-/lots/job-1'),
    ):
        reply = call_without_configuration(path, method)
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 0
