"""Two instances of a zone read the list of servers for the others; each test has one failure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import gevent
import pytest
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
    """Six instances of one zone, for which it pays that two read."""

    def __init__(self) -> None:
        super().__init__()
        #: Calls of the list of servers, by the address of who made them.
        self.calls_by_ip: Counter[str] = Counter()
        #: Whole reads of the configuration, likewise.
        self.config_reads: Counter[str] = Counter()
        answer = self.store.__call__

        def counted(environ: dict[str, str], start_response: object) -> object:
            if f'table={SERVERS_TABLE}' in environ.get('QUERY_STRING', ''):
                self.calls_by_ip[environ['REMOTE_ADDR']] += 1
            is_read = environ['PATH_INFO'] == '/-/rows-get'
            if is_read and f'table={CONFIG_TABLE}' in environ['QUERY_STRING']:
                self.config_reads[environ['REMOTE_ADDR']] += 1
            return answer(environ, start_response)

        self._wsgi.application = counted

    def reading(self) -> list[GatewayInstance]:
        return [
            each for each in self.instances if each.peers.list_read_delegation.is_delegate_reader
        ]

    def following(self) -> list[GatewayInstance]:
        return [each for each in self.instances if each.peers.list_read_delegation.is_delegated]

    def wait_covered(self) -> None:
        wait_until_seen(
            lambda: len(self.reading()) == 2 and len(self.following()) == INSTANCES - 2,
            'two readers and four followers',
        )

    def know_leaving(self, name: str) -> list[GatewayInstance]:
        return [
            each
            for each in self.instances
            if any(s.listed.id == name and s.listed.is_leaving for s in each.book.states())
        ]

    def check_drain(self, instances: list[GatewayInstance] | None = None) -> None:
        """Have a server leave, and see that some instances, or all, hear of it."""
        judged = list(self.instances) if instances is None else instances
        self.list_server('app-1', 'app', state='draining', seq=2)
        wait_until_seen(
            lambda: all(each in self.know_leaving('app-1') for each in judged), 'all to know'
        )

    def drop(self, instance: GatewayInstance) -> None:
        """End one instance without a word."""
        self.instances.remove(instance)
        instance.stop_abruptly()


@pytest.fixture
def readers(monkeypatch: pytest.MonkeyPatch) -> Iterator[ReadersFleet]:
    """A fleet in which readers and followers are settled.

    All instances share one process: on a busy machine each would be slow for the others.
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
        made.wait_covered()
        yield made
    finally:
        made.end()


def silence(instance: GatewayInstance) -> None:
    """Let nothing that an instance sends arrive, and nothing be answered."""
    instance.peers.list_read_delegation._publisher._send = lambda *_: None
    instance.peers.list_read_delegation.answer = lambda *_: gevent.sleep(30.0)  # type: ignore[method-assign]


def test_followers_leave_the_list_to_two_readers(readers: ReadersFleet) -> None:
    # 300 instances that read 1.3 MB each, and each change four times, are 60 MB/s of the store.
    gevent.sleep(4.5)
    readers.calls_by_ip.clear()
    gevent.sleep(2.5)
    reading = {each.address.ip for each in readers.reading()}
    assert set(readers.calls_by_ip) <= reading
    readers.check_drain()


def test_small_fleet_reads_as_before(fleet: GatewayFleet) -> None:
    # Few bytes are no reason to rely on a neighbour.
    gevent.sleep(0.5)
    assert not any(each.peers.list_read_delegation.is_delegate_reader for each in fleet.instances)
    assert not any(each.peers.list_read_delegation.is_delegated for each in fleet.instances)


@pytest.mark.parametrize('count', [1, 2])
def test_reader_that_is_killed_is_no_gap(readers: ReadersFleet, count: int) -> None:
    for reader in readers.reading()[:count]:
        readers.drop(reader)
    readers.check_drain()


@pytest.mark.parametrize('count', [1, 2])
def test_reader_that_says_nothing_is_no_gap(readers: ReadersFleet, count: int) -> None:
    # Frozen, or cut off from the others: its connections are taken and nothing comes.
    for reader in readers.reading()[:count]:
        silence(reader)
    readers.check_drain()


@pytest.mark.parametrize('count', [1, 2])
def test_reader_that_the_store_refuses_covers_nobody_for_long(
    readers: ReadersFleet, count: int
) -> None:
    reading = readers.reading()[:count]
    readers.store.faults.refused_ips = {each.address.ip for each in reading}
    gevent.sleep(1.7)
    readers.check_drain([each for each in readers.instances if each not in reading])


def test_reader_that_lies_behind_is_not_believed(readers: ReadersFleet) -> None:
    # Its feed and its reads show an old list, and it tells that it is up to date.
    behind = readers.reading()[0]
    servers = behind.peers.list_read_delegation._follower
    assert servers is not None
    servers._on_rows = lambda _: None
    servers._on_listing = lambda *_: None
    following = [each for each in readers.instances if each is not behind]
    readers.check_drain(following)
    # Nor does anybody go back to what it tells, though all of its rows are asked for by then.
    gevent.sleep(2.5)
    assert all(each in readers.know_leaving('app-1') for each in following)


def test_lost_datagrams_are_made_up_by_the_next_position(readers: ReadersFleet) -> None:
    sends = []
    for reader in readers.reading():
        publisher = reader.peers.list_read_delegation._publisher
        sends.append((publisher, publisher._send))
        publisher._send = lambda *_: None
    readers.list_server('app-1', 'app', state='draining', seq=2)
    gevent.sleep(0.6)
    for publisher, send in sends:
        publisher._send = send
    wait_until_seen(lambda: len(readers.know_leaving('app-1')) == INSTANCES, 'all to know')
    readers.wait_covered()


def test_start_of_all_without_any_member_known(readers: ReadersFleet) -> None:
    # The store has lost the rows of the last lives: nobody knows whom to wait for.
    for instance in list(readers.instances):
        readers.drop(instance)
    for number in range(INSTANCES):
        readers.store.remove(INSTANCES_TABLE, f'instance-{number}')
    for _ in range(INSTANCES):
        readers.start_instance()
    readers.wait_ready()


def test_start_of_all_reads_the_list_twice(readers: ReadersFleet) -> None:
    # After a loss of all the rows of the last lives say who reads.
    for instance in list(readers.instances):
        readers.drop(instance)
    readers.calls_by_ip.clear()
    readers.config_reads.clear()
    for _ in range(INSTANCES):
        readers.start_instance()
    wait_until_seen(
        lambda: all(each.replicated.is_complete for each in readers.instances), 'all to serve'
    )
    assert len(readers.calls_by_ip) <= 2
    assert len(readers.config_reads) <= 2
    # Who has the configuration from a reader hears of the next one like all others.
    readers.configure(version=2)
    readers.wait_version(2)


def test_start_of_all_with_both_readers_gone_for_good(readers: ReadersFleet) -> None:
    gone = {each.context.instance_id for each in readers.reading()}
    for instance in list(readers.instances):
        readers.drop(instance)
    for number in range(INSTANCES):
        if f'instance-{number}' not in gone:
            instance = readers.start_instance(instance_id=f'instance-{number}')
    wait_until_seen(
        lambda: all(each.replicated.is_complete for each in readers.instances), 'all to serve'
    )


def test_zone_with_one_instance_reads_for_itself(readers: ReadersFleet) -> None:
    alone = readers.start_instance(zone=AvailabilityZone('zone-b'))
    readers.wait_ready()
    assert not alone.peers.list_read_delegation.is_delegated
    readers.check_drain()


def test_start_does_not_wait_for_a_reader_without_power(
    readers: ReadersFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # All lost power, and the machine of the first reader is the last to have it back: connections
    # to it hang. Whoever waits for it has no list until it reads one itself.
    dark = readers.instances[0].peers.list_read_delegation._readers()[0]
    dark_ip = next(
        each.address.ip for each in readers.instances if each.context.instance_id == dark
    )
    ask = ServerListSubscriber.request
    powered = Event()

    def hanging(listener: ServerListSubscriber, reader: InstanceId, ip: str) -> bool:
        if ip == dark_ip:
            powered.wait()
            return False
        return ask(listener, reader, ip)

    follower = next(
        each for each in readers.instances if each.peers.list_read_delegation.is_delegated
    )
    readers.drop(follower)
    monkeypatch.setattr(ServerListSubscriber, 'request', hanging)
    for each in readers.instances:
        if each.context.instance_id == dark:
            silence(each)
    readers.calls_by_ip.clear()
    started = readers.start_instance(
        instance_id=follower.context.instance_id,
        ip=follower.address.ip,
        callers=follower.address,
        health=Address(follower.address.ip, HEALTH_PORT),
    )
    wait_until_seen(lambda: started.replicated.is_complete, 'the start to be served')
    assert follower.address.ip not in readers.calls_by_ip
    powered.set()
