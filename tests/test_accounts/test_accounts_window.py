"""Accounts get the uses of their window, also after a steward crash, but never twice."""

from __future__ import annotations

import msgspec
import pytest

from citrondyke.decisions.accounts.account import Account
from citrondyke.decisions.accounts.fleet_rate_limiter import VerdictKind
from citrondyke.decisions.accounts.limit_messages import UseNeed, UseOutcome
from citrondyke.decisions.accounts.slot_placement import slot_of
from citrondyke.decisions.accounts.steward_rate_limiter import StewardRateLimiter
from citrondyke.ids import InstanceId, TenantId
from tests.support.limit_world import LimitWorld, Node, allowed_in_window

LARGE = Account(id=TenantId('large'), rate_per_s=54.0, burst=54.0)
NORMAL_PER_S = 54.0 / 1.6
WINDOW_USES = 54.0 * 5 + 54.0


def world(seed: int = 1, size: int = 10) -> LimitWorld:
    """Return a fleet in which the steward has counted a full window of light traffic."""
    fleet = LimitWorld(StewardRateLimiter, size, [LARGE], seed)
    fleet.run(1_000.0)
    fleet.load(LARGE.id, NORMAL_PER_S / 2, 8_000.0)
    fleet.run(8_000.0)
    return fleet


def steward(fleet: LimitWorld) -> Node:
    return next(node for node in alive(fleet) if limits_of(node).is_steward_of(LARGE.id))


def alive(fleet: LimitWorld) -> list[Node]:
    return [node for node in fleet.nodes.values() if not node.is_dead]


def limits_of(node: Node) -> StewardRateLimiter:
    assert isinstance(node.limits, StewardRateLimiter)
    return node.limits


def used(fleet: LimitWorld, from_ms: float, until_ms: float) -> int:
    return sum(from_ms < at <= until_ms for at in fleet.uses_ms[LARGE.id])


@pytest.mark.parametrize('seed', range(3))
def test_burst_gets_the_rest_of_the_window_within_seconds(seed: int) -> None:
    # An account sends nine times its normal traffic. A plain token bucket would grant the burst at
    # once and then the rate, and leave a quarter of the window unused at its end.
    fleet = world(seed)
    fleet.may_wait_ms = 120.0
    began_ms = fleet.now_ms
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 6_000.0)
    fleet.run(4_000.0)
    assert used(fleet, fleet.now_ms - 5_000.0, fleet.now_ms) >= 0.95 * WINDOW_USES
    fleet.run(9_000.0)
    assert fleet.largest_window(LARGE.id) <= allowed_in_window(LARGE)
    assert used(fleet, began_ms, fleet.now_ms) > 0


def test_no_advance_grants_while_the_store_is_unresponsive() -> None:
    # After a crash of all instances the advance grants would be unknown.
    fleet = world()
    fleet.is_store_unresponsive = True
    before_ms = fleet.now_ms
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 2_000.0)
    fleet.run(2_000.0)
    depth = 54 * 1.1 + 0.3 * (20 + 27)
    assert used(fleet, before_ms, fleet.now_ms) <= depth + 54 * 2 + 54 * 0.25


@pytest.mark.parametrize('seed', range(4))
def test_successor_of_a_steward_knows_the_remaining_quota(seed: int) -> None:
    # The steward crashes. The account has sent little, and sends a burst as soon as there is a new
    # steward, which knows from the replicas that the quota isn't used up.
    fleet = world(seed)
    fleet.kill(steward(fleet).id, 20_000.0)
    while not any(limits_of(node).is_steward_of(LARGE.id) for node in alive(fleet)):
        fleet.run(20.0)
    fleet.verdicts.clear()
    for _ in range(30):
        fleet.call(LARGE.id)
    fleet.run(50.0)
    assert fleet.verdicts[LARGE.id, VerdictKind.WITHIN] == 30


@pytest.mark.parametrize('seed', range(8))
def test_crash_of_all_with_a_full_window_exceeds_no_limit(seed: int) -> None:
    # All instances crash after an account has used up its window with advance grants; the store
    # responds or is unresponsive.
    fleet = world(seed)
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 12_000.0)
    fleet.run(1_500.0)
    fleet.is_store_unresponsive = seed % 2 == 0
    for name in list(fleet.nodes):
        fleet.kill(name, fleet.random.uniform(100, 500))
    fleet.run(10_000.0)
    assert fleet.largest_window(LARGE.id) <= allowed_in_window(LARGE)


def test_crash_of_two_of_three_replicas_exceeds_no_limit() -> None:
    fleet = world()
    slot = slot_of(LARGE.id)
    replicas = limits_of(steward(fleet))._placement.replicas(slot)
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 12_000.0)
    fleet.run(1_500.0)
    for name in replicas[:2]:
        fleet.kill(name, 200.0)
    fleet.run(10_000.0)
    assert fleet.largest_window(LARGE.id) <= allowed_in_window(LARGE)


def test_steward_without_acknowledgements_stays_above_the_floor() -> None:
    # Replicas vote for the lease but lose the floor messages. A successor would start at the old
    # floor, so no account may fall below it.
    fleet = world()
    fleet.loses_floors = set(fleet.nodes)
    before_ms = fleet.now_ms
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 1_000.0)
    fleet.run(1_000.0)
    depth = 54 * 1.1 + 0.3 * (20 + 27)
    assert used(fleet, before_ms, fleet.now_ms) <= depth / 2 + 54 + 1


@pytest.mark.parametrize('seed', range(3))
def test_successor_makes_no_advance_grants_in_its_first_window(seed: int) -> None:
    # The successor doesn't know the uses that the previous steward has counted: the window is full,
    # although the remaining quota has begun to rise.
    fleet = world(seed)
    fleet.may_wait_ms = 120.0
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 9_000.0)
    fleet.run(3_800.0)
    fleet.kill(steward(fleet).id, 20_000.0)
    fleet.run(1_500.0)
    follower = steward(fleet)
    before_ms = fleet.now_ms
    fleet.run(1_000.0)
    assert limits_of(follower).is_steward_of(LARGE.id)
    assert used(fleet, before_ms, fleet.now_ms) <= 54 + 1


@pytest.mark.parametrize('seed', range(3))
def test_copy_of_a_single_replica_is_not_used(seed: int) -> None:
    # The steward and one replica crash and restart without state. In between they may have been a
    # steward and its voter, which the third replica, partitioned meanwhile, doesn't know.
    fleet = world(seed)
    slot = slot_of(LARGE.id)
    first, second, third = limits_of(steward(fleet))._placement.replicas(slot)
    fleet.cut_links = {frozenset((third, each)) for each in fleet.nodes if each != third}
    fleet.kill(first, 50.0)
    fleet.kill(second, 50.0)
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 9_000.0)
    fleet.run(1_500.0)
    fleet.kill(first, 9_000.0)
    fleet.kill(second, 50.0)
    fleet.cut_links = set()
    fleet.run(7_000.0)
    follower = limits_of(steward(fleet))._slot_stewards[slot]
    assert follower._previous_copy is None
    assert fleet.largest_window(LARGE.id) <= WINDOW_USES * 1.1


class StewardClient:
    """Sends queries directly to the steward, one at a time."""

    def __init__(self) -> None:
        self.fleet = world()
        # Without the store there are no advance grants, so only the rate refills the quota.
        self.fleet.is_store_unresponsive = True
        self.node = steward(self.fleet)
        self.slot = limits_of(self.node)._slot_stewards[slot_of(LARGE.id)]

    def query(
        self, work: int, account: Account = LARGE, left_ms: float = 5_000.0, wait_ms: float = 0.0
    ) -> msgspec.Struct:
        return self.slot.answer(InstanceId('asker'), 1, account, UseNeed(work, left_ms, wait_ms))

    def use_up(self) -> None:
        work = 10_000
        while self.query(work, left_ms=0.0).outcome is UseOutcome.GRANTED:  # type: ignore[attr-defined]
            work += 1
            self.fleet._send(self.node, self.slot.pending_floor_messages())
            self.fleet.run(6.0)


@pytest.fixture
def client() -> StewardClient:
    """Return a client of an account whose quota is used up."""
    created = StewardClient()
    created.use_up()
    return created


def test_use_within_the_target_is_granted_for_its_start(client: StewardClient) -> None:
    starts = [client.query(0, wait_ms=200.0) for _ in range(3)]
    assert all(each.outcome is UseOutcome.GRANTED for each in starts)  # type: ignore[attr-defined]
    waits = [each.start_in_ms for each in starts]  # type: ignore[attr-defined]
    assert all(wait <= 200.0 for wait in waits)
    assert waits[-1] > 0


def test_reservation_serves_its_caller_once(client: StewardClient) -> None:
    rejection = client.query(7)
    assert rejection.is_kept and rejection.retry_in_ms > 0  # type: ignore[attr-defined]
    client.fleet.run(rejection.retry_in_ms)  # type: ignore[attr-defined]
    assert client.query(7).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]
    again = client.query(7)
    assert again.outcome is UseOutcome.REFUSED  # type: ignore[attr-defined]
    count = client.slot.count(LARGE.id)
    assert count.places_taken == 1


def test_reservation_serves_no_other_work_or_account(client: StewardClient) -> None:
    rejection = client.query(7)
    other = Account(id=TenantId('large-2'), rate_per_s=0.001, burst=0.0)
    client.fleet.run(rejection.retry_in_ms)  # type: ignore[attr-defined]
    assert client.query(8).outcome is UseOutcome.REFUSED  # type: ignore[attr-defined]
    client.slot._quota_of(other).credit(-1e3)
    assert client.query(7, other).outcome is UseOutcome.REFUSED  # type: ignore[attr-defined]
    assert client.query(7).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]


def test_unused_reservation_goes_to_the_next_request(client: StewardClient) -> None:
    rejection = client.query(7)
    client.fleet.run(rejection.retry_in_ms + 500.0)  # type: ignore[attr-defined]
    assert client.query(8).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]
    assert client.slot.count(LARGE.id).places_lapsed == 1


def test_no_reservation_is_made_out_of_reach(client: StewardClient) -> None:
    answers = [client.query(100 + number) for number in range(80)]
    kept = [each for each in answers if each.is_kept]  # type: ignore[attr-defined]
    rest = [each for each in answers if not each.is_kept]  # type: ignore[attr-defined]
    assert kept and rest
    assert all(each.retry_in_ms <= 5_000.0 / 3 for each in kept)  # type: ignore[attr-defined]
    assert all(each.retry_in_ms > 5_000.0 / 3 - 60 for each in rest)  # type: ignore[attr-defined]
    assert not client.query(6, left_ms=20.0).is_kept  # type: ignore[attr-defined]


def test_retry_without_reservation_yields_while_new_work_is_rejected(
    client: StewardClient,
) -> None:
    # In a burst each rejected caller retries, and has missed its target by then.
    rejected_work_ids = [100 + number for number in range(80)]
    late = [work for work in rejected_work_ids if not client.query(work).is_kept]  # type: ignore[attr-defined]
    client.fleet.run(250.0)
    assert client.query(late[0]).outcome is UseOutcome.REFUSED  # type: ignore[attr-defined]
    assert client.query(1).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]
    client.fleet.run(400.0)
    assert client.query(late[0]).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]


def test_lowered_limit_holds_for_existing_reservations(client: StewardClient) -> None:
    for number in range(20):
        client.query(100 + number)
    lowered = msgspec.structs.replace(LARGE, rate_per_s=1.0, burst=1.0)
    client.node.accounts[LARGE.id] = lowered
    before = client.slot.count(LARGE.id).uses
    client.fleet.run(1_000.0)
    granted = [client.query(100 + number, lowered) for number in range(20)]
    assert sum(each.outcome is UseOutcome.GRANTED for each in granted) <= 2  # type: ignore[attr-defined]
    assert client.slot.count(LARGE.id).uses <= before + 2


def test_lowered_limit_is_granted_within_seconds_after_advance_grants() -> None:
    # The limit is lowered to a tenth. The debt from the old limit must not block the account.
    fleet = world()
    fleet.may_wait_ms = 120.0
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 20_000.0)
    fleet.run(3_000.0)
    fleet.change(msgspec.structs.replace(LARGE, rate_per_s=5.4, burst=5.4))
    fleet.run(10_000.0)
    assert used(fleet, fleet.now_ms - 5_000.0, fleet.now_ms) >= 0.9 * 5.4 * 5


def test_nine_of_ten_reservations_are_served() -> None:
    # For four seconds an account sends ten times its normal traffic, and most instances reject
    # locally. Rejected callers retry once, at any instance, after a third of their time at most.
    fleet = LimitWorld(StewardRateLimiter, 20, [LARGE], 5)
    fleet.run(1_000.0)
    fleet.left_ms, fleet.may_wait_ms = 5_000.0, 180.0
    fleet.load(LARGE.id, NORMAL_PER_S, 14_000.0)
    fleet.run(6_000.0)
    fleet.load(LARGE.id, 9 * NORMAL_PER_S, 4_000.0)
    fleet.run(8_000.0)
    reserved_count = fleet.reserved_outcomes['served'] + fleet.reserved_outcomes['refused']
    assert reserved_count >= 30
    assert fleet.reserved_outcomes['served'] >= 0.9 * reserved_count
    assert fleet.largest_window(LARGE.id) <= allowed_in_window(LARGE)
