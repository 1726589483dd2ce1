"""The reply to each write in turn is lost after the write took effect."""

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
    """Lose the replies of all transactions until a time; the transactions take effect."""
    perform = fleet.platform.perform

    def losing(op: ops.Op, answer: Any) -> bool:
        if isinstance(op, ops.Transact) and fleet.time.now_ms() < until_ms:
            return perform(op, lambda _: answer(AMBIGUOUS))
        return perform(op, answer)

    fleet.platform.perform = losing  # type: ignore[method-assign]


@pytest.mark.parametrize('number', range(1, 5))
def test_order_gets_its_response_despite_a_lost_reply(number: int) -> None:
    # The write of the intent or of the outcome takes effect and its reply is lost. The writer
    # recognises its own write; the caller gets its response and the order ran once.
    fleet = make_fleet(seed=number, instances=1)
    host = next(iter(fleet.instances.values()))
    results: list[Any] = []
    lose_reply(fleet, number)
    order(host, fleet, 'key', results)
    fleet.time.run_until(fleet.time.now_ms() + 10_000.0)
    assert [end.kind for end in results] == [OnceResultKind.ANSWERED]
    assert list(fleet.servers['orders'].runs.values()) == [1]  # type: ignore[index]


def test_accepted_change_is_reported_despite_a_lost_reply() -> None:
    # The row of the next version is written and the reply is lost: the operator must not get a
    # conflict for a change that is in force.
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
def test_job_continues_despite_a_lost_reply(number: int) -> None:
    fleet = make_fleet(seed=number, instances=1)
    host = next(iter(fleet.instances.values()))
    job = fleet.accept_job(host, 'coastal', 'nightly', model_lines(20))
    lose_reply(fleet, number)
    wait_for_job(fleet, job)
    assert job_outcomes(fleet, job) == {f'item-{n}': 'ok' for n in range(20)}


@pytest.mark.parametrize('delay_ms', [0.0, 3.0, 8.0, 15.0, 30.0])
def test_nothing_becomes_visible_after_a_cancellation(delay_ms: float) -> None:
    # A job is cancelled and the messages that abort its streams are lost, so holders continue and
    # try to commit. Outcomes visible at the cancellation stay, and no success is added.
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


def test_uncertain_claim_is_recovered() -> None:
    # A segment's claim takes effect while all replies are lost for longer than a claim is retried.
    # The instance does not know that it holds the segment, and no other one may take it, as its
    # owner is alive. The instance has to find its own claim and resume the segment.
    fleet = make_fleet(seed=3, instances=1)
    host = next(iter(fleet.instances.values()))
    job = fleet.accept_job(host, 'coastal', 'nightly', model_lines(8))
    lose_all_replies(fleet, fleet.time.now_ms() + 6000.0)
    wait_for_job(fleet, job)
    assert job_outcomes(fleet, job) == {f'item-{n}': 'ok' for n in range(8)}


def test_rejected_order_can_be_resent_through_another_instance() -> None:
    # An intent takes effect while all replies are lost; its caller gets "not run" and a retry time.
    # The intent must not block the retry forever.
    fleet = make_fleet(seed=4)
    first, second = fleet.instances.values()
    lose_all_replies(fleet, fleet.time.now_ms() + 6000.0)
    rejected: list[Any] = []
    order(first, fleet, 'key', rejected)
    fleet.time.run_until(fleet.time.now_ms() + 9000.0)
    assert [end.kind for end in rejected] == [OnceResultKind.PLATFORM_DOWN]
    assert not fleet.servers['orders'].runs  # type: ignore[index]
    results: list[Any] = []
    order(second, fleet, 'key', results)
    fleet.time.run_until(fleet.time.now_ms() + 10_000.0)
    assert [end.kind for end in results] == [OnceResultKind.ANSWERED]
    assert list(fleet.servers['orders'].runs.values()) == [1]  # type: ignore[index]


def test_out_of_order_changes_wait_for_their_predecessors() -> None:
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
