"""Tests that a misdirected request takes a server out of use only if it has lost its address."""

from __future__ import annotations

import pytest

from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import MISPLACED_MS
from citrondyke.gateway.servers.reply_reader import ReplyHead
from citrondyke.ids import ServiceName
from citrondyke.platform.dialect import EXPECT_SERVER_HEADER, EXPECT_WEIGHTS_HEADER, PlatformDialect
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server


@pytest.mark.parametrize('states_id', [True, False])
def test_requests_for_other_weights_take_no_server_out_of_use(
    fleet: GatewayFleet, states_id: bool
) -> None:
    # Callers expect weights that no server has; each server rejects them, and all are sound.
    for server in fleet.servers.values():
        server.states_id = states_id
    for number in range(4):
        pinned = fleet.call(
            '/stream/x', at=number % 2, request_id=f'pinned-{number}', expect_version='2'
        )
        assert pinned.status == 503
    for at in (0, 1):
        assert fleet.call('/stream/x', at=at, request_id=f'plain-{at}').status == 200
    assert fleet.submit('job').status == 202
    assert {each['state'] for each in fleet.wait_done('job')} == {'completed'}


def test_item_for_other_weights_leaves_the_servers_to_the_others(fleet: GatewayFleet) -> None:
    # Only the owner sends the item, and it sends all other items, too.
    assert fleet.submit('pinned', 1, item_headers={'Expect-Version': '2'}).status == 202
    servers = [server for name, server in fleet.servers.items() if name.startswith('lm')]
    wait_until_seen(lambda: all(server.refused_count for server in servers), 'all to reject it')
    assert fleet.submit('job').status == 202
    assert {each['state'] for each in fleet.wait_done('job')} == {'completed'}


def test_server_that_gets_its_address_back_is_used_again(fleet: GatewayFleet) -> None:
    # Another server answers at the address for a while, and the entry stays as it is.
    for name, server in fleet.servers.items():
        if name.startswith('lm'):
            server.server_id = 'another'
    assert fleet.call('/stream/x', request_id='early').status == 503
    for name, server in fleet.servers.items():
        server.server_id = name
    wait_until_seen(
        lambda: fleet.call('/stream/x', request_id='late').status == 200, 'the server to be used'
    )


def test_misplaced_server_is_tried_again_after_a_time() -> None:
    clock = ManualClock()
    registry = ServerRegistry(manual_context(clock))
    registry.replace([listed_server('s-0', 's')])
    (state,) = registry.states()
    state.record_misplaced(clock.ms)
    assert not registry.eligible_servers(ServiceName('s'))
    clock.ms += MISPLACED_MS
    assert registry.eligible_servers(ServiceName('s')) == [state]
    state.record_misplaced(clock.ms)
    state.record_answered(clock.ms)
    assert registry.eligible_servers(ServiceName('s')) == [state]


@pytest.mark.parametrize(
    ('stated_id', 'weights', 'is_misplaced'),
    [
        (b'other', None, True),
        (b'other', b'2', True),
        (b'own', b'2', False),
        (b'own', None, False),
        (None, None, True),
        (None, b'2', False),
    ],
)
def test_who_answers_decides_whether_a_server_is_misplaced(
    stated_id: bytes | None, weights: bytes | None, is_misplaced: bool
) -> None:
    sent = [(EXPECT_SERVER_HEADER, b'own')]
    if weights is not None:
        sent.append((EXPECT_WEIGHTS_HEADER, weights))
    head = ReplyHead(421, [] if stated_id is None else [(b'instance-id', stated_id)])
    metadata = PlatformDialect().reply_metadata(head, sent)
    assert metadata.was_not_run
    assert metadata.is_misplaced == is_misplaced
