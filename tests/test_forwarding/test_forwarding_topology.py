"""In a large fleet, counts that requests are routed by stay fresh at a low cost."""

from __future__ import annotations

from random import Random

from citrondyke.decisions.forwarding.load_notices import (
    TOTAL_LIFETIME_MS,
    TOTALS_EVERY_MS,
    LoadNotices,
    ServerLoad,
)
from citrondyke.decisions.forwarding.peer_topology import (
    MESH_LIMIT,
    STORE_PACING_THRESHOLD,
    PeerTopology,
)
from citrondyke.decisions.forwarding.server_registry import ServerRegistry, server_digest
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.ids import InstanceId, ServerId, ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server, other_instances

ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
SERVICE = ServiceName('lm')
SERVERS = 36
PER_ZONE = 22


class Node:
    """One instance's counts and its notices."""

    def __init__(self, clock: ManualClock, zone: str, number: int) -> None:
        self.context = manual_context(clock, f'{zone}-{number}', zone, seed=number)
        self.registry = ServerRegistry(self.context)
        self.registry.replace(
            listed_server(f's{n}', SERVICE, 7, ZONES[n % len(ZONES)]) for n in range(SERVERS)
        )
        self.notices = LoadNotices(self.context, self.registry)

    def state(self, server_id: str) -> ServerState:
        found = self.registry.state(ServerId(server_id))
        assert found is not None
        return found


class Fleet:
    """88 instances in four zones, and the datagrams between them."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.nodes = {
            InstanceId(f'{zone}-{n}'): Node(self.clock, zone, n)
            for zone in ZONES
            for n in range(PER_ZONE)
        }
        zones = {instance_id: node.context.zone for instance_id, node in self.nodes.items()}
        for instance_id, node in self.nodes.items():
            node.registry.topology.replace(
                {other: zone for other, zone in zones.items() if other != instance_id}
            )
        self.datagrams = 0

    def node(self, name: str) -> Node:
        return self.nodes[InstanceId(name)]

    def deliver_notices(self, node: Node) -> None:
        """Deliver the due notices of an instance."""
        for addressed in node.notices.add_recipients(node.notices.take_due()):
            self.datagrams += len(addressed.recipients)
            for recipient in addressed.recipients:
                self.nodes[recipient].notices.record_peer_counts(
                    node.context.instance_id, addressed.loads
                )

    def deliver_totals(self) -> None:
        """Deliver every instance's totals."""
        for node in self.nodes.values():
            totals = node.notices.take_totals()
            rotation = node.notices.totals_rotation
            for recipient in node.registry.topology.one_peer_per_remote_zone(rotation):
                self.datagrams += 1
                self.nodes[recipient].notices.record_totals(totals)


def test_small_fleet_is_a_full_mesh() -> None:
    topology = PeerTopology(manual_context())
    topology.replace(other_instances(6) | other_instances(6, 'zone-b'))
    assert not topology.is_zoned
    assert len(topology.mesh_peers()) == 12
    assert topology.store_interval_factor == 1.0


def test_store_calls_grow_slower_than_the_fleet() -> None:
    # Each instance reads all heartbeats. If 370 instances did so every second, as 13 do, the reads
    # alone would be 370 rows for each of 370 instances, and the writes half of what the store can
    # take.
    topology = PeerTopology(manual_context())
    topology.replace(other_instances(2 * STORE_PACING_THRESHOLD - 1))
    assert topology.store_interval_factor == 2.0
    topology.replace(other_instances(10_000))
    assert topology.store_interval_factor == 3.0


def test_count_is_published_to_the_local_zone_only() -> None:
    fleet = Fleet()
    assert len(fleet.nodes) > MESH_LIMIT
    sender = fleet.node('zone-a-0')
    sender.state('s0').own.online = 1
    fleet.deliver_notices(sender)
    assert fleet.datagrams == PER_ZONE - 1
    assert fleet.node('zone-a-7').state('s0').online_count(fleet.clock.ms) == 1


def test_count_on_a_remote_server_reaches_its_zone_at_once() -> None:
    # An instance of zone a sends to a server of zone b. The instances of zone b route most requests
    # of that server and must count this one, or they overload it.
    fleet = Fleet()
    sender = fleet.node('zone-a-0')
    sender.state('s1').own.online = 1
    fleet.deliver_notices(sender)
    assert fleet.node('zone-b-3').state('s1').online_count(fleet.clock.ms) == 1
    assert fleet.node('zone-c-3').state('s1').online_count(fleet.clock.ms) == 0


def test_remote_owner_of_an_item_receives_the_online_count() -> None:
    # An instance of zone a runs a batch item at a server of zone b. An online request that arrives
    # there from zone b would wait until the owner of the item receives its count.
    fleet = Fleet()
    owner = fleet.node('zone-a-0')
    owner.state('s1').own.batch = 1
    fleet.deliver_notices(owner)
    caller = fleet.node('zone-b-5')
    caller.state('s1').own.online = 7
    fleet.deliver_notices(caller)
    assert owner.state('s1').online_count(fleet.clock.ms) == 7


def test_remote_zones_receive_totals() -> None:
    fleet = Fleet()
    for n in range(3):
        node = fleet.node(f'zone-b-{n}')
        node.state('s1').own.online = 2
        fleet.deliver_notices(node)
    fleet.deliver_totals()
    received_counts = [
        node.state('s1').online_count(fleet.clock.ms)
        for name, node in fleet.nodes.items()
        if name.startswith('zone-c')
    ]
    # Every instance receives the totals within some rounds of half a second, most of them in one.
    assert sum(count == 6 for count in received_counts) >= PER_ZONE // 2


def test_counts_of_the_local_zone_are_never_replaced_by_a_total() -> None:
    # A total is up to half a second old. An instance knows the servers of its own zone better.
    fleet = Fleet()
    node = fleet.node('zone-a-0')
    node.notices.record_totals([ServerLoad(server_digest(node.state('s0').listed), 7, 0)])
    assert node.state('s0').online_count(fleet.clock.ms) == 0


def test_request_goes_to_a_remote_zone_rather_than_wait() -> None:
    # All servers of the local zone are full; two of 27 others have capacity. A caller must not be
    # rejected or wait for that reason.
    node = Fleet().node('zone-a-0')
    for state in node.registry.states():
        state.own.online = 7
    node.state('s1').own.online = 3
    chosen = node.registry.choose_server(SERVICE, (), '')
    assert chosen is node.state('s1')


def test_request_stays_in_its_zone_while_there_is_capacity() -> None:
    # A burst fills most of the capacity of the local zone, batch items the rest, and remote servers
    # look empty. They looked so half a second ago, to all zones; a caller would wait there.
    node = Fleet().node('zone-a-0')
    for state in node.registry.states():
        if state.listed.zone == node.context.zone:
            state.own.online = 4
            state.own.batch = 3
    chosen = node.registry.choose_server(SERVICE, (), '')
    assert chosen is not None
    assert chosen.listed.zone == node.context.zone


def test_zone_with_too_few_servers_uses_remote_ones() -> None:
    # The only server of the local zone is slow. Without remote candidates all its callers would
    # miss their target.
    node = Fleet().node('zone-a-0')
    for state in list(node.registry.states()):
        if state.listed.zone == node.context.zone and state.listed.id != 's0':
            state.record_misplaced(node.context.now_ms())
        state.record_latency(50.0 if state.listed.id != 's0' else 400.0)
    node.state('s0').own.online = 3
    chosen = node.registry.choose_server(SERVICE, (), '')
    assert chosen is not None
    assert chosen.listed.id != 's0'


def test_load_is_even_and_the_datagrams_are_few() -> None:
    # 125 requests a second of 700 ms each at 88 instances, which publish each start and end after
    # some ms. The busiest server has little more than the mean, and an instance sends and receives
    # a quarter of the datagrams of a full mesh.
    fleet = Fleet()
    random = Random(3)
    names = list(fleet.nodes)
    running: list[tuple[float, Node, ServerState]] = []
    peaks = []
    for number in range(625):
        fleet.clock.ms += 8.0
        while running and running[0][0] <= fleet.clock.ms:
            _, node, state = running.pop(0)
            state.own.online -= 1
            fleet.deliver_notices(node)
        node = fleet.nodes[random.choice(names)]
        chosen = node.registry.choose_server(SERVICE, (), '')
        assert chosen is not None
        chosen.own.online += 1
        fleet.deliver_notices(node)
        running.append((fleet.clock.ms + 700.0, node, chosen))
        if number % 62 == 0:
            fleet.deliver_totals()
        if number > 100:
            counts = [0] * SERVERS
            for _, _, state in running:
                counts[int(state.listed.id[1:])] += 1
            peaks.append(max(counts) / (len(running) / SERVERS))
    assert sum(peaks) / len(peaks) < 2.0
    changes = 2 * 625
    assert fleet.datagrams < 0.4 * changes * (len(names) - 1)


def test_each_instance_receives_each_remote_zone_in_each_rotation() -> None:
    # With recipients drawn at random, a third of the instances received nothing of a zone for half
    # a second, and some for two. They sent requests there by outdated counts, to servers that were
    # full by then.
    fleet = Fleet()
    received: dict[InstanceId, list[str]] = {each: [] for each in fleet.nodes}
    for rotation in range(3):
        for instance_id, node in fleet.nodes.items():
            for recipient in node.registry.topology.one_peer_per_remote_zone(rotation):
                received[recipient].append(fleet.nodes[instance_id].context.zone)
    for instance_id, zones in received.items():
        others = [zone for zone in ZONES if zone != fleet.nodes[instance_id].context.zone]
        assert sorted(zones) == sorted(others * 3)


def test_pending_counts_are_applied_before_a_choice() -> None:
    # In a large fleet notices stay unread until a server is chosen. If they were not applied first,
    # the server that a peer has just filled would get the request.
    clock = ManualClock()
    registry = ServerRegistry(manual_context(clock))
    registry.replace(listed_server(name, 's', 1) for name in ('full', 'free'))
    full = registry.state(ServerId('full'))
    assert full is not None
    registry.on_choose(lambda: full.record_peer_counts(InstanceId('other'), 1, 0, clock.ms))
    for choose in (registry.choose_server, registry.choose_for_suspect):
        chosen = choose(ServiceName('s'), (), 'name')
        assert chosen is not None
        assert chosen.listed.id == 'free'


def test_notices_are_coalesced_in_a_large_fleet_only_and_less_for_owners() -> None:
    topology = PeerTopology(manual_context())
    assert topology.coalesce_ms(is_owner=False) == 0.0
    topology.replace(other_instances(40))
    assert 0.0 < topology.coalesce_ms(is_owner=True) < topology.coalesce_ms(is_owner=False)


def test_totals_leave_out_idle_servers_after_reporting_them_once() -> None:
    # 300 instances sent each other the load of 750 servers a zone twice a second, nearly all of
    # them idle: 10 MB a second between zones, and nine times that at three times the size.
    fleet = Fleet()
    node = fleet.node('zone-b-0')
    assert node.notices.take_totals() == []
    node.state('s1').own.online = 1
    fleet.clock.ms += TOTALS_EVERY_MS
    busy = node.notices.take_totals()
    assert [(load.online, load.batch) for load in busy] == [(1, 0)]
    node.state('s1').own.online = 0
    fleet.clock.ms += TOTALS_EVERY_MS
    assert [load.online for load in node.notices.take_totals()] == [0]
    fleet.clock.ms += TOTAL_LIFETIME_MS
    assert node.notices.take_totals() == []
