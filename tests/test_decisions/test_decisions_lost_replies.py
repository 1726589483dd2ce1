"""A reply of the table service is lost after its write took effect, at each write in turn."""

from __future__ import annotations

from typing import Any

import pytest

from citrondyke.decisions.at_most_once.once_result import OnceResultKind
from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.configuration.proposal import ConfigProposal, RequestedEdit
from citrondyke.decisions.core import ops
from citrondyke.driver.virtual.virtual_fleet import VirtualFleet
from citrondyke.ids import ConfigVersion
from citrondyke.storage.failure import AMBIGUOUS
from tests.support.fleet import entries
from tests.support.virtual import job_outcomes, make_fleet, model_lines, order, wait_for_job


def lose_reply(fleet: VirtualFleet, number: int) -> None:
    """Lose the reply of the n-th transaction from now."""
    perform = fleet.platform.perform
    seen = 0

    def losing(op: ops.Op, answer: Any) -> bool:
        nonlocal seen
        if isinstance(op, ops.Transact):
            seen += 1
            if seen == number:
                return perform(op, lambda _: answer(AMBIGUOUS))
        return perform(op, answer)

    fleet.platform.perform = losing  # type: ignore[method-assign]


def lose_all_replies(fleet: VirtualFleet, until_ms: float) -> None:
    """Lose the reply of every transaction up to a time, though all take effect."""
    perform = fleet.platform.perform

    def losing(op: ops.Op, answer: Any) -> bool:
        if isinstance(op, ops.Transact) and fleet.time.now_ms() < until_ms:
            return perform(op, lambda _: answer(AMBIGUOUS))
        return perform(op, answer)

    fleet.platform.perform = losing  # type: ignore[method-assign]


@pytest.mark.parametrize('number', range(1, 5))
def test_order_is_answered_though_a_reply_is_lost(number: int) -> None:
    # The write of the intent or of the outcome takes effect and its reply is lost. The writer
    # knows its own write again; the caller gets its answer and the order ran once.
    fleet = make_fleet(seed=number, instances=1)
    host = next(iter(fleet.instances.values()))
    ends: list[Any] = []
    lose_reply(fleet, number)
    order(host, fleet, 'key', ends)
    fleet.time.run_until(fleet.time.now_ms() + 10_000.0)
    assert [end.kind for end in ends] == [OnceResultKind.ANSWERED]
    assert list(fleet.servers['orders'].runs.values()) == [1]  # type: ignore[index]


def test_accepted_change_is_told_as_accepted() -> None:
    # The row of the next version is written and the reply is lost: the operator must not hear
    # "conflict" about a change that is in force.
    fleet = make_fleet(seed=1, instances=1)
    host = next(iter(fleet.instances.values()))
    entry = entries()[0]
    proposal = ConfigProposal(
        host.instance.config_replica.current.version, (RequestedEdit('class/calls', entry),)
    )
    lose_reply(fleet, 1)
    result = fleet.complete(host, host.instance.propose(proposal, 'olive'))
    assert isinstance(result, ConfigChange)
    assert host.instance.config_replica.current.version == result.version


@pytest.mark.parametrize('number', range(1, 12))
def test_job_goes_on_though_a_reply_is_lost(number: int) -> None:
    fleet = make_fleet(seed=number, instances=1)
    host = next(iter(fleet.instances.values()))
    job = fleet.accept_job(host, 'coastal', 'nightly', model_lines(20))
    lose_reply(fleet, number)
    wait_for_job(fleet, job)
    assert job_outcomes(fleet, job) == {f'item-{n}': 'ok' for n in range(20)}


@pytest.mark.parametrize('delay_ms', [0.0, 3.0, 8.0, 15.0, 30.0])
def test_nothing_becomes_visible_after_a_cancellation(delay_ms: float) -> None:
    # The caller cancels; the notices that would cut the streams are lost, so holders go on and
    # try to commit. What was visible at the cancellation stays, and no answer is added to it.
    fleet = make_fleet(seed=7)
    fleet.send_peer = lambda *_: None  # type: ignore[method-assign]
    host = next(iter(fleet.instances.values()))
    job = fleet.accept_job(host, 'coastal', 'nightly', model_lines(60, tokens=3))
    fleet.time.run_while(lambda: not job_outcomes(fleet, job), fleet.time.now_ms() + 10_000.0)
    fleet.time.run_until(fleet.time.now_ms() + delay_ms)
    fleet.complete(host, host.instance.acceptance.cancel(None, job.job_id))
    before = job_outcomes(fleet, job)
    wait_for_job(fleet, job)
    after = job_outcomes(fleet, job)
    answered = {name for name, outcome in after.items() if outcome == 'ok'}
    assert answered == {name for name, outcome in before.items() if outcome == 'ok'}
    assert len(after) == 60


def test_claim_whose_fate_was_open_is_taken_up_again() -> None:
    # A segment's claim takes effect while every reply is lost for longer than a claim is followed
    # up. The instance does not hold the segment and nobody else may take it, as its owner lives;
    # it has to find its own name there and take the segment up.
    fleet = make_fleet(seed=3, instances=1)
    host = next(iter(fleet.instances.values()))
    job = fleet.accept_job(host, 'coastal', 'nightly', model_lines(8))
    lose_all_replies(fleet, fleet.time.now_ms() + 6000.0)
    wait_for_job(fleet, job)
    assert job_outcomes(fleet, job) == {f'item-{n}': 'ok' for n in range(8)}


def test_refused_order_can_be_sent_again_elsewhere() -> None:
    # An intent takes effect while every reply is lost; its caller is told "not run" and to come
    # back. The intent must not stand in the way of the next try for good.
    fleet = make_fleet(seed=4)
    first, second = fleet.instances.values()
    lose_all_replies(fleet, fleet.time.now_ms() + 6000.0)
    refused: list[Any] = []
    order(first, fleet, 'key', refused)
    fleet.time.run_until(fleet.time.now_ms() + 9000.0)
    assert [end.kind for end in refused] == [OnceResultKind.PLATFORM_DOWN]
    assert not fleet.servers['orders'].runs  # type: ignore[index]
    ends: list[Any] = []
    order(second, fleet, 'key', ends)
    fleet.time.run_until(fleet.time.now_ms() + 10_000.0)
    assert [end.kind for end in ends] == [OnceResultKind.ANSWERED]
    assert list(fleet.servers['orders'].runs.values()) == [1]  # type: ignore[index]


def test_changes_out_of_order_wait_for_their_predecessors() -> None:
    fleet = make_fleet(seed=5, instances=1)
    config_replica = next(iter(fleet.instances.values())).instance.config_replica
    later = [
        ConfigChange(version=ConfigVersion(n), edits=(), who='olive', accepted_at_epoch_ms=0.0)
        for n in (2, 3, 4)
    ]
    assert not config_replica.merge_changes(later[1:])
    assert config_replica.current.version == 1
    assert config_replica.merge_changes(later[:1])
    assert config_replica.current.version == 4
    assert not config_replica.merge_changes(later)
    assert config_replica.current.version == 4
