"""Guarantees hold if an instance is killed or frozen between any two of its effects."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from citrondyke.decisions.at_most_once.once_result import OnceResultKind
from citrondyke.decisions.core.runner import Effect
from citrondyke.decisions.jobs.rows import TodoRow
from citrondyke.driver.virtual.virtual_fleet import VirtualFleet
from citrondyke.driver.virtual.virtual_instance import VirtualInstance
from citrondyke.ids import RowKey
from tests.support.virtual import (
    LIMITS,
    job_outcomes,
    make_fleet,
    model_lines,
    order,
    order_lines,
    wait_for_job,
)

#: Effects between two tested crash points; each start shifts them by one.
STRIDE = 7
#: Enough that the job is still running when an instance is frozen past its lease.
ORDERS = 400


def kill_at(fleet: VirtualFleet, victim: VirtualInstance, effect_number: int) -> None:
    """Kill an instance immediately before its n-th effect from now."""
    first = victim.effects_count

    def crash(host: VirtualInstance, effect: Effect) -> None:
        if host is victim and host.effects_count - first >= effect_number:
            host.kill()

    fleet.crash_point = crash


@pytest.mark.parametrize('start', range(4))
def test_job_outcomes_at_every_crash_point(start: int) -> None:
    # After a job is accepted, one of two instances dies at its n-th effect: around a claim, an
    # object write, a commit or a lease renewal. The other one finishes the job, and every item has
    # one outcome.
    for point in range(1 + start, 200, STRIDE * 4):
        fleet = make_fleet(seed=point)
        victim, other = fleet.instances.values()
        job = fleet.accept_job(other, 'coastal', 'nightly', model_lines(20))
        kill_at(fleet, victim, point)
        wait_for_job(fleet, job)
        outcomes = job_outcomes(fleet, job)
        assert outcomes == {f'item-{n}': 'ok' for n in range(20)}, point


@pytest.mark.parametrize('start', range(4))
def test_cancel_at_every_crash_point(start: int) -> None:
    # The same with a cancellation in between: visible outcomes stay, all other items are reported
    # as "cancelled", and no item is left without an outcome.
    for point in range(1 + start, 160, STRIDE * 4):
        fleet = make_fleet(seed=point)
        victim, other = fleet.instances.values()
        job = fleet.accept_job(other, 'coastal', 'nightly', model_lines(40, tokens=30))
        kill_at(fleet, victim, point)
        fleet.time.run_until(fleet.time.now_ms() + 150.0)
        fleet.complete(other, other.instance.cancel_job(None, job.job_id))
        wait_for_job(fleet, job)
        outcomes = job_outcomes(fleet, job)
        assert len(outcomes) == 40, point
        assert set(outcomes.values()) <= {'ok', 'cancelled'}


def test_order_runs_once_at_every_crash_point() -> None:
    # An instance dies at its n-th effect after an order arrived: around the intent, the dispatch,
    # the response or the outcome. Resends through the other instance never run the order again,
    # and they get the response that the first caller got.
    for point in range(40):
        fleet = make_fleet(seed=point)
        victim, other = fleet.instances.values()
        kill_at(fleet, victim, point)
        first: list[Any] = []
        order(victim, fleet, 'key', first)
        fleet.time.run_until(fleet.time.now_ms() + 30.0)
        victim.kill()
        results: list[Any] = []
        for _ in range(2):
            order(other, fleet, 'key', results)
            fleet.time.run_until(fleet.time.now_ms() + 6 * LIMITS.lease_ms)
        runs = fleet.servers[next(each for each in fleet.servers if each == 'orders')].runs
        assert sum(runs.values()) <= 1, point
        assert len(results) == 2, point
        assert results[0].kind is results[1].kind
        assert results[0].kind in (OnceResultKind.ANSWERED, OnceResultKind.UNKNOWN)
        if first and first[0].kind is OnceResultKind.ANSWERED:
            assert results[0].kind is OnceResultKind.ANSWERED
        if not runs:
            assert results[0].kind is OnceResultKind.UNKNOWN


@pytest.mark.parametrize('start', range(3))
def test_orders_of_a_job_with_a_freeze_at_every_point(start: int) -> None:
    # An instance freezes past its lease at its n-th effect for a job of orders; the other one takes
    # over and finishes. The first one wakes up and continues with stale dispatch markers and
    # commits, which the fence must reject. Each order has one outcome and ran at most once.
    for point in range(1 + start, 120, STRIDE * 3):
        fleet = make_fleet(seed=point, engines=0)
        victim, other = fleet.instances.values()
        job = fleet.accept_job(other, 'coastal', 'nightly', order_lines(ORDERS))
        first = victim.effects_count

        def freeze(host: VirtualInstance, effect: Effect) -> None:
            if host is victim and host.effects_count - first == point:  # noqa: B023
                host.freeze()

        fleet.crash_point = freeze
        fleet.time.run_until(fleet.time.now_ms() + 1.5 * LIMITS.lease_ms)
        fleet.crash_point = None
        victim.wake()
        wait_for_job(fleet, job)
        fleet.time.run_until(fleet.time.now_ms() + 2 * LIMITS.lease_ms)
        outcomes = job_outcomes(fleet, job)
        assert len(outcomes) == ORDERS, point
        runs = fleet.servers['orders'].runs  # type: ignore[index]
        assert max(runs.values()) == 1, point


@pytest.mark.parametrize('number', range(1, 7))
def test_stale_dispatch_marker_of_a_frozen_holder_is_fenced(number: int) -> None:
    # An instance freezes immediately before it writes the marker that it is about to dispatch the
    # n-th group of orders. The other one takes over the segment and runs them. The first one wakes
    # up and writes its marker: the fence must reject it, or the orders would be dispatched twice.
    fleet = make_fleet(seed=number, engines=0, run_ms=150.0)
    victim, other = fleet.instances.values()
    job = fleet.accept_job(other, 'coastal', 'nightly', order_lines(ORDERS))
    marked: list[RowKey] = []

    def freeze(host: VirtualInstance, effect: Effect) -> None:
        wanted = getattr(getattr(effect, 'op', None), 'transaction', None)
        if host is not victim or wanted is None:
            return
        marked.extend(write.key for write in wanted.writes if b'"started":"f' in bytes(write.value))
        if len(marked) >= number:
            host.freeze()

    def is_taken_over() -> bool:
        row = fleet.platform.table.read([marked[-1]])[0]
        owner = msgspec.json.decode(row.value, type=TodoRow).owner
        return owner == other.instance.session.session

    fleet.crash_point = freeze
    fleet.time.run_while(lambda: not victim.is_frozen, fleet.time.now_ms() + 5000.0)
    fleet.crash_point = None
    fleet.time.run_while(lambda: not is_taken_over(), fleet.time.now_ms() + 60_000.0)
    fleet.time.run_until(fleet.time.now_ms() + 30.0)
    victim.wake()
    wait_for_job(fleet, job)
    assert len(job_outcomes(fleet, job)) == ORDERS
    runs = fleet.servers['orders'].runs  # type: ignore[index]
    assert max(runs.values()) == 1


def test_item_that_kills_its_holder_is_found() -> None:
    # Every instance that dispatches one certain item dies at once and is restarted. After some
    # deaths the item runs in isolation; when its holder dies again, the item fails with its own
    # error code, and all other items succeed.
    fleet = make_fleet(seed=5)
    deaths = 0

    def crash(host: VirtualInstance, effect: Effect) -> None:
        nonlocal deaths
        call = getattr(getattr(effect, 'op', None), 'call', None)
        if call is not None and call.request_id.endswith('-1-3'):
            deaths += 1
            host.kill()
            name = host.listed.id

            def restart() -> None:
                fleet.add_instance(name, 'z', LIMITS)

            fleet.time.after(100.0, restart)

    host = next(iter(fleet.instances.values()))
    job = fleet.accept_job(host, 'coastal', 'nightly', model_lines(24))
    fleet.crash_point = crash
    wait_for_job(fleet, job)
    outcomes = job_outcomes(fleet, job)
    failed = {name: code for name, code in outcomes.items() if code != 'ok'}
    assert failed == {'item-11': 'item_killed_holder'}
    assert len(outcomes) == 24
    assert deaths <= 4
