"""Peers tell what the asking instance lacks, and are asked only while the store does not answer."""

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


def known(fleet: GatewayFleet, instances_count: int, version: int) -> StoreState:
    """Ask the first instance without a socket."""
    exchange = fleet.instances[0].peers.store_state
    data = exchange.answer(KnowledgeWanted(instances_count), ConfigVersion(version))
    assert isinstance(data, KnowledgeData)
    return decode_msgpack(data.data, StoreState)


def asks_count(fleet: GatewayFleet) -> int:
    return sum(
        count
        for instance in fleet.instances
        for name, count in instance.metrics.counters.items()
        if name.startswith('peer_messages_sent_KnowledgeWanted')
    )


def test_answer_leaves_out_what_the_asking_instance_has(fleet: GatewayFleet) -> None:
    # A configuration may hold thousands of routes. While the store is away all ask, again and
    # again, and each was told the whole of it each time.
    version = fleet.instances[0].replicated.config.table.version
    behind = known(fleet, instances_count=1, version=version - 1)
    assert behind.table == fleet.instances[0].replicated.config.table
    assert len(behind.peers) == len(fleet.instances)
    level = known(fleet, instances_count=len(fleet.instances), version=version)
    assert level.table is None
    assert not level.peers
    assert len(level.servers) == len(fleet.servers)


def test_peers_are_not_asked_while_the_store_answers(fleet: GatewayFleet) -> None:
    # In a large fleet the store is read so rarely that seconds pass between two answers. Taken
    # for an outage, that had all instances ask their peers for everything they know.
    before = asks_count(fleet)
    gevent.sleep(2.0)
    assert asks_count(fleet) == before


def test_peers_are_asked_while_the_store_refuses(fleet: GatewayFleet) -> None:
    fleet.store.faults.refused_ips = {fleet.instances[1].address.ip}
    before = asks_count(fleet)
    wait_until_seen(lambda: asks_count(fleet) > before, 'a question to a peer')


def test_answer_leaves_out_the_list_that_the_asking_instance_has(fleet: GatewayFleet) -> None:
    # While the store is away 300 instances ask each other more than once a second; each answer
    # brought 500 KB of servers, though all had the same ones.
    asking = fleet.instances[1].replicated
    exchange = fleet.instances[0].peers.store_state
    data = exchange.answer(
        KnowledgeWanted(2, asking.list_digest), fleet.instances[1].replicated.config.table.version
    )
    known_there = decode_msgpack(data.data, StoreState)
    assert known_there.has_same_servers
    assert not known_there.servers
    whole = exchange.answer(KnowledgeWanted(0, takes_compressed=True), ConfigVersion(0))
    plain = exchange.answer(KnowledgeWanted(), ConfigVersion(0))
    assert len(whole.data) <= len(plain.data)
    assert decode_msgpack(decompress_if_needed(whole.data), StoreState).servers
    before = list(asking.server_rows()[0])
    fleet.instances[1].peers.store_state._request(fleet.instances[0].address.ip)
    assert asking.server_rows()[0] == before


def test_start_without_the_store_is_served_by_a_seed_at_once(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A rolling stop while the store is away: each instance that comes back knows nothing, and a
    # caller's first target is 300 ms.
    fleet.store.faults.refused_ips = {'*'}
    fleet.store.faults.is_silent = True
    # Nobody but the first question can bring it.
    monkeypatch.setattr(store_state_exchange, 'REQUEST_EVERY_MS', 1e6)
    started = fleet.start_instance(seed_ips=(fleet.instances[0].address.ip,))
    wait_until_seen(lambda: started.replicated.is_complete, 'the new instance to serve')
