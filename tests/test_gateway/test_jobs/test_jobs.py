"""Batch jobs are accepted once, run by one owner at a time and readable at every instance."""

from __future__ import annotations

from typing import Any

import gevent
import msgspec
import pytest

from citrondyke.ids import JobId, ServiceName
from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import ROUTES, GatewayFleet, wait_until_seen

TEXT = '\n'.join(f'text {n}' for n in range(1, 7))


def runs_of(fleet: GatewayFleet, item_id: str) -> int:
    return sum(
        run.request_id == item_id for server in fleet.servers.values() for run in server.runs
    )


def owner_of(fleet: GatewayFleet, job_id: str) -> int:
    return next(
        index for index, each in enumerate(fleet.instances) if job_id in each.batch.owned.by_id
    )


def slow_down(fleet: GatewayFleet, gap_ms: float = 150.0) -> None:
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].event_gap_ms = gap_ms


def test_results_are_complete_and_identical_at_every_instance(fleet: GatewayFleet) -> None:
    assert fleet.submit('job-1', 5).status == 202
    results = fleet.wait_done('job-1', at=0)
    assert fleet.wait_done('job-1', at=1) == results
    assert sorted(each['id'] for each in results) == [f'job-1-{n}' for n in range(5)]
    assert {(each['state'], each['text']) for each in results} == {('completed', TEXT)}
    page = fleet.results('job-1', at=1, after=3)
    assert (page['total'], page['next'], page['results']) == (5, 5, results[3:])


def test_job_resubmitted_at_another_instance_runs_once(fleet: GatewayFleet) -> None:
    # The caller loses the first response and submits the job again to another instance. Each item
    # must run once.
    assert fleet.submit('job-1', at=0).status == 202
    assert fleet.submit('job-1', at=1).status == 202
    fleet.wait_done('job-1', at=1)
    assert fleet.submit('job-1', at=1).status == 202
    assert [runs_of(fleet, f'job-1-{n}') for n in range(3)] == [1, 1, 1]


def test_acceptance_with_lost_store_reply_is_confirmed_by_retry(fleet: GatewayFleet) -> None:
    # The store applies the write of the job, but its reply is lost. The instance retries, finds its
    # own row and responds with 202; the job runs once.
    fleet.store.faults.lost_reply_share = 1.0

    def mend() -> None:
        gevent.sleep(0.5)
        fleet.store.faults.lost_reply_share = 0.0

    gevent.spawn(mend)
    assert fleet.submit('job-1').status == 202
    fleet.wait_done('job-1')
    assert runs_of(fleet, 'job-1-0') == 1


def test_job_with_uncertain_acceptance_gets_504(fleet: GatewayFleet) -> None:
    fleet.store.faults.lost_reply_share = 1.0
    assert fleet.submit('job-1').status == 504
    fleet.store.faults.lost_reply_share = 0.0
    fleet.wait_done('job-1', at=1)


def test_job_submission_is_answered_while_a_store_call_hangs() -> None:
    # The store accepts calls without answering, and the call timeout is much longer than a caller
    # waits. Within its time limit the caller must get 504: the job may or may not be durable.
    fleet = GatewayFleet()
    try:
        fleet.configure()
        fleet.start_instance(store=fleet.store_settings(call_timeout_ms=120_000.0))
        fleet.wait_ready()
        fleet.store.faults.refused_ips = {'*'}
        fleet.store.faults.is_silent = True
        assert fleet.submit('job-1').status == 504
    finally:
        fleet.end()


def test_job_is_rejected_while_the_store_rejects_calls(fleet: GatewayFleet) -> None:
    # Nothing was written, so the job certainly does not run, and the response has a retry time.
    fleet.store.faults.refused_ips = {'*'}
    reply = fleet.submit('job-1')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
    fleet.store.faults.refused_ips = set()
    gevent.sleep(0.5)
    assert runs_of(fleet, 'job-1-0') == 0
    wait_until_seen(
        lambda: fleet.call('/-/lots/job-1?after=0', b'', method='GET').status == 404,
        '404 for a job that was not accepted',
    )


def test_unknown_job_is_404_only_if_the_store_confirms_it(fleet: GatewayFleet) -> None:
    path = '/-/lots/nothing?after=0'
    assert fleet.call(path, b'', method='GET').status == 404
    fleet.store.faults.refused_ips = {'*'}
    assert fleet.call(path, b'', method='GET').status == 503


def test_accepted_job_is_readable_despite_stale_reads(fleet: GatewayFleet) -> None:
    fleet.store.faults.stale_at = fleet.store.table.version
    assert fleet.submit('job-1').status == 202
    for at in (0, 1):
        assert fleet.results('job-1', at=at)['total'] == 3


def test_job_of_a_killed_owner_is_finished_by_another_instance(fleet: GatewayFleet) -> None:
    # The owner is killed right after the 202, while items are running. Another instance detects the
    # missing heartbeats, claims the job and lists every item once.
    slow_down(fleet)
    assert fleet.submit('job-1', 6, at=0).status == 202
    fleet.instances[0].stop_abruptly()
    results = fleet.wait_done('job-1', at=1)
    assert sorted(each['id'] for each in results) == [f'job-1-{n}' for n in range(6)]
    assert {each['text'] for each in results} == {TEXT}


def test_commit_of_a_previous_owner_is_fenced(fleet: GatewayFleet) -> None:
    # The owner is paused, another instance takes over the job, then the commit of the first owner
    # arrives. It must be fenced, and no item may be listed twice.
    slow_down(fleet)
    assert fleet.submit('job-1', 4, at=0).status == 202
    first = fleet.instances[0]
    job = first.batch.owned.by_id[msgspec.convert('job-1', str)]  # type: ignore[index]
    stored = first.batch.claimer.store.current_head(job.head.job_id)
    taken = msgspec.structs.replace(
        stored.head,  # type: ignore[union-attr]
        owner=fleet.instances[1].context.instance_id,
        owner_life='gone',
    )
    first.batch.claimer.store.change_head(stored, taken)  # type: ignore[arg-type]
    results = fleet.wait_done('job-1', at=1)
    assert sorted(each['id'] for each in results) == [f'job-1-{n}' for n in range(4)]


def test_ended_job_stops_its_items_and_hides_their_bodies(fleet: GatewayFleet) -> None:
    # The caller ends the job at an instance that does not own it. The owner must stop the items,
    # ending the job again must succeed, and item bodies are no longer returned.
    slow_down(fleet, 300.0)
    assert fleet.submit('job-1', 12, at=0).status == 202
    wait_until_seen(lambda: runs_of(fleet, 'job-1-0'), 'the first item at a server')
    for at in (1, 0, 1):
        assert fleet.call('/-/lots/job-1', b'', at=at, method='DELETE').status == 200
    wait_until_seen(lambda: not fleet.instances[0].batch.owned.by_id, 'the owner to drop the job')
    ran = sum(len(server.runs) for server in fleet.servers.values())
    gevent.sleep(0.6)
    assert sum(len(server.runs) for server in fleet.servers.values()) == ran
    path = '/-/items/job-1?id=job-1-0'
    assert fleet.call(path, b'', at=1, method='GET').status == 404


@pytest.mark.parametrize('at', [0, 1])
def test_bodies_of_open_items_are_returned_by_every_instance(fleet: GatewayFleet, at: int) -> None:
    slow_down(fleet, 300.0)
    assert fleet.submit('job-1', at=0).status == 202
    reply = fleet.call('/-/items/job-1?id=job-1-2', b'', at=at, method='GET')
    assert (reply.status, reply.body) == (200, b'item 2')
    assert fleet.call('/-/items/job-1?id=other', b'', at=at, method='GET').status == 404


def test_item_preempted_before_its_run_starts_runs_later(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An online request from a peer preempts an item after its server was chosen and before its run
    # has started. If the item stayed marked as running, it would never be listed, and the caller
    # would poll for it forever.
    runner = fleet.instances[0].batch.runner
    begin = runner._begin

    def begin_and_preempt(*arguments: Any) -> None:
        monkeypatch.undo()
        begin(*arguments)
        for run in runner._runs.values():
            run.preempt()

    monkeypatch.setattr(runner, '_begin', begin_and_preempt)
    assert fleet.submit('job-1', 3).status == 202
    assert len(fleet.wait_done('job-1')) == 3
    assert all(state.own.batch == 0 for state in fleet.instances[0].book.states())


def test_impossible_item_is_listed_as_errored(fleet: GatewayFleet) -> None:
    # With one server only, because with two all items could run at the other one.
    fleet.list_server('lm-2', 'lm', state='draining')
    books = [instance.book for instance in fleet.instances]
    wait_until_seen(
        lambda: all(len(book.eligible_servers(ServiceName('lm'))) == 1 for book in books),
        'one server',
    )
    fleet.servers['lm-1'].answer_modes.extend([AnswerMode.IMPOSSIBLE] * 2)
    assert fleet.submit('job-1', 4).status == 202
    results = fleet.wait_done('job-1')
    assert sorted(each['state'] for each in results) == ['completed', 'completed'] + ['errored'] * 2


def test_interrupted_item_resumes_after_its_last_event(fleet: GatewayFleet) -> None:
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].answer_modes.append(AnswerMode.CUT_IN_EVENT)
    assert fleet.submit('job-1', 2).status == 202
    assert {each['text'] for each in fleet.wait_done('job-1')} == {TEXT}


def test_planned_stop_transfers_jobs_with_their_progress(fleet: GatewayFleet) -> None:
    # The owner is requested to stop while its items are running. Another instance must resume each
    # item after its last event at once, without waiting for a heartbeat timeout.
    slow_down(fleet)
    assert fleet.submit('job-1', 2, at=0).status == 202
    items = fleet.instances[0].batch.owned.by_id[JobId('job-1')].open.values()
    wait_until_seen(lambda: all(each.last_event_id for each in items), 'progress')
    fleet.instances[0].request_stop()
    gevent.spawn(fleet.instances[0].run_until_stopped)
    results = fleet.wait_done('job-1', at=1)
    assert {each['text'] for each in results} == {TEXT}
    resumed = [
        run
        for server in fleet.servers.values()
        for run in server.runs
        if b'last-event-id' in run.headers
    ]
    assert len(resumed) == 2


def test_items_of_a_removed_route_are_errored(fleet: GatewayFleet) -> None:
    for server in fleet.servers.values():
        server.answer_modes.extend([AnswerMode.REFUSE] * 50)
    assert fleet.submit('job-1', 2).status == 202
    fleet.configure(2, [each for each in ROUTES if each['type'] != 'batch'])
    results = fleet.wait_done('job-1')
    assert {each['state'] for each in results} == {'errored'}


def test_malformed_job_is_rejected_with_400(fleet: GatewayFleet) -> None:
    assert fleet.call('/batch-stream/x', b'{"requests":[{"id":1}]}').status == 400
    assert fleet.call('/batch-stream/x', b'{"requests":[').status == 400


@pytest.mark.parametrize('mode', [AnswerMode.COMMENTS, AnswerMode.COMMENT_THEN_CUT])
def test_comments_in_a_stream_are_no_part_of_an_items_text(
    fleet: GatewayFleet, mode: AnswerMode
) -> None:
    # A comment counted as an event: a line too many, and a run that began from the first event.
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].answer_modes.append(mode)
    assert fleet.submit('job-1').status == 202
    assert [each['text'] for each in fleet.wait_done('job-1')] == [TEXT] * 3
