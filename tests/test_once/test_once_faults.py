"""At-most-once requests under faults; the test service counts the runs."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.support.caller import Answer, Caller
from tests.support.fleet import Fleet
from tests.support.job_lines import service_lines
from tests.support.waiting import wait_until

PLACE = '/services/orders/place'


def order(caller: Caller, key: str, body: object = None) -> Answer | None:
    """Send an order with a key; return ``None`` if no response arrived."""
    return caller.try_call('POST', PLACE, body or {'jugs': 2}, {'Idempotency-Key': key})


@pytest.mark.fleet(instances=3, engines=0)
def test_resends_through_all_instances_run_once(fleet: Fleet) -> None:
    # Three instances receive the same order concurrently, several times. One claims its key, the
    # others wait for the outcome, and all callers get the same response.
    callers = [fleet.caller(f'instance-{n}') for n in range(3)]
    with ThreadPoolExecutor(12) as pool:
        answers = list(pool.map(lambda n: order(callers[n % 3], f'k{n // 12}'), range(36)))
    assert {answer.status for answer in answers if answer} == {200}
    assert {answer.body for answer in answers[:12] if answer} == {answers[0].body}  # type: ignore[union-attr]
    assert fleet.runs('orders-server') == {'k0': 1, 'k1': 1, 'k2': 1}
    other = order(callers[2], 'k0', {'jugs': 3})
    assert other is not None
    assert (other.status, other.error['code']) == (409, 'idempotency_conflict')
    assert fleet.runs('orders-server')['k0'] == 1


@pytest.mark.fleet(instances=2, engines=0)
def test_outage_rejects_at_once_and_rejected_orders_never_run(fleet: Fleet) -> None:
    # With the table service down an order is rejected as not run, with a retry time. After the
    # outage the same key can be used and runs once; a rejected order does not run later.
    caller = fleet.caller()
    fleet.fault('table', 'down')
    rejected = [order(caller, f'k{n}') for n in range(5)]
    for answer in rejected:
        assert answer is not None
        assert (answer.status, answer.error['code']) == (503, 'platform_unavailable')
        assert answer.error['run'] == 'not_run'
        assert answer.error['retry_in_ms'] > 0
    assert fleet.runs('orders-server') == {}
    fleet.fault('table', 'none')

    def accepted() -> bool:
        answer = order(fleet.caller('instance-1'), 'k0')
        return answer is not None and answer.status == 200

    wait_until(accepted, 'orders to be accepted again')
    time.sleep(1.5)
    assert fleet.runs('orders-server') == {'k0': 1}


@pytest.mark.fleet(instances=2, engines=0)
def test_lost_replies_around_intent_and_outcome(fleet: Fleet) -> None:
    # Replies of the table service are lost while orders arrive. Resends through another instance
    # must never run an order twice, and an order reported as "not run" must not have run.
    first, second = fleet.caller('instance-0'), fleet.caller('instance-1')
    for n in range(12):
        fleet.fault('table', 'lost_reply', calls_left=n % 4 + 1)
        received = order(first, f'k{n}')
        fleet.fault('table', 'none')
        if received is not None and received.status != 200 and received.error['run'] == 'not_run':
            assert fleet.runs('orders-server').get(f'k{n}', 0) == 0

        def settled(key: str = f'k{n}') -> bool:
            answer = order(second, key)
            return answer is not None and answer.status in (200, 502)

        wait_until(settled, f'an outcome of order {n}')
    runs = fleet.runs('orders-server')
    assert set(runs.values()) == {1}, runs


@pytest.mark.parametrize('is_frozen', [False, True])
@pytest.mark.fleet(instances=2, engines=0, services=())
def test_order_of_a_dead_owner_stays_unknown(fleet: Fleet, is_frozen: bool) -> None:
    # The owner of an order is killed (or frozen past its lease) after the dispatch. A resend
    # through the other instance gets "outcome unknown". Later resends get the same, also after a
    # frozen owner wakes up with the real response.
    fleet.start_service('orders-server', 'orders', run_ms=3000)
    fleet.wait_ready('instance-0')
    for name in ('instance-0', 'instance-1'):
        operator = fleet.operator(name)
        wait_until(
            lambda operator=operator: operator.get('/operator/v1/status').json['servers'],  # type: ignore[misc]
            'the service to be listed',
        )
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(order, fleet.caller('instance-0'), 'k')
        wait_until(lambda: fleet.server('orders-server').get('/load').json['running'], 'a run')
        victim = fleet.program('instance-0')
        victim.freeze() if is_frozen else victim.kill()
        second = fleet.caller('instance-1')

        def closed() -> Answer | None:
            answer = order(second, 'k')
            return answer if answer and answer.error['code'] != 'in_progress' else None

        answer = wait_until(closed, 'the order to be closed')
        assert (answer.status, answer.error['code']) == (502, 'outcome_unknown')
        assert answer.error['run'] == 'unknown'
        if is_frozen:
            victim.wake()
            received = first.result()
            assert received is not None
            assert received.error['code'] == 'outcome_unknown'
        else:
            assert first.result() is None
    again = order(second, 'k')
    assert again is not None
    assert again.error['code'] == 'outcome_unknown'
    wait_until(lambda: fleet.runs('orders-server'), 'the run to come to its end')
    assert fleet.runs('orders-server') == {'k': 1}


@pytest.mark.fleet(instances=1, engines=0)
def test_cut_answer_is_unknown_and_not_sent_again(fleet: Fleet) -> None:
    # The service runs the order and its connection breaks before the first byte of the response.
    # The instance cannot know whether it ran, so it reports "unknown" and does not resend.
    fleet.server_faults('orders-server', cut_before_answer_left=1)
    answer = order(fleet.caller(), 'k')
    assert answer is not None
    assert (answer.status, answer.error['run']) == (502, 'unknown')
    again = order(fleet.caller(), 'k')
    assert again is not None
    assert again.error['code'] == 'outcome_unknown'
    assert fleet.runs('orders-server') == {'k': 1}


@pytest.mark.fleet(instances=3, engines=0)
def test_orders_inside_a_job_run_at_most_once(fleet: Fleet) -> None:
    # Two holders of a job of orders are killed, one after the other. Orders that may have been sent
    # are reported as "unknown" and all others run once; none runs twice or lacks an outcome.
    fleet.server_faults('orders-server', slow_ms=60)
    caller = fleet.caller('instance-2')
    job_id = fleet.submit(caller, service_lines(150), '/services/orders/place')
    for victim in ('instance-0', 'instance-1'):
        wanted = len(fleet.runs('orders-server')) + 10

        def have_run(wanted: int = wanted) -> bool:
            return len(fleet.runs('orders-server')) > wanted

        wait_until(have_run, 'orders to run')
        fleet.program(victim).kill()
    job = fleet.wait_final(caller, job_id)
    outcomes = fleet.outcomes(caller, job)
    assert len(outcomes) == 150
    runs = fleet.runs('orders-server')
    assert max(runs.values()) == 1
    answered = [line for line in outcomes.values() if line['error'] is None]
    unknown = [line for line in outcomes.values() if line['error'] is not None]
    assert {line['error']['code'] for line in unknown} <= {'outcome_unknown'}
    assert len(runs) >= len(answered)
    assert len(unknown) <= 2 * 2 * 16, 'two holders, two segments each'


@pytest.mark.fleet(instances=1, engines=0, intent_pace=55)
def test_many_orders_share_few_transactions(fleet: Fleet) -> None:
    # Intents and outcomes of concurrent calls are committed in shared transactions.
    caller = fleet.caller()
    before = fleet.counts()['transactions_count']
    with ThreadPoolExecutor(32) as pool:
        answers = list(pool.map(lambda n: order(caller, f'k{n}'), range(320)))
    spent = fleet.counts()['transactions_count'] - before
    assert {answer.status for answer in answers if answer} == {200}
    assert set(fleet.runs('orders-server').values()) == {1}
    assert spent < 320, 'without grouping each call takes two'
