"""An item is listed with its whole output, wherever the runs of it end."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from citrondyke.decisions.batch import item_end
from citrondyke.ids import ServerId
from citrondyke.standin.platform_server import AnswerMode, PlatformServer, event_text
from tests.support.gateway import GatewayFleet, wait_until_seen

EVENTS_COUNT = 6
#: More answers than the test asks for.
ALWAYS = 60


@pytest.fixture
def streams(request: pytest.FixtureRequest) -> Iterator[GatewayFleet]:
    """Two instances and servers of one version; a parameter sets their number and version."""
    count, version = getattr(request, 'param', (2, 'v1'))
    made = GatewayFleet()
    try:
        made.configure()
        for number in range(count):
            made.add_server(f'lm-{number}', 'lm', version)
        for _ in range(2):
            made.start_instance()
        made.wait_ready()
        yield made
    finally:
        made.end()


def each_server(fleet: GatewayFleet) -> list[PlatformServer]:
    return list(fleet.servers.values())


def fill(fleet: GatewayFleet, server: PlatformServer, *, is_full: bool = True) -> None:
    for instance in fleet.instances:
        state = instance.book.state(ServerId(server.server_id))
        assert state is not None
        state.own.batch = state.listed.slots_count if is_full else 0


def assert_whole(fleet: GatewayFleet, count: int = 6) -> None:
    """Run a job, and check that each item is listed once with all of its events."""
    assert fleet.submit('job', count).status == 202
    assert_listed(fleet, count)


def assert_listed(fleet: GatewayFleet, count: int, *, at: int = 0) -> None:
    version = each_server(fleet)[0].software_version
    whole = '\n'.join(event_text(n, version) for n in range(1, EVENTS_COUNT + 1))
    listed = fleet.wait_done('job', at=at)
    assert [(each['state'], each['text']) for each in listed] == [('completed', whole)] * count
    assert {each['id'] for each in listed} == {f'job-{n}' for n in range(count)}


@pytest.mark.parametrize('mode', [each for each in AnswerMode if each.value.startswith('resume_')])
def test_end_without_an_event_of_one_server_ends_no_item(
    streams: GatewayFleet, mode: AnswerMode
) -> None:
    # The run was cut after event 2, and the item was listed as completed with two events.
    for server in each_server(streams):
        server.answer_modes.extend([AnswerMode.CUT_BETWEEN_EVENTS] * ALWAYS)
        server.resume_modes.extend([AnswerMode.SERVE] * ALWAYS)
    faulty = each_server(streams)[0]
    faulty.resume_modes.clear()
    faulty.resume_modes.extend([mode] * ALWAYS)
    assert_whole(streams)


def test_end_of_the_connection_between_events_ends_no_item(streams: GatewayFleet) -> None:
    # The item was listed as completed with the events before it.
    for server in each_server(streams):
        server.answer_modes.extend([AnswerMode.UNFRAMED_BETWEEN_EVENTS] * ALWAYS)
        server.resume_modes.extend([AnswerMode.SERVE] * ALWAYS)
    assert_whole(streams)


@pytest.mark.parametrize('streams', [(2, 'v1'), (3, 'v1')], indirect=True)
def test_exit_and_the_word_of_one_faulty_server_end_no_item(streams: GatewayFleet) -> None:
    # An end by the connection counted like the word of a server that was asked what follows.
    for server in each_server(streams):
        server.answer_modes.extend([AnswerMode.UNFRAMED_BETWEEN_EVENTS] * ALWAYS)
        server.resume_modes.extend([AnswerMode.SERVE] * ALWAYS)
    faulty = each_server(streams)[0]
    faulty.resume_modes.clear()
    faulty.resume_modes.extend([AnswerMode.RESUME_EMPTY_LENGTH] * ALWAYS)
    assert_whole(streams)


@pytest.mark.parametrize('mode', [AnswerMode.EVENT_WITHOUT_ID, AnswerMode.EVENT_WITHOUT_DATA])
def test_event_that_lacks_its_id_or_data_ends_no_item(
    streams: GatewayFleet, mode: AnswerMode
) -> None:
    # The item was listed as completed without the text of the event.
    for server in each_server(streams):
        server.answer_modes.append(mode)
        server.resume_modes.extend([AnswerMode.SERVE] * ALWAYS)
    assert_whole(streams, 2)


@pytest.mark.parametrize('streams', [(1, 'v1'), (2, 'v1'), (3, 'v1')], indirect=True)
def test_item_whose_last_chunk_alone_is_missing_is_completed(streams: GatewayFleet) -> None:
    for server in each_server(streams):
        server.answer_modes.extend([AnswerMode.LAST_CHUNK_MISSING] * ALWAYS)
        server.resume_modes.extend([AnswerMode.SERVE] * ALWAYS)
    assert_whole(streams)


@pytest.mark.parametrize('streams', [(1, 'v1'), (2, 'v1'), (1, ''), (2, '')], indirect=True)
def test_items_of_servers_without_a_frame_are_completed(streams: GatewayFleet) -> None:
    for server in each_server(streams):
        server.answer_modes.extend([AnswerMode.UNFRAMED] * ALWAYS)
    assert_whole(streams, 3)


def test_item_in_doubt_keeps_no_other_waiting_for_a_full_server(
    streams: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The other server has no capacity: the items behind the one in doubt would wait for it, too.
    monkeypatch.setattr(item_end, 'CONFIRM_WAIT_MS', 600_000.0)
    stating, full = each_server(streams)
    fill(streams, full)
    # The server runs four items at most, so that an item behind these is interrupted.
    stating.answer_modes.extend([AnswerMode.UNFRAMED] * 4)
    stating.answer_modes.append(AnswerMode.CUT_BETWEEN_EVENTS)
    # It goes on when the ends of the others are in doubt already.
    stating.event_gap_ms = 200.0
    stating.resume_modes.extend([AnswerMode.SERVE] * ALWAYS)
    assert streams.submit('job', 6).status == 202
    wait_until_seen(lambda: streams.results('job')['next'] == 2, 'the results of the others')
    assert not full.runs
    fill(streams, full, is_full=False)
    assert_listed(streams, 6)
    assert len(full.runs) == 4


def test_item_in_doubt_waits_for_a_full_server_for_a_bounded_time(
    streams: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    waits_ms = 1_500.0
    monkeypatch.setattr(item_end, 'CONFIRM_WAIT_MS', waits_ms)
    stating, full = each_server(streams)
    fill(streams, full)
    stating.answer_modes.append(AnswerMode.UNFRAMED)
    assert_whole(streams, 1)
    assert not full.runs
    runs = [run.began_s for run in stating.runs]
    assert len(runs) == 4
    assert (runs[2] - runs[0]) * 1e3 > waits_ms


@pytest.mark.parametrize('mode', [AnswerMode.UNFRAMED, AnswerMode.UNFRAMED_BETWEEN_EVENTS])
def test_item_in_doubt_is_completed_by_the_next_owner(
    streams: GatewayFleet, mode: AnswerMode
) -> None:
    # What the first owner was told must not count for the next one, whose server lies.
    stating, full = each_server(streams)
    fill(streams, full)
    stating.answer_modes.extend([mode] * ALWAYS)
    stating.resume_modes.extend([AnswerMode.RESUME_EMPTY_CHUNKED] * ALWAYS)
    assert streams.submit('job', 3).status == 202
    counters = [instance.metrics.counters for instance in streams.instances]
    wait_until_seen(lambda: sum(each['items_unconfirmed'] for each in counters) == 3, 'the doubt')
    owner = 0 if counters[0]['items_unconfirmed'] else 1
    streams.instances[owner].request_stop()
    stopping = gevent.spawn(streams.instances[owner].run_until_stopped)
    stopping.join(10.0)
    fill(streams, full, is_full=False)
    assert_listed(streams, 3, at=1 - owner)
    assert full.runs
