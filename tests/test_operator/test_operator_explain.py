"""Explanation of a failed request or job from its id and the logs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from citrondyke.errors.log_unreadable import LogUnreadableError
from citrondyke.errors.unknown_id import UnknownIdError
from citrondyke.operator.explanation import explain
from citrondyke.operator.log_events import read_log_events


def write(file: Path, *events: dict[str, Any], prefix: str = '') -> Path:
    lines = [prefix + json.dumps({'instance': file.stem, **event}) for event in events]
    file.write_text('\n'.join(lines) + '\n')
    return file


def event(kind: str, time_s: float, **fields: Any) -> dict[str, Any]:
    return {'time': f'{time_s:.3f}', 'event': kind, **fields}


def test_lines_of_several_instances_are_joined(tmp_path: Path) -> None:
    # A job is accepted at one instance and finished by another; the explanation has the lines of
    # both.
    first = write(
        tmp_path / 'edge-1.log',
        event('job.accepted', 10.0, job_id='j', items=2),
        event('item.run', 11.0, job_id='j', item_id='j-0', end='broken'),
        prefix='  10.0000 edge-1 ',
    )
    second = write(
        tmp_path / 'edge-2.log',
        event('dependency.lost', 12.0, dependency='store'),
        event('job.taken_over', 13.0, job_id='j'),
        event('item.run', 14.0, job_id='j', item_id='j-0', end='completed'),
        event('job.commit', 14.2, job_id='j', listed=2, of=2),
    )
    found = explain('j', read_log_events([second, first]))
    assert [each.instance for each in found.course] == ['edge-1'] * 2 + ['edge-2'] * 3
    assert 'edge-1 accepted 2 items' in found.cause
    assert 'edge-2 took it over' in found.cause
    assert '2 of 2 results were listed' in found.cause
    assert [each.event for each in found.around] == ['dependency.lost']
    item = explain('j-0', read_log_events([second, first]))
    assert '1 runs of items ended as broken' in item.cause


def test_explanation_of_a_rejected_request_names_the_load(tmp_path: Path) -> None:
    file = write(
        tmp_path / 'edge-1.log',
        event(
            'request.turned_away',
            1.0,
            request_id='r',
            best_server='i-1',
            online_count=14,
            batch_count=0,
            slots=8,
            expected_wait_ms=320.0,
        ),
        event('request.end', 1.0, request_id='r', end='turned_away'),
    )
    cause = explain('r', read_log_events([file])).cause
    assert 'i-1, had 14 online requests' in cause
    assert '320.0 ms' in cause


def test_explanation_of_an_aborted_request_names_server_and_failure(tmp_path: Path) -> None:
    file = write(
        tmp_path / 'edge-1.log',
        event(
            'send.failed',
            1.0,
            request_id='r',
            server_id='i-1',
            outcome='unknown',
            detail='cut: closed',
            took_ms=80.0,
        ),
        event('request.end', 1.1, request_id='r', end='broken'),
    )
    cause = explain('r', read_log_events([file])).cause
    assert 'may have run it' in cause
    assert 'i-1' in cause
    assert 'cut: closed' in cause


def test_explanation_without_a_route_names_the_age_of_the_configuration(tmp_path: Path) -> None:
    file = write(
        tmp_path / 'edge-1.log',
        event(
            'request.no_route',
            1.0,
            request_id='r',
            status=503,
            config_version=7,
            confirmed_age_ms=4100,
            host='h',
            path='/p/',
        ),
    )
    cause = explain('r', read_log_events([file])).cause
    assert 'Configuration 7' in cause
    assert '4100 ms' in cause


def test_request_of_a_killed_instance_is_explained_by_missing_lines(tmp_path: Path) -> None:
    # The instance was killed during the request: its last line is truncated, and the next start
    # of the instance shows the latest time of the kill.
    file = write(
        tmp_path / 'edge-1.log',
        event('request.sent', 1.0, request_id='r', server_id='i-1'),
        event('instance.started', 4.0),
    )
    with file.open('a') as lines:
        lines.write('{"time":"4.1","event":"request.e')
    found = explain('r', read_log_events([file]))
    assert 'started again at 4.000' in found.cause
    assert found.missing == ['request.end', '1 lines are truncated or not JSON']


@pytest.mark.parametrize(
    ('end', 'fields', 'told'),
    [
        (
            'origin_unknown',
            {'reason': 'several_versions', 'answers': 9},
            'several_versions, 9 peers',
        ),
        (
            'origin_gone',
            {'version': 'v1', 'service': 'lm'},
            'Version v1 of lm began its stream (r-1)',
        ),
    ],
)
def test_explanation_of_a_refused_stream_names_its_version(
    tmp_path: Path, end: str, fields: dict[str, Any], told: str
) -> None:
    origin = event('stream.origin', 1.0, request_id='r', begun_by='r-1', **fields)
    file = write(
        tmp_path / 'edge-1.log', origin, event('request.end', 1.1, request_id='r', end=end)
    )
    found = explain('r', read_log_events([file]))
    assert told in found.cause
    assert found.missing == []


def test_explanation_of_a_rejected_job_names_instance_and_reason(tmp_path: Path) -> None:
    file = write(tmp_path / 'edge-1.log', event('job.refused', 1.0, job_id='j', reason='in_doubt'))
    found = explain('j', read_log_events([file]))
    assert 'edge-1 rejected it: in_doubt' in found.cause
    assert found.missing == []


def test_lines_left_out_under_load_are_reported_missing(tmp_path: Path) -> None:
    file = write(
        tmp_path / 'edge-1.log',
        event('request.end', 1.0, request_id='r', end='timed_out'),
        {'event': 'log.left_out', 'counts': {'send.failed': 30}},
    )
    found = explain('r', read_log_events([file]))
    assert found.missing == ['send.failed', '30 lines send.failed were left out under load']


def test_unreadable_files_and_unknown_ids_raise_errors(tmp_path: Path) -> None:
    file = write(tmp_path / 'edge-1.log', event('instance.started', 1.0))
    with pytest.raises(UnknownIdError, match='in none of 1 events'):
        explain('r', read_log_events([file]))
    with pytest.raises(LogUnreadableError, match=r'nothing\.log'):
        read_log_events([tmp_path / 'nothing.log'])
    empty = tmp_path / 'other.txt'
    empty.write_text('no events here\n')
    with pytest.raises(LogUnreadableError, match='no event in it'):
        read_log_events([empty])


def test_content_joins_attempts_with_different_ids(tmp_path: Path) -> None:
    # A server exits under each of two attempts, and a third attempt is stopped. The attempts have
    # only their content in common.
    file = write(
        tmp_path / 'edge-1.log',
        event('send.failed', 1.0, request_id='r1', content='c', outcome='unknown'),
        event('suspect.counted', 1.1, content='c', server='0a', servers=1.0),
        event('send.failed', 1.2, request_id='r2', content='c', outcome='unknown'),
        event('suspect.counted', 1.3, content='c', server='0b', servers=2.0),
        event('server.ended', 1.3, server_id='i-2', contents=['c']),
        event('request.stopped', 2.0, request_id='r3', content='c', servers_ended=3.0),
        event('request.end', 2.0, request_id='r3', end='stopped'),
    )
    logs = read_log_events([file])
    found = explain('c', logs)
    assert '2 servers exited under it, in 2 attempts. 1 attempts were stopped' in found.cause
    assert [each.event for each in found.around] == ['server.ended']
    assert (
        '3.0 servers had exited under requests of the same content, c' in explain('r3', logs).cause
    )


def test_prompt_part_joins_requests_that_differ(tmp_path: Path) -> None:
    # No two requests have a content in common.
    file = write(
        tmp_path / 'edge-1.log',
        event('suspect.counted', 1.1, prompt_part='p', server='0a', servers=1.0),
        event('suspect.counted', 1.3, prompt_part='p', server='0b', servers=2.0),
        event(
            'request.stopped', 2.0, request_id='r3', content='c', prompt_part='p', servers_ended=3.0
        ),
        event('request.end', 2.0, request_id='r3', end='stopped'),
    )
    logs = read_log_events([file])
    assert explain('p', logs).cause == (
        '2 servers exited under it, in 0 attempts. 1 attempts were stopped.'
    )
    assert 'requests with the same prompt part, p' in explain('r3', logs).cause


@pytest.mark.parametrize(
    ('fields', 'cause'),
    [
        ({'reason': 'unknown_key', 'status': 401}, 'an unknown key, according to configuration 7.'),
        ({'reason': 'no_key', 'status': 503, 'confirmed_age_ms': 9_000}, 'confirmed it 9000 ms'),
    ],
)
def test_request_without_an_account_is_explained(
    tmp_path: Path, fields: dict[str, object], cause: str
) -> None:
    line = event('request.no_account', 1.0, request_id='r', config_version=7, **fields)
    file = write(tmp_path / 'edge-1.log', line)
    assert cause in explain('r', read_log_events([file])).cause


@pytest.mark.parametrize(
    ('verdict', 'cause'),
    [
        (
            'over',
            'used up its limit of 5 requests per second and 2 at once, according to edge-9',
        ),
        ('unknown', 'No instance could check'),
    ],
)
def test_rejection_by_the_limit_of_an_account_is_explained(
    tmp_path: Path, verdict: str, cause: str
) -> None:
    line = event(
        'request.over_limit',
        1.0,
        request_id='r',
        account='acme',
        verdict=verdict,
        by='edge-9',
        rate_per_s=5,
        burst=2,
    )
    end = 'over_limit' if verdict == 'over' else 'limit_unknown'
    file = write(tmp_path / 'edge-1.log', line, event('request.end', 1.1, request_id='r', end=end))
    found = explain('r', read_log_events([file]))
    assert cause in found.cause
    assert 'acme' in found.cause
    assert not found.missing


def test_send_to_a_degraded_server_names_the_observed_failures(tmp_path: Path) -> None:
    file = write(
        tmp_path / 'edge-1.log',
        event(
            'server.doubted', 1.0, server_id='i-1', failures=2, witnesses=['a'], witnesses_count=2
        ),
        event('send.failed', 1.5, request_id='r', server_id='i-1', outcome='failed', detail='500'),
        event('request.end', 1.6, request_id='r', end='server_failure', took_ms=9.0),
    )
    cause = explain('r', read_log_events([file])).cause
    assert 'degraded there for 0.5 s, after 2 failures seen by 2 instances' in cause


def run_end(kind: str, time_s: float, server_id: str, **fields: Any) -> dict[str, Any]:
    usual = {'status': 200, 'is_framed': True, 'events_count': 0, 'last_event_id': 6}
    return event(kind, time_s, **{'server_id': server_id, **usual, **fields})


@pytest.mark.parametrize(
    ('kind', 'name'), [('stream.ended', 'request_id'), ('item.ended', 'item_id')]
)
def test_explanation_of_a_stream_names_who_ended_it(tmp_path: Path, kind: str, name: str) -> None:
    # An operator asks how a stream ended that looks complete, and by whose word.
    own = {name: 'r', 'after_interruption': True}
    file = write(
        tmp_path / 'edge-1.log',
        run_end(kind, 1.0, 'i-1', verdict='unconfirmed', stated_by=['i-1'], **own),
        run_end(kind, 1.1, 'i-2', verdict='agreement', stated_by=['i-1', 'i-2'], **own),
        event('request.end', 1.2, request_id='r', end='done'),
    )
    cause = explain('r', read_log_events([file])).cause
    assert 'The run at i-1 ended with a frame, 0 events, at event 6, after an interr' in cause
    assert 'stated by i-1 and not confirmed' in cause
    assert 'ends there according to i-1, i-2.' in cause
    assert 'was cut' not in cause


def test_explanation_of_a_stream_names_where_it_was_cut(tmp_path: Path) -> None:
    own = {'request_id': 'r', 'verdict': 'unconfirmed', 'stated_by': ['i-1']}
    for is_framed, status, found in (
        (False, 200, 'with its connection'),
        (True, 204, '(status 204)'),
    ):
        file = write(
            tmp_path / 'edge-1.log',
            run_end('stream.ended', 1.0, 'i-1', is_framed=is_framed, status=status, **own),
            event('request.end', 1.2, request_id='r', end='cut_midway'),
        )
        cause = explain('r', read_log_events([file])).cause
        assert found in cause
        assert 'The stream was cut after event 6: nobody could confirm its end.' in cause


@pytest.mark.parametrize(
    ('kind', 'name', 'verdict', 'text'),
    [
        ('stream.ended', 'request_id', 'own', 'so that no other server was asked.'),
        ('item.ended', 'item_id', 'no_run', 'It is no run of the item'),
    ],
)
def test_explanation_says_why_nobody_else_was_asked(
    tmp_path: Path, kind: str, name: str, verdict: str, text: str
) -> None:
    file = write(
        tmp_path / 'edge-1.log',
        run_end(kind, 1.0, 'i-1', verdict=verdict, **{name: 'r'}),
        event('request.end', 1.2, request_id='r', end='done'),
    )
    assert text in explain('r', read_log_events([file])).cause


def test_explanation_of_a_whole_stream_names_its_frame(tmp_path: Path) -> None:
    fields = {'request_id': 'r', 'verdict': 'framing', 'events_count': 6, 'stated_by': []}
    file = write(
        tmp_path / 'edge-1.log',
        run_end('stream.ended', 1.0, 'i-1', **fields),
        event('request.end', 1.2, request_id='r', end='done'),
    )
    cause = explain('r', read_log_events([file])).cause
    assert '6 events, at event 6. Its frame ends the stream.' in cause
