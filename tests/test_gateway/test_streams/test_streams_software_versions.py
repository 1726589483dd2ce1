"""A stream goes on only at the software version that began it."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from citrondyke.gateway.streams.origin_store import VERSIONS_TABLE
from citrondyke.standin.platform_server import AnswerMode, event_text
from citrondyke.storage.partitioned_table import Listing
from citrondyke.util.clock import SystemClock
from tests.support.gateway import ROUTES, GatewayFleet, route, wait_until_seen
from tests.support.streams import BegunStream, events_of, versions_of

EVENTS = 6


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    """Three instances, and two servers of each of two versions."""
    made = GatewayFleet()
    try:
        made.configure()
        made.add_server('app-1', 'app')
        for number in range(4):
            made.add_server(f'lm-{number}', 'lm', version=f'v{1 + number % 2}')
        for _ in range(3):
            made.start_instance()
        wait_all_known(made)
        yield made
    finally:
        made.end()


def wait_all_known(fleet: GatewayFleet) -> None:
    """Wait until each instance exchanges messages with all others."""
    fleet.wait_ready()
    wait_until_seen(
        lambda: all(
            each.book.topology.instances_count == len(fleet.instances) for each in fleet.instances
        ),
        'all instances to know each other',
    )


def tell(fleet: GatewayFleet, act: AnswerMode, *, times: int = 1) -> None:
    for name, server in fleet.servers.items():
        if name.startswith('lm'):
            server.answer_modes.extend([act] * times)


def runs_of(fleet: GatewayFleet, request_id: str) -> list[str]:
    return [
        server.server_id
        for server in fleet.servers.values()
        for run in server.runs
        if run.request_id == request_id
    ]


def begin_streams(fleet: GatewayFleet, count: int, at: int = 0) -> list[BegunStream]:
    """Have callers begin streams that their servers do not end."""
    tell(fleet, AnswerMode.HOLD, times=count)
    begun = [BegunStream(fleet, f'request-{number}', at) for number in range(count)]
    for server in fleet.servers.values():
        server.answer_modes.clear()
    return begun


def take_all_up(begun: list[BegunStream], at: int) -> tuple[int, list[set[str]]]:
    """Have callers take their streams up; give how many went on, and the versions of each."""
    whole = 0
    versions = []
    for stream in begun:
        reply = stream.take_up(at)
        events = stream.joined_with(reply)
        assert [event.id for event in events] == list(range(1, len(events) + 1))
        versions.append(versions_of(events))
        whole += len(events) == EVENTS
        assert reply.status in (200, 503)
    return whole, versions


def test_stream_cut_by_its_server_goes_on_at_its_version(fleet: GatewayFleet) -> None:
    # A server resets its stream in the middle, and another version's server answers the rest.
    whole = 0
    for server in fleet.servers.values():
        server.event_gap_ms = 20.0
    for number in range(20):
        tell(fleet, AnswerMode.CUT_IN_EVENT)
        name = f'request-{number}'
        asked = gevent.spawn(fleet.call, '/stream/x', b'', request_id=name, at=number % 3)
        wait_until_seen(lambda: runs_of(fleet, name), 'the first run')  # noqa: B023
        for server in fleet.servers.values():
            server.answer_modes.clear()
        reply = asked.get()
        assert len(versions_of(events_of(reply.body))) == 1
        assert len(runs_of(fleet, name)) > 1
        whole += reply.is_whole
    assert whole >= 10


def test_stream_of_a_killed_instance_goes_on_at_its_version(fleet: GatewayFleet) -> None:
    # The instance that knows the version is killed; the caller asks another one for the rest.
    begun = begin_streams(fleet, 8)
    fleet.instances[0].stop_abruptly()
    whole, versions = take_all_up(begun, at=1)
    assert {len(each) for each in versions} == {1}
    assert whole >= 4


def test_stream_goes_on_at_its_version_while_the_store_is_silent(fleet: GatewayFleet) -> None:
    begun = begin_streams(fleet, 8)
    fleet.store.faults.refused_ips = {'*'}
    fleet.store.faults.is_silent = True
    gevent.sleep(1.0)
    fleet.instances[0].stop_abruptly()
    whole, versions = take_all_up(begun, at=2)
    assert {len(each) for each in versions} == {1}
    assert whole >= 4


def test_stream_begun_before_the_second_version_goes_on_at_the_first() -> None:
    # When it began there was nothing to remember; then a release brings the second version.
    fleet = GatewayFleet()
    try:
        fleet.configure()
        for number in range(2):
            fleet.add_server(f'lm-{number}', 'lm', version='v1')
        for _ in range(3):
            fleet.start_instance()
        wait_all_known(fleet)
        begun = begin_streams(fleet, 6)
        for number in range(2, 4):
            fleet.add_server(f'lm-{number}', 'lm', version='v2')
        fleet.wait_ready()
        gevent.sleep(0.1)
        fleet.instances[0].stop_abruptly()
        whole, versions = take_all_up(begun, at=1)
        assert versions == [{'v1'}] * 6
        assert whole >= 3
    finally:
        fleet.end()


@pytest.mark.parametrize(
    ('is_store_cut', 'are_peers_cut'), [(False, True), (True, True), (True, False)]
)
def test_stream_of_a_new_version_is_not_joined_at_an_instance_out_of_step(
    *, is_store_cut: bool, are_peers_cut: bool
) -> None:
    # An instance that is cut off from the others, or from the store, knows the old version only; it
    # answers 200 and has the rest written by a server of that version, or answers as if no server
    # of the new version were left.
    fleet = GatewayFleet()
    try:
        fleet.configure(routes=[route('stream', 'streaming', 'lm', resumable=True, timeout_ms=800)])
        for number in range(2):
            fleet.add_server(f'lm-{number}', 'lm', version='v1')
        for _ in range(3):
            fleet.start_instance()
        wait_all_known(fleet)
        cut_off = fleet.instances[2]
        wait_until_seen(lambda: cut_off.origins._history.is_complete, 'a known past')
        if are_peers_cut:
            # No peer listens there, and what peers send is dropped.
            cut_off.peers._port = 1
            cut_off.peers._on_datagram = lambda data, ip: None  # type: ignore[method-assign]
        if is_store_cut:
            fleet.store.faults.refused_ips = {cut_off.address.ip}
            # The feed that is open already brings one more change.
            fleet.list_server('lm-0', 'lm', seq=2)
            wait_until_seen(lambda: cut_off.store.unanswered_ms, 'a rejected call')
        for number in range(2):
            fleet.list_server(f'lm-{number}', 'lm', state='draining', seq=3)
            fleet.add_server(f'lm-{number + 2}', 'lm', version='v2')
        wait_until_seen(
            lambda: {origin.version for origin in fleet.instances[0].book.origins} == {'v1', 'v2'},
            'the new version',
        )
        begun = begin_streams(fleet, 6)
        assert {stream.version for stream in begun} == {'v2'}
        fleet.instances[0].stop_abruptly()
        for stream in begun:
            reply = stream.take_up(at=2)
            assert versions_of(stream.joined_with(reply)) == {'v2'}
            assert reply.status == 200 or 'retry-after' in reply.headers
    finally:
        fleet.end()


def test_half_of_the_streams_of_two_versions_go_on_after_a_loss_of_all(fleet: GatewayFleet) -> None:
    # All instances lose what they knew; the stored split tells which version began a stream.
    for number in range(4):
        fleet.list_server(f'lm-{number}', 'lm', slots=32, seq=2)
    wait_until_seen(
        lambda: all(
            state.listed.slots_count == 32 or state.listed.service == 'app'
            for each in fleet.instances
            for state in each.book.states()
        ),
        'the slots',
    )
    begun = begin_streams(fleet, 24)
    assert {stream.version for stream in begun} == {'v1', 'v2'}
    restart_all(fleet)
    whole, versions = take_all_up(begun, at=1)
    assert {len(each) for each in versions} == {1}
    assert whole >= 12


def restart_all(fleet: GatewayFleet) -> None:
    for instance in fleet.instances:
        instance.stop_abruptly()
    fleet.instances.clear()
    for _ in range(2):
        fleet.start_instance()
    fleet.wait_ready()


def test_stream_that_nobody_knows_is_refused_at_once() -> None:
    # The split has just changed, and all instances lost what they knew: a guess would join two
    # versions.
    fleet = GatewayFleet()
    try:
        fleet.configure()
        for number in range(2):
            fleet.add_server(f'lm-{number}', 'lm', version='v1', slots=16)
        for _ in range(3):
            fleet.start_instance()
        wait_all_known(fleet)
        begun = begin_streams(fleet, 16)
        for number in range(2, 4):
            fleet.add_server(f'lm-{number}', 'lm', version='v2')
        wait_until_seen(lambda: b'v2' in stored_versions(fleet), 'the next split')
        restart_all(fleet)
        replies = [(stream, stream.take_up(at=1)) for stream in begun]
        refused = [(stream, reply) for stream, reply in replies if reply.status != 200]
        assert refused
        for stream, reply in refused:
            assert (reply.status, reply.is_whole) == (503, True)
            assert 'retry-after' not in reply.headers
            assert not runs_of(fleet, f'{stream.request_id}-2')
        for stream, reply in replies:
            assert versions_of(stream.joined_with(reply)) == {'v1'}
    finally:
        fleet.end()


@pytest.mark.parametrize('ahead_s', [0, 3_000, -3_000])
def test_stream_whose_version_left_before_a_loss_of_all_is_refused(
    monkeypatch: pytest.MonkeyPatch, ahead_s: int
) -> None:
    # A release has ended, and the instances come back with another time of day: only the stored
    # split tells that the streams are of the version that is gone.
    fleet = GatewayFleet()
    try:
        fleet.configure()
        for number in range(2):
            fleet.add_server(f'lm-{number}', 'lm', version='v1', slots=16)
        for _ in range(3):
            fleet.start_instance()
        wait_all_known(fleet)
        begun = begin_streams(fleet, 12)
        for number in range(2, 4):
            fleet.add_server(f'lm-{number}', 'lm', version='v2', slots=16)
        wait_until_seen(lambda: b'v2' in stored_versions(fleet), 'the next split')
        for number in range(2):
            fleet.list_server(f'lm-{number}', 'lm', state='draining', seq=2)
        wait_until_seen(lambda: b'v1' not in stored_versions(fleet), 'the last split')
        unmoved = SystemClock.epoch_ms
        monkeypatch.setattr(SystemClock, 'epoch_ms', lambda self: unmoved(self) + ahead_s * 1e3)
        restart_all(fleet)
        for stream in begun:
            reply = stream.take_up(at=1)
            assert versions_of(stream.joined_with(reply)) == {'v1'}
            assert (reply.status, reply.is_whole) == (503, True)
            assert not runs_of(fleet, f'{stream.request_id}-2')
    finally:
        fleet.end()


def stored_versions(fleet: GatewayFleet) -> bytes:
    """Give the last split of the stored row."""
    listing = fleet.store.table.read(VERSIONS_TABLE, '', 'lm', limit=1)
    assert isinstance(listing, Listing)
    return (listing.rows[0].value or b'').rpartition(b'weights')[2] if listing.rows else b''


def test_stream_whose_version_is_gone_is_refused_without_a_time(fleet: GatewayFleet) -> None:
    # No server of its version will come back, so a time to come back would be untrue.
    (stream,) = begin_streams(fleet, 1)
    for name, server in list(fleet.servers.items()):
        if server.software_version == stream.version:
            fleet.list_server(name, 'lm', state='draining', seq=2)
    wait_until_seen(
        lambda: all(
            sum(state.listed.is_leaving for state in each.book.states()) == 2
            for each in fleet.instances
        ),
        'the servers to leave',
    )
    reply = stream.take_up(at=1)
    assert (reply.status, 'retry-after' in reply.headers) == (503, False)


def test_item_of_a_job_has_the_text_of_one_version(fleet: GatewayFleet) -> None:
    # The run of an item is cut and goes on at another version, without any caller involved.
    tell(fleet, AnswerMode.CUT_IN_EVENT, times=4)
    assert fleet.submit('job-1', 8).status == 202
    assert_texts_of_one_version(fleet, 'job-1', at=0)


def test_item_of_a_killed_owner_has_the_text_of_one_version(fleet: GatewayFleet) -> None:
    # The next owner resumes after the saved events, at any server.
    for name in ('lm-0', 'lm-1', 'lm-2', 'lm-3'):
        fleet.servers[name].event_gap_ms = 60.0
        fleet.servers[name].events_count = 80
    assert fleet.submit('job-1', 8, at=0).status == 202
    jobs = fleet.instances[0].batch.owned.by_id.values()
    wait_until_seen(
        lambda: any(each.saved_event_id for job in jobs for each in job.open.values()),
        'saved progress',
    )
    fleet.instances[0].stop_abruptly()
    for server in fleet.servers.values():
        server.event_gap_ms = 1.0
    assert_texts_of_one_version(fleet, 'job-1', at=1, events_count=80)


def test_items_of_lost_instances_have_the_text_of_one_version(fleet: GatewayFleet) -> None:
    # All instances are lost after one version's servers have left; the next owners know only the
    # saved progress.
    for name in ('lm-0', 'lm-1', 'lm-2', 'lm-3'):
        fleet.servers[name].event_gap_ms = 60.0
        fleet.servers[name].events_count = 80
    assert fleet.submit('job-1', 8, at=0).status == 202
    jobs = fleet.instances[0].batch.owned.by_id.values()
    wait_until_seen(
        lambda: any(each.saved_event_id for job in jobs for each in job.open.values()),
        'saved progress',
    )
    for number in (0, 2):
        fleet.list_server(f'lm-{number}', 'lm', state='draining', seq=2)
    restart_all(fleet)
    for server in fleet.servers.values():
        server.event_gap_ms = 1.0
    assert_texts_of_one_version(fleet, 'job-1', at=1, events_count=80)


def test_late_item_begins_anew_while_its_version_has_no_capacity() -> None:
    # The only server of its version stays full of online requests while another version is idle.
    fleet = GatewayFleet()
    try:
        late = route('batch-stream', 'batch', 'lm', completion_slo_ms=1, max_wait_s=40)
        fleet.configure(routes=[*ROUTES[:-1], late])
        fleet.add_server('app-1', 'app')
        server = fleet.add_server('lm-0', 'lm', version='v1', slots=2)
        fleet.start_instance()
        wait_all_known(fleet)
        server.answer_modes.extend([AnswerMode.HOLD] * 3)
        assert fleet.submit('job-1', 1).status == 202
        jobs = fleet.instances[0].batch.owned.by_id.values()
        wait_until_seen(
            lambda: any(each.last_event_id for job in jobs for each in job.open.values()),
            'events of the item',
        )
        online = [BegunStream(fleet, f'request-{number}') for number in range(2)]
        fleet.add_server('lm-1', 'lm', version='v2')
        (result,) = fleet.wait_done('job-1')
        assert result['text'] == '\n'.join(event_text(n, 'v2') for n in range(1, EVENTS + 1))
        assert {stream.version for stream in online} == {'v1'}
    finally:
        fleet.end()


def assert_texts_of_one_version(
    fleet: GatewayFleet, job_id: str, *, at: int, events_count: int = EVENTS
) -> None:
    expected = {
        '\n'.join(event_text(number, version) for number in range(1, events_count + 1))
        for version in ('v1', 'v2')
    }
    results = fleet.wait_done(job_id, at=at)
    assert {result['text'] for result in results} <= expected
