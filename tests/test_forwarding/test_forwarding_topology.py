"""In a large fleet counts stay fresh where requests are placed by them, and cost little."""

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
    """One instance's counts and what it tells."""

    def __init__(self, clock: ManualClock, zone: str, number: int) -> None:
        self.context = manual_context(clock, f'{zone}-{number}', zone, seed=number)
        self.book = ServerRegistry(self.context)
        self.book.replace(
            listed_server(f's{n}', SERVICE, 7, ZONES[n % len(ZONES)]) for n in range(SERVERS)
        )
        self.notices = LoadNotices(self.context, self.book)

    def state(self, server_id: str) -> ServerState:
        found = self.book.state(ServerId(server_id))
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
            node.book.topology.replace(
                {other: zone for other, zone in zones.items() if other != instance_id}
            )
        self.datagrams = 0

    def node(self, name: str) -> Node:
        return self.nodes[InstanceId(name)]

    def tell(self, node: Node) -> None:
        """Deliver what an instance has to tell."""
        for addressed in node.notices.add_recipients(node.notices.take_due()):
            self.datagrams += len(addressed.recipients)
            for receiver in addressed.recipients:
                self.nodes[receiver].notices.record_peer_counts(
                    node.context.instance_id, addressed.loads
                )

    def tell_totals(self) -> None:
        """Deliver everybody's sums."""
        for node in self.nodes.values():
            totals = node.notices.take_totals()
            turn = node.notices.totals_rotation
            for receiver in node.book.topology.one_peer_per_remote_zone(turn):
                self.datagrams += 1
                self.nodes[receiver].notices.record_totals(totals)


def test_small_fleet_tells_all() -> None:
    neighbours = PeerTopology(manual_context())
    neighbours.replace(other_instances(6) | other_instances(6, 'zone-b'))
    assert not neighbours.is_zoned
    assert len(neighbours.mesh_peers()) == 12
    assert neighbours.store_interval_factor == 1.0


def test_calls_of_the_store_grow_slower_than_the_fleet() -> None:
    # Each instance reads all heartbeats; if 370 did so every second as 13 do, the reads alone
    # would be 370 rows each for 370 instances, and the writes half of what the store takes.
    neighbours = PeerTopology(manual_context())
    neighbours.replace(other_instances(2 * STORE_PACING_THRESHOLD - 1))
    assert neighbours.store_interval_factor == 2.0
    neighbours.replace(other_instances(10_000))
    assert neighbours.store_interval_factor == 3.0


def test_request_is_told_to_the_zone_and_no_further() -> None:
    fleet = Fleet()
    assert len(fleet.nodes) > MESH_LIMIT
    sender = fleet.node('zone-a-0')
    sender.state('s0').own.online = 1
    fleet.tell(sender)
    assert fleet.datagrams == PER_ZONE - 1
    assert fleet.node('zone-a-7').state('s0').online_count(fleet.clock.ms) == 1


def test_server_of_another_zone_is_known_there_at_once() -> None:
    # An instance of zone a sends to a server of zone b. The instances of zone b place most of
    # their requests there and must count it, or they overfill the server.
    fleet = Fleet()
    sender = fleet.node('zone-a-0')
    sender.state('s1').own.online = 1
    fleet.tell(sender)
    assert fleet.node('zone-b-3').state('s1').online_count(fleet.clock.ms) == 1
    assert fleet.node('zone-c-3').state('s1').online_count(fleet.clock.ms) == 0


def test_owner_of_an_item_in_another_zone_hears_of_the_online_request() -> None:
    # An instance of zone a runs a batch item at a server of zone b. An online request that comes
    # to that server from zone b would wait for its place until the owner hears of it.
    fleet = Fleet()
    owner = fleet.node('zone-a-0')
    owner.state('s1').own.batch = 1
    fleet.tell(owner)
    caller = fleet.node('zone-b-5')
    caller.state('s1').own.online = 7
    fleet.tell(caller)
    assert owner.state('s1').online_count(fleet.clock.ms) == 7


def test_other_zones_hear_of_sums() -> None:
    fleet = Fleet()
    for n in range(3):
        node = fleet.node(f'zone-b-{n}')
        node.state('s1').own.online = 2
        fleet.tell(node)
    fleet.tell_totals()
    told = [
        node.state('s1').online_count(fleet.clock.ms)
        for name, node in fleet.nodes.items()
        if name.startswith('zone-c')
    ]
    # Each hears of it from somebody within some rounds of half a second; in one, most do.
    assert sum(count == 6 for count in told) >= PER_ZONE // 2


def test_own_zones_counts_are_never_replaced_by_a_sum() -> None:
    # A sum is up to half a second old. An instance knows the servers of its own zone better.
    fleet = Fleet()
    node = fleet.node('zone-a-0')
    node.notices.record_totals([ServerLoad(server_digest(node.state('s0').listed), 7, 0)])
    assert node.state('s0').online_count(fleet.clock.ms) == 0


def test_request_goes_to_another_zone_rather_than_wait() -> None:
    # All servers of the own zone are full; two of 27 others have a place. A caller must not be
    # turned away or wait for that reason.
    node = Fleet().node('zone-a-0')
    for state in node.book.states():
        state.own.online = 7
    node.state('s1').own.online = 3
    chosen = node.book.choose_server(SERVICE, (), '')
    assert chosen is node.state('s1')


def test_request_stays_in_its_zone_while_there_is_room() -> None:
    # A burst fills most places of the own zone, batch items the rest, and servers elsewhere look
    # empty. They looked so half a second ago, to all zones; a caller would wait there.
    node = Fleet().node('zone-a-0')
    for state in node.book.states():
        if state.listed.zone == node.context.zone:
            state.own.online = 4
            state.own.batch = 3
    chosen = node.book.choose_server(SERVICE, (), '')
    assert chosen is not None
    assert chosen.listed.zone == node.context.zone


def test_zone_without_enough_servers_uses_others_too() -> None:
    # The only server of the own zone is slow. Without a look at others all its callers were late.
    node = Fleet().node('zone-a-0')
    for state in list(node.book.states()):
        state.is_misplaced = state.listed.zone == node.context.zone and state.listed.id != 's0'
        state.record_latency(50.0 if state.listed.id != 's0' else 400.0)
    node.state('s0').own.online = 3
    chosen = node.book.choose_server(SERVICE, (), '')
    assert chosen is not None
    assert chosen.listed.id != 's0'


def test_load_is_even_and_the_datagrams_are_few() -> None:
    # 125 requests a second of 700 ms each at 88 instances, which tell each other of each start
    # and end after some ms. The busiest server has little more than the mean, and an instance
    # sends and gets a quarter of the datagrams that a mesh of all would take.
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
            fleet.tell(node)
        node = fleet.nodes[random.choice(names)]
        chosen = node.book.choose_server(SERVICE, (), '')
        assert chosen is not None
        chosen.own.online += 1
        fleet.tell(node)
        running.append((fleet.clock.ms + 700.0, node, chosen))
        if number % 62 == 0:
            fleet.tell_totals()
        if number > 100:
            counts = [0] * SERVERS
            for _, _, state in running:
                counts[int(state.listed.id[1:])] += 1
            peaks.append(max(counts) / (len(running) / SERVERS))
    assert sum(peaks) / len(peaks) < 2.0
    changes = 2 * 625
    assert fleet.datagrams < 0.4 * changes * (len(names) - 1)


def test_each_instance_hears_of_each_other_zone_in_each_turn() -> None:
    # With receivers drawn by chance a third heard nothing of a zone for half a second, and some
    # for two. They sent requests there by counts of before, to servers that were full by then.
    fleet = Fleet()
    heard: dict[InstanceId, list[str]] = {each: [] for each in fleet.nodes}
    for turn in range(3):
        for instance_id, node in fleet.nodes.items():
            for receiver in node.book.topology.one_peer_per_remote_zone(turn):
                heard[receiver].append(fleet.nodes[instance_id].context.zone)
    for instance_id, zones in heard.items():
        others = [zone for zone in ZONES if zone != fleet.nodes[instance_id].context.zone]
        assert sorted(zones) == sorted(others * 3)


def test_choice_looks_at_what_has_come() -> None:
    # Notices lie unread in a large fleet until a server is chosen. Chosen without a look, the
    # server that a neighbour has just filled would get the request.
    clock = ManualClock()
    book = ServerRegistry(manual_context(clock))
    book.replace(listed_server(name, 's', 1) for name in ('full', 'free'))
    full = book.state(ServerId('full'))
    assert full is not None
    book.on_choose(lambda: full.record_peer_counts(InstanceId('other'), 1, 0, clock.ms))
    for choose in (book.choose_server, book.choose_for_suspect):
        chosen = choose(ServiceName('s'), (), 'name')
        assert chosen is not None
        assert chosen.listed.id == 'free'


def test_notices_wait_in_a_large_fleet_only_and_less_for_owners() -> None:
    neighbours = PeerTopology(manual_context())
    assert neighbours.coalesce_ms(is_owner=False) == 0.0
    neighbours.replace(other_instances(40))
    assert 0.0 < neighbours.coalesce_ms(is_owner=True) < neighbours.coalesce_ms(is_owner=False)


def test_sums_leave_idle_servers_out_and_say_once_more_that_one_is_idle() -> None:
    # 300 instances told each other twice a second of 750 servers a zone, nearly all of them idle:
    # 10 MB a second between zones, and nine times that at three times the size.
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
