"""Promises that callers and servers can see hold while everything around breaks."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from citrondyke.standin.platform_server import AnswerMode, PlatformServer, ServerRun, event_text
from citrondyke.standin.stream_faults import StreamFault
from tests.support.gateway import Reply
from tests.support.streams import StreamPart
from tests.test_soak.soak import Soak
from tests.test_soak.soak_fleet import HOT_ALLOWED, WINDOW_S, SoakFleet
from tests.test_soak.witness import (
    LEAVE_S,
    NEWS_S,
    STREAM,
    TEXT,
    Asked,
    JobSeen,
    TakenUp,
    Witness,
)

#: Seeds that CI plays; each one that ever showed a fault stays here with its cause.
#: 13: an account's job was told as unknown by an instance that had no configuration yet.
SEEDS = (1, 13)
SECONDS = float(os.environ.get('CITRONDYKE_SOAK_S', '10'))
INSTANCES = int(os.environ.get('CITRONDYKE_SOAK_INSTANCES', '4'))


def wanted_seeds() -> tuple[int, ...]:
    stated = os.environ.get('CITRONDYKE_SOAK_SEEDS', '')
    return tuple(int(each) for each in stated.split(',')) if stated else SEEDS


@pytest.fixture
def ended_tidily() -> Iterator[None]:
    """Have a run that is told to end stop the processes that it started."""

    def leave(number: int, _: object) -> None:
        raise SystemExit(128 + number)

    kinds = (signal.SIGTERM, signal.SIGHUP)
    before = [signal.signal(kind, leave) for kind in kinds]
    yield
    for kind, handler in zip(kinds, before, strict=True):
        signal.signal(kind, handler)


@pytest.mark.usefixtures('ended_tidily')
@pytest.mark.parametrize('seed', wanted_seeds())
def test_promises_hold_in_a_soak(seed: int, tmp_path: Path) -> None:
    # Instances are killed, frozen and stopped, their store and servers cut off, slowed and reset,
    # in any order and beside each other, while callers go on.
    fleet = SoakFleet(tmp_path, INSTANCES)
    try:
        for number in range(INSTANCES):
            fleet.start(number)
        fleet.wait_ready()
        soak = Soak(fleet, seed, SECONDS)
        wrong = soak.run()
    finally:
        fleet.end()
    again = f'CITRONDYKE_SOAK_SEEDS={seed} CITRONDYKE_SOAK_S={SECONDS:g} make soak'
    told = '\n'.join([*soak.faults, f'again: {again}', f'logs: {tmp_path}'])
    assert not wrong, f'{wrong}\n{told}'
    jobs = soak.witness.jobs.values()
    print(
        f'seed {seed}: {len(soak.faults)} faults, {len(soak.witness.asked)} requests, '
        f'{sum(job.is_accepted for job in jobs)} of {len(jobs)} jobs accepted, '
        f'{soak.witness.went_on_share:.2f} of {len(soak.witness.taken_up)} streams went on, '
        f'{soak.witness.begun_share:.2f} of the new ones began, '
        f'{soak.witness.unframed_streams_count} ended with their connection'
    )
    answered = sum(asked.reply.status == 200 for asked in soak.witness.asked)
    assert answered > len(soak.witness.asked) / 4, f'{answered} answered\n{told}'


def run_of(
    request_id: str, answer_mode: AnswerMode = AnswerMode.SERVE, began_s: float = 0.0
) -> ServerRun:
    return ServerRun(request_id, b'POST', b'/', {}, b'', answer_mode=answer_mode, began_s=began_s)


def judged(
    runs: list[ServerRun],
    asked: tuple[Asked, ...] = (),
    jobs: tuple[JobSeen, ...] = (),
    left_s: dict[str, float] | None = None,
) -> list[str]:
    server = PlatformServer('server')
    server.stop()
    server.runs = runs
    witness = Witness()
    witness.asked = list(asked)
    witness.jobs = {job.job_id: job for job in jobs}
    return witness.judge([server], left_s or {})


def answer(kind: str, status: int, body: bytes = b'') -> Asked:
    return Asked('a', kind, b'x', Reply(status, {'response-seal': 's'}, body, True))


def job(statuses: list[int], results: list[tuple[str, str, str]]) -> JobSeen:
    found = {
        place: {'id': item_id, 'state': state, 'text': text}
        for place, (item_id, state, text) in enumerate(results)
    }
    return JobSeen('j', ['i', 'k'], statuses, found)


DONE = [('i', 'completed', TEXT), ('k', 'completed', TEXT)]


@pytest.mark.parametrize(
    ('runs', 'asked', 'jobs', 'left_s'),
    [
        ([run_of('a'), run_of('a')], (answer('order', 200, b'answer to x'),), (), {}),
        ([run_of('a')], (answer('fetch', 503),), (), {}),
        ([run_of('a')], (answer('fetch', 200, b'answer to y'),), (), {}),
        ([run_of('a')], (answer('stream', 200, STREAM[:-20]),), (), {}),
        ([], (), (job([202], DONE[:1]),), {}),
        ([], (), (job([202], [DONE[0], ('i', 'completed', TEXT)]),), {}),
        ([], (), (job([202], [DONE[0], ('k', 'completed', TEXT[:-1])]),), {}),
        ([run_of('k', AnswerMode.FAIL)], (), (job([202], [DONE[0], ('k', 'errored', '')]),), {}),
        ([run_of('i')], (), (job([503, 429], []),), {}),
        ([run_of('a', began_s=LEAVE_S + 0.1)], (), (), {'server': 0.0}),
    ],
)
def test_witness_finds_a_broken_promise(
    runs: list[ServerRun],
    asked: tuple[Asked, ...],
    jobs: tuple[JobSeen, ...],
    left_s: dict[str, float],
) -> None:
    assert len(judged(runs, asked, jobs, left_s)) == 1


def test_witness_finds_a_deadly_request_that_goes_on() -> None:
    # Three servers end; news come round; four sends more are one too many.
    for beyond, wrong_count in ((3, 0), (4, 1)):
        server = PlatformServer('server')
        server.stop()
        times_s = [0.0, 1.0, 2.0, *(2.0 + NEWS_S + 1.0 + n for n in range(beyond))]
        server.runs = [run_of(f'r-{at_s}', began_s=at_s) for at_s in times_s]
        witness = Witness()
        witness.crash_bodies.add(b'')
        assert len(witness.judge([server], {})) == wrong_count


@pytest.mark.parametrize(
    ('request_id', 'headers'),
    [
        ('hot-1', {b'tenant': b'steady'}),
        ('fetch-1', {b'tenant': b'hot'}),
        ('fetch-2', {b'tenant': b'steady', b'x-api-key': b'k'}),
        ('nobodys-1', {b'tenant': b'steady'}),
    ],
)
def test_witness_finds_a_wrong_account_and_a_key_at_a_server(
    request_id: str, headers: dict[bytes, bytes]
) -> None:
    run = run_of(request_id)
    run.headers = headers
    assert len(judged([run])) == 1


def test_witness_finds_a_window_with_too_many() -> None:
    # What was sent before the window, or begun after it, does not count in it.
    for count, wrong_count in ((int(HOT_ALLOWED), 0), (int(HOT_ALLOWED) + 1, 1)):
        server = PlatformServer('server')
        server.stop()
        witness = Witness()
        for number in range(count):
            witness.hot_sent_s[f'hot-{number}'] = number / 100
            server.runs.append(run_of(f'hot-{number}', began_s=number / 100 + 1))
        witness.hot_sent_s['hot-early'] = -0.1
        server.runs.append(run_of('hot-early', began_s=WINDOW_S + 0.5))
        assert len(witness.judge([server], {})) == wrong_count


def test_witness_finds_nothing_where_all_is_kept() -> None:
    kept = answer('order', 200, b'answer to x')
    assert judged([run_of('a')], (kept,), (job([503, 202], DONE),)) == []


def stream_part(number: int, version: str) -> StreamPart:
    return StreamPart(number, event_text(number, version))


def test_witness_finds_a_stream_of_two_versions() -> None:
    for versions, wrong_count in ((('v1', 'v1'), 0), (('v1', 'v2'), 1), (('v1', ''), 1)):
        witness = Witness()
        events = [stream_part(number, version) for number, version in enumerate(versions, 1)]
        witness.taken_up = [TakenUp('a-1', events, Reply(200, {}, b'', False))]
        assert len(witness.judge([], {})) == wrong_count


@pytest.mark.parametrize(
    ('headers', 'body', 'fault', 'wrong_count'),
    [
        ({'transfer-encoding': 'chunked'}, STREAM, None, 0),
        ({'transfer-encoding': 'chunked'}, b': ping\n\n' + STREAM, None, 0),
        ({'transfer-encoding': 'chunked'}, STREAM[:20], StreamFault.UNFRAMED_CLOSED, 1),
        ({'content-length': '20'}, STREAM[:20], StreamFault.UNFRAMED_CLOSED, 1),
        ({'transfer-encoding': 'chunked'}, STREAM + b'data: more\n\n', StreamFault.NO_ID, 1),
        # The end of a connection claims nothing that its server has not stated.
        ({}, STREAM[:20], StreamFault.UNFRAMED_CLOSED, 0),
        ({}, STREAM[20:40], StreamFault.UNFRAMED_CLOSED, 1),
        ({}, STREAM[:20], StreamFault.UNFRAMED_CUT, 1),
        ({}, STREAM[:20], None, 1),
    ],
)
def test_witness_finds_streams_that_look_complete(
    headers: dict[str, str], body: bytes, fault: StreamFault | None, wrong_count: int
) -> None:
    asked = answer('stream', 200, body)
    asked.reply.headers |= headers
    run = run_of('a')
    run.stream_fault = fault
    assert len(judged([run], (asked,))) == wrong_count


def test_witness_finds_a_stream_taken_up_that_looks_complete() -> None:
    witness = Witness()
    events = [stream_part(1, 'v1')]
    witness.taken_up = [TakenUp('a-1', events, Reply(200, {'content-length': '0'}, b'', True))]
    assert len(witness.judge([], {})) == 1


def test_witness_finds_sound_streams_that_are_cut() -> None:
    sound = Asked('a', 'stream', b'x', Reply(200, {}, STREAM, False))
    assert len(judged([run_of('a')], (sound,) * 20)) == 1


def test_witness_finds_streams_that_do_not_go_on() -> None:
    witness = Witness()
    witness.asked = [answer('stream', 503)]
    refused = TakenUp('a-1', [stream_part(1, 'v1')], Reply(503, {}, b'', True))
    witness.taken_up = [refused] * 12
    assert witness.judge([], {}) == []
    witness.asked = [answer('stream', 200, STREAM)]
    assert len(witness.judge([], {})) == 1


def test_witness_leaves_streams_out_whose_servers_have_ended() -> None:
    witness = Witness()
    witness.asked = [answer('stream', 200, STREAM)]
    refused = TakenUp('a-1', [stream_part(1, 'v1')], Reply(503, {}, b'', True), could_go_on=False)
    witness.taken_up = [refused] * 24
    assert witness.judge([], {}) == []
    witness.taken_up += [TakenUp('a-2', refused.events, refused.reply)] * 12
    assert len(witness.judge([], {})) == 1


def test_witness_finds_a_position_that_changed() -> None:
    witness = Witness()
    seen = JobSeen('j', ['i'])
    page = {'total': 1, 'results': [{'id': 'i', 'state': 'completed', 'text': TEXT}]}
    witness.note_page(seen, 0, page)
    changed = {'total': 1, 'results': [{'id': 'i', 'state': 'errored', 'text': ''}]}
    witness.note_page(seen, 0, changed)
    assert len(witness.wrong) == 1
