"""What may not be repeated runs at most once; the counting service is the judge."""

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
    """Send an order with a key; ``None`` where no answer came."""
    return caller.try_call('POST', PLACE, body or {'jugs': 2}, {'Idempotency-Key': key})


@pytest.mark.fleet(instances=3, engines=0)
def test_resends_through_all_instances_run_once(fleet: Fleet) -> None:
    # Three instances get the same order at the same moment, several times. One claims its key;
    # the others wait for its outcome, and all callers hear the same answer.
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
def test_outage_refuses_at_once_and_for_good(fleet: Fleet) -> None:
    # With the table service down an order is refused as not run, with a time to come back. When
    # it is back the same key may be used and runs once; nothing that was refused runs later.
    caller = fleet.caller()
    fleet.fault('table', 'down')
    refused = [order(caller, f'k{n}') for n in range(5)]
    for answer in refused:
        assert answer is not None
        assert (answer.status, answer.error['code']) == (503, 'platform_unavailable')
        assert answer.error['run'] == 'not_run'
        assert answer.error['retry_in_ms'] > 0
    assert fleet.runs('orders-server') == {}
    fleet.fault('table', 'none')

    def accepted() -> bool:
        answer = order(fleet.caller('instance-1'), 'k0')
        return answer is not None and answer.status == 200

    wait_until(accepted, 'orders to be taken again')
    time.sleep(1.5)
    assert fleet.runs('orders-server') == {'k0': 1}


@pytest.mark.fleet(instances=2, engines=0)
def test_lost_replies_around_intent_and_outcome(fleet: Fleet) -> None:
    # Replies of the table service are lost while orders come in. Whatever each caller hears,
    # resends through another instance never run an order twice, and "not run" stays true.
    first, second = fleet.caller('instance-0'), fleet.caller('instance-1')
    for n in range(12):
        fleet.fault('table', 'lost_reply', calls_left=n % 4 + 1)
        heard = order(first, f'k{n}')
        fleet.fault('table', 'none')
        if heard is not None and heard.status != 200 and heard.error['run'] == 'not_run':
            assert fleet.runs('orders-server').get(f'k{n}', 0) == 0

        def settled(key: str = f'k{n}') -> bool:
            answer = order(second, key)
            return answer is not None and answer.status in (200, 502)

        wait_until(settled, f'an outcome of order {n}')
    runs = fleet.runs('orders-server')
    assert set(runs.values()) == {1}, runs


@pytest.mark.parametrize('is_frozen', [False, True])
@pytest.mark.fleet(instances=2, engines=0, services=())
def test_owner_gone_in_the_middle_is_unknown_for_good(fleet: Fleet, is_frozen: bool) -> None:
    # The owner of an order is killed (or frozen past its lease) after the dispatch. A resend
    # through the other instance is told "unknown, will not be repeated"; that answer stands
    # when asked again, and when a frozen owner wakes up with the real answer in its hands.
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

        def told() -> Answer | None:
            answer = order(second, 'k')
            return answer if answer and answer.error['code'] != 'in_progress' else None

        answer = wait_until(told, 'the order to be closed')
        assert (answer.status, answer.error['code']) == (502, 'outcome_unknown')
        assert answer.error['run'] == 'unknown'
        if is_frozen:
            victim.wake()
            heard = first.result()
            assert heard is not None
            assert heard.error['code'] == 'outcome_unknown'
        else:
            assert first.result() is None
    again = order(second, 'k')
    assert again is not None
    assert again.error['code'] == 'outcome_unknown'
    wait_until(lambda: fleet.runs('orders-server'), 'the run to come to its end')
    assert fleet.runs('orders-server') == {'k': 1}


@pytest.mark.fleet(instances=1, engines=0)
def test_cut_answer_is_unknown_and_not_sent_again(fleet: Fleet) -> None:
    # The service runs the order and its connection is cut before the first byte of the answer.
    # Nobody can know that from outside, so the caller hears "unknown" and nothing is resent.
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
    # A job of orders loses two holders, one after the other. Orders that may have been sent are
    # told "unknown", all others run once; none runs twice and none is without an outcome.
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
    # Intents and outcomes of calls that arrive together travel in common transactions.
    caller = fleet.caller()
    before = fleet.counts()['transactions_count']
    with ThreadPoolExecutor(32) as pool:
        answers = list(pool.map(lambda n: order(caller, f'k{n}'), range(320)))
    spent = fleet.counts()['transactions_count'] - before
    assert {answer.status for answer in answers if answer} == {200}
    assert set(fleet.runs('orders-server').values()) == {1}
    assert spent < 320, 'without grouping it takes two for each call'
