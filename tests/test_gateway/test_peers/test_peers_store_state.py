"""Peers send the store state that the requester lacks; queries run only while the store is down."""

from __future__ import annotations

import gevent
import pytest

from citrondyke.gateway.peers import store_state_exchange
from citrondyke.gateway.peers.list_codec import decompress_if_needed
from citrondyke.gateway.peers.peer_codec import KnowledgeData, KnowledgeWanted
from citrondyke.gateway.peers.store_state_exchange import StoreState
from citrondyke.ids import ConfigVersion
from citrondyke.util.decoding import decode_msgpack
from tests.support.gateway import GatewayFleet, wait_until_seen


def store_state(fleet: GatewayFleet, instances_count: int, version: int) -> StoreState:
    """Return the answer of the first instance, without a socket."""
    exchange = fleet.instances[0].peers.store_state
    data = exchange.answer(KnowledgeWanted(instances_count), ConfigVersion(version))
    assert isinstance(data, KnowledgeData)
    return decode_msgpack(data.data, StoreState)


def requests_count(fleet: GatewayFleet) -> int:
    return sum(
        count
        for instance in fleet.instances
        for name, count in instance.metrics.counters.items()
        if name.startswith('peer_messages_sent_KnowledgeWanted')
    )


def test_answer_omits_what_the_requester_has(fleet: GatewayFleet) -> None:
    # A configuration may have thousands of routes. While the store is down every instance sends
    # requests repeatedly, and each answer would contain the whole configuration.
    version = fleet.instances[0].replicated.config.table.version
    stale = store_state(fleet, instances_count=1, version=version - 1)
    assert stale.table == fleet.instances[0].replicated.config.table
    assert len(stale.peers) == len(fleet.instances)
    current = store_state(fleet, instances_count=len(fleet.instances), version=version)
    assert current.table is None
    assert not current.peers
    assert len(current.servers) == len(fleet.servers)


def test_peers_are_not_queried_while_the_store_answers(fleet: GatewayFleet) -> None:
    # In a large fleet the store is read so rarely that seconds pass between two answers. If that
    # counted as an outage, all instances would request the store state of their peers.
    before = requests_count(fleet)
    gevent.sleep(2.0)
    assert requests_count(fleet) == before


def test_peers_are_queried_while_the_store_rejects_calls(fleet: GatewayFleet) -> None:
    fleet.store.faults.refused_ips = {fleet.instances[1].address.ip}
    before = requests_count(fleet)
    wait_until_seen(lambda: requests_count(fleet) > before, 'a request to a peer')


def test_answer_omits_the_server_list_that_the_requester_has(fleet: GatewayFleet) -> None:
    # While the store is down 300 instances query each other more than once a second. Each answer
    # would contain 500 KB of servers, although all instances have the same list.
    requester = fleet.instances[1].replicated
    exchange = fleet.instances[0].peers.store_state
    data = exchange.answer(
        KnowledgeWanted(2, requester.list_digest),
        fleet.instances[1].replicated.config.table.version,
    )
    state = decode_msgpack(data.data, StoreState)
    assert state.has_same_servers
    assert not state.servers
    compressed = exchange.answer(KnowledgeWanted(0, takes_compressed=True), ConfigVersion(0))
    plain = exchange.answer(KnowledgeWanted(), ConfigVersion(0))
    assert len(compressed.data) <= len(plain.data)
    assert decode_msgpack(decompress_if_needed(compressed.data), StoreState).servers
    before = list(requester.server_rows()[0])
    fleet.instances[1].peers.store_state._request(fleet.instances[0].address.ip)
    assert requester.server_rows()[0] == before


def test_instance_started_without_the_store_gets_its_state_from_a_seed(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # During a rolling restart while the store is down each restarted instance has no state, and
    # the target for a caller's first response is 300 ms.
    fleet.store.faults.refused_ips = {'*'}
    fleet.store.faults.is_silent = True
    # Later requests are ruled out, so that only the first one can deliver the state.
    monkeypatch.setattr(store_state_exchange, 'REQUEST_EVERY_MS', 1e6)
    started = fleet.start_instance(seed_ips=(fleet.instances[0].address.ip,))
    wait_until_seen(lambda: started.replicated.is_complete, 'the new instance to serve')
