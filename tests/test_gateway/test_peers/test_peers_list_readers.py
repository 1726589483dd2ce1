"""Two instances of a zone read the server list for the others; each test injects one failure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from select import select

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from citrondyke.decisions.server_list import reader_election
from citrondyke.gateway.instance import GatewayInstance
from citrondyke.gateway.peers import server_list_read_delegation
from citrondyke.gateway.peers.membership import INSTANCES_TABLE
from citrondyke.gateway.peers.server_list_subscriber import ServerListSubscriber
from citrondyke.gateway.settings import Address
from citrondyke.ids import AvailabilityZone, InstanceId
from citrondyke.platform.rows import CONFIG_TABLE, SERVERS_TABLE
from tests.support.gateway import HEALTH_PORT, GatewayFleet, wait_until_seen

INSTANCES = 6


class ReadersFleet(GatewayFleet):
    """Six instances of one zone, with a list large enough for the election of two readers."""

    def __init__(self) -> None:
        super().__init__()
        #: Store calls for the server list, by the address of the calling instance.
        self.calls_by_ip: Counter[str] = Counter()
        #: Full reads of the configuration, by the address of the calling instance.
        self.config_reads: Counter[str] = Counter()
        #: Connections to the store, by the caller's address.
        self._connections: defaultdict[str, set[socket.socket]] = defaultdict(set)
        answer = self.store.__call__
        handle = self._wsgi.handle

        def counted(environ: dict[str, str], start_response: object) -> object:
            if f'table={SERVERS_TABLE}' in environ.get('QUERY_STRING', ''):
                self.calls_by_ip[environ['REMOTE_ADDR']] += 1
            is_read = environ['PATH_INFO'] == '/-/rows-get'
            if is_read and f'table={CONFIG_TABLE}' in environ['QUERY_STRING']:
                self.config_reads[environ['REMOTE_ADDR']] += 1
            return answer(environ, start_response)

        def handle_counted(sock: socket.socket, address: tuple[str, int]) -> None:
            self._connections[address[0]].add(sock)
            try:
                handle(sock, address)
            finally:
                self._connections[address[0]].discard(sock)

        self._wsgi.application = counted
        self._wsgi.set_handle(handle_counted)

    def readers(self) -> list[GatewayInstance]:
        return [
            each for each in self.instances if each.peers.list_read_delegation.is_delegate_reader
        ]

    def followers(self) -> list[GatewayInstance]:
        return [each for each in self.instances if each.peers.list_read_delegation.is_delegated]

    def wait_delegated(self) -> None:
        wait_until_seen(
            lambda: len(self.readers()) == 2 and len(self.followers()) == INSTANCES - 2,
            'two readers and four followers',
        )

    def instances_with_leaving(self, name: str) -> list[GatewayInstance]:
        return [
            each
            for each in self.instances
            if any(s.listed.id == name and s.listed.is_leaving for s in each.book.states())
        ]

    def check_drain(self, instances: list[GatewayInstance] | None = None) -> None:
        """Drain a server, and check that the given instances, by default all, learn of it."""
        checked = list(self.instances) if instances is None else instances
        self.list_server('app-1', 'app', state='draining', seq=2)
        wait_until_seen(
            lambda: all(each in self.instances_with_leaving('app-1') for each in checked),
            'all instances to know the change',
        )

    def drop(self, instance: GatewayInstance) -> None:
        """Stop one instance without a shutdown.

        The store then serves the calls that the instance had sent before, so that they are not
        counted as calls of its next incarnation, which has the same address.
        """
        self.instances.remove(instance)
        instance.stop_abruptly()
        with socket.create_connection(('127.0.0.1', self._wsgi.server_port)):
            # The store accepts connections in order, so this one comes after all of the instance.
            wait_until_seen(
                lambda: (
                    self._connections['127.0.0.1'] and not self._has_unread(instance.address.ip)
                ),
                'the last calls of an instance to be read',
            )

    def _has_unread(self, ip: str) -> bool:
        readable = select([*self._connections[ip]], [], [], 0.0)[0]
        # A connection that the instance has closed is readable too, but without data.
        return any(sock.recv(1, socket.MSG_PEEK) for sock in readable)


@pytest.fixture
def readers_fleet(monkeypatch: pytest.MonkeyPatch) -> Iterator[ReadersFleet]:
    """A fleet whose readers are elected and whose followers have delegated their reads.

    The timeouts are longer than in production: all instances share one process, so on a busy
    machine they delay each other.
    """
    monkeypatch.setattr(reader_election, 'WORTHWHILE_BYTES', 1)
    monkeypatch.setattr(server_list_read_delegation, 'MEMBERS_TIMEOUT_MS', 2_500.0)
    monkeypatch.setattr(server_list_read_delegation, 'DECISION_TIMEOUT_MS', 2_000.0)
    made = ReadersFleet()
    try:
        made.configure()
        for name, service in (('app-1', 'app'), ('app-2', 'app'), ('lm-1', 'lm'), ('lm-2', 'lm')):
            made.add_server(name, service)
        for _ in range(INSTANCES):
            made.start_instance()
        made.wait_ready()
        made.wait_delegated()
        yield made
    finally:
        made.end()


def make_unresponsive(instance: GatewayInstance) -> None:
    """Drop all server list messages of an instance, and leave requests to it unanswered."""
    instance.peers.list_read_delegation._publisher._send = lambda *_: None
    instance.peers.list_read_delegation.answer = lambda *_: gevent.sleep(30.0)  # type: ignore[method-assign]


def test_only_the_two_readers_read_the_list(readers_fleet: ReadersFleet) -> None:
    # If 300 instances read 1.3 MB each, and each change four times, the store sends 60 MB/s.
    gevent.sleep(4.5)
    readers_fleet.calls_by_ip.clear()
    gevent.sleep(2.5)
    reading = {each.address.ip for each in readers_fleet.readers()}
    assert set(readers_fleet.calls_by_ip) <= reading
    readers_fleet.check_drain()


def test_small_fleet_reads_without_delegation(fleet: GatewayFleet) -> None:
    # With a small list the saved bytes do not justify depending on a peer.
    gevent.sleep(0.5)
    assert not any(each.peers.list_read_delegation.is_delegate_reader for each in fleet.instances)
    assert not any(each.peers.list_read_delegation.is_delegated for each in fleet.instances)


@pytest.mark.parametrize('count', [1, 2])
def test_updates_arrive_after_readers_are_killed(readers_fleet: ReadersFleet, count: int) -> None:
    for reader in readers_fleet.readers()[:count]:
        readers_fleet.drop(reader)
    readers_fleet.check_drain()


@pytest.mark.parametrize('count', [1, 2])
def test_updates_arrive_while_readers_are_unresponsive(
    readers_fleet: ReadersFleet, count: int
) -> None:
    # The readers are frozen or partitioned: connections to them are accepted but not answered.
    for reader in readers_fleet.readers()[:count]:
        make_unresponsive(reader)
    readers_fleet.check_drain()


@pytest.mark.parametrize('count', [1, 2])
def test_delegation_to_readers_that_the_store_rejects_expires(
    readers_fleet: ReadersFleet, count: int
) -> None:
    reading = readers_fleet.readers()[:count]
    readers_fleet.store.faults.refused_ips = {each.address.ip for each in reading}
    gevent.sleep(1.7)
    readers_fleet.check_drain([each for each in readers_fleet.instances if each not in reading])


def test_stale_reader_does_not_hide_changes(readers_fleet: ReadersFleet) -> None:
    # The feed and the reads of the reader return an old list, which it publishes as current.
    stale = readers_fleet.readers()[0]
    servers = stale.peers.list_read_delegation._follower
    assert servers is not None
    servers._on_rows = lambda _: None
    servers._on_listing = lambda *_: None
    others = [each for each in readers_fleet.instances if each is not stale]
    readers_fleet.check_drain(others)
    # By now all rows of the stale reader were requested, and must not have replaced newer ones.
    gevent.sleep(2.5)
    assert all(each in readers_fleet.instances_with_leaving('app-1') for each in others)


def test_lost_datagrams_are_recovered_after_the_next_cursor(readers_fleet: ReadersFleet) -> None:
    sends = []
    for reader in readers_fleet.readers():
        publisher = reader.peers.list_read_delegation._publisher
        sends.append((publisher, publisher._send))
        publisher._send = lambda *_: None
    readers_fleet.list_server('app-1', 'app', state='draining', seq=2)
    gevent.sleep(0.6)
    for publisher, send in sends:
        publisher._send = send
    wait_until_seen(
        lambda: len(readers_fleet.instances_with_leaving('app-1')) == INSTANCES,
        'all instances to know the change',
    )
    readers_fleet.wait_delegated()


def test_restart_of_all_without_known_members(readers_fleet: ReadersFleet) -> None:
    # The store has lost the heartbeats of the last incarnations, so that no instance knows the
    # elected readers to wait for.
    for instance in list(readers_fleet.instances):
        readers_fleet.drop(instance)
    for number in range(INSTANCES):
        readers_fleet.store.remove(INSTANCES_TABLE, f'instance-{number}')
    for _ in range(INSTANCES):
        readers_fleet.start_instance()
    readers_fleet.wait_ready()


def test_restart_of_all_reads_the_list_twice(readers_fleet: ReadersFleet) -> None:
    # After an outage of all instances the heartbeats of the last incarnations determine the
    # readers.
    for instance in list(readers_fleet.instances):
        readers_fleet.drop(instance)
    readers_fleet.calls_by_ip.clear()
    readers_fleet.config_reads.clear()
    for _ in range(INSTANCES):
        readers_fleet.start_instance()
    wait_until_seen(
        lambda: all(each.replicated.is_complete for each in readers_fleet.instances),
        'all instances to have their state',
    )
    assert len(readers_fleet.calls_by_ip) <= 2
    assert len(readers_fleet.config_reads) <= 2
    # Instances that got the configuration from a reader still follow later versions themselves.
    readers_fleet.configure(version=2)
    readers_fleet.wait_version(2)


def test_restart_of_all_without_both_readers(readers_fleet: ReadersFleet) -> None:
    dead = {each.context.instance_id for each in readers_fleet.readers()}
    for instance in list(readers_fleet.instances):
        readers_fleet.drop(instance)
    for number in range(INSTANCES):
        if f'instance-{number}' not in dead:
            instance = readers_fleet.start_instance(instance_id=f'instance-{number}')
    wait_until_seen(
        lambda: all(each.replicated.is_complete for each in readers_fleet.instances),
        'all instances to have their state',
    )


def test_single_instance_of_a_zone_reads_for_itself(readers_fleet: ReadersFleet) -> None:
    single = readers_fleet.start_instance(zone=AvailabilityZone('zone-b'))
    readers_fleet.wait_ready()
    assert not single.peers.list_read_delegation.is_delegated
    readers_fleet.check_drain()


def test_start_does_not_wait_for_a_reader_without_power(
    readers_fleet: ReadersFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # After a power loss of all machines, that of the first reader is the last to restart, and
    # connections to it hang. An instance that waited for it would have no list until it read one
    # itself.
    unpowered = readers_fleet.instances[0].peers.list_read_delegation._readers()[0]
    unpowered_ip = next(
        each.address.ip for each in readers_fleet.instances if each.context.instance_id == unpowered
    )
    request = ServerListSubscriber.request
    is_powered = Event()

    def request_or_hang(subscriber: ServerListSubscriber, reader: InstanceId, ip: str) -> bool:
        if ip == unpowered_ip:
            is_powered.wait()
            return False
        return request(subscriber, reader, ip)

    follower = next(
        each for each in readers_fleet.instances if each.peers.list_read_delegation.is_delegated
    )
    readers_fleet.drop(follower)
    monkeypatch.setattr(ServerListSubscriber, 'request', request_or_hang)
    for each in readers_fleet.instances:
        if each.context.instance_id == unpowered:
            make_unresponsive(each)
    readers_fleet.calls_by_ip.clear()
    started = readers_fleet.start_instance(
        instance_id=follower.context.instance_id,
        ip=follower.address.ip,
        callers=follower.address,
        health=Address(follower.address.ip, HEALTH_PORT),
    )
    wait_until_seen(lambda: started.replicated.is_complete, 'the new instance to have its state')
    assert follower.address.ip not in readers_fleet.calls_by_ip
    is_powered.set()
