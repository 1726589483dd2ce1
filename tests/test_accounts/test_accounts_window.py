"""What the window allows is given, also when a steward ends; nobody gets it twice."""

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
USUAL_PER_S = 54.0 / 1.6
PROMISED = 54.0 * 5 + 54.0


def world(seed: int = 1, size: int = 10) -> LimitWorld:
    """A fleet in which an account has asked for its usual until its window is known."""
    made = LimitWorld(StewardRateLimiter, size, [LARGE], seed)
    made.run(1_000.0)
    made.load(LARGE.id, USUAL_PER_S / 2, 8_000.0)
    made.run(8_000.0)
    return made


def steward(made: LimitWorld) -> Node:
    return next(node for node in alive(made) if limits_of(node).is_steward_of(LARGE.id))


def alive(made: LimitWorld) -> list[Node]:
    return [node for node in made.nodes.values() if not node.is_dead]


def limits_of(node: Node) -> StewardRateLimiter:
    assert isinstance(node.limits, StewardRateLimiter)
    return node.limits


def used(made: LimitWorld, from_ms: float, until_ms: float) -> int:
    return sum(from_ms < at <= until_ms for at in made.uses_ms[LARGE.id])


@pytest.mark.parametrize('seed', range(3))
def test_flood_gets_what_the_window_has_left_within_seconds(seed: int) -> None:
    # A program sends nine times the usual. By a bucket its burst came through at once and then its
    # rate, so that a fourth of the window was still empty when it was over.
    made = world(seed)
    made.may_wait_ms = 120.0
    began_ms = made.now_ms
    made.load(LARGE.id, 9 * USUAL_PER_S, 6_000.0)
    made.run(4_000.0)
    assert used(made, made.now_ms - 5_000.0, made.now_ms) >= 0.95 * PROMISED
    made.run(9_000.0)
    assert made.largest_window(LARGE.id) <= allowed_in_window(LARGE)
    assert used(made, began_ms, made.now_ms) > 0


def test_nothing_ahead_of_time_while_the_store_is_silent() -> None:
    # After a loss of all instances nobody would know of it.
    made = world()
    made.is_store_unresponsive = True
    before_ms = made.now_ms
    made.load(LARGE.id, 9 * USUAL_PER_S, 2_000.0)
    made.run(2_000.0)
    depth = 54 * 1.1 + 0.3 * (20 + 27)
    assert used(made, before_ms, made.now_ms) <= depth + 54 * 2 + 54 * 0.25


@pytest.mark.parametrize('seed', range(4))
def test_follower_of_a_steward_does_not_start_at_nothing(seed: int) -> None:
    # The instance that counts loses power. The account has asked for little, and asks for its
    # burst as soon as another one counts: its keepers know that it has it.
    made = world(seed)
    made.kill(steward(made).id, 20_000.0)
    while not any(limits_of(node).is_steward_of(LARGE.id) for node in alive(made)):
        made.run(20.0)
    made.verdicts.clear()
    for _ in range(30):
        made.call(LARGE.id)
    made.run(50.0)
    assert made.verdicts[LARGE.id, VerdictKind.WITHIN] == 30


@pytest.mark.parametrize('seed', range(8))
def test_loss_of_all_with_the_window_full_passes_no_limit(seed: int) -> None:
    # A flood has had all of its window ahead of time when all lose power; the store answers, or
    # does not.
    made = world(seed)
    made.load(LARGE.id, 9 * USUAL_PER_S, 12_000.0)
    made.run(1_500.0)
    made.is_store_unresponsive = seed % 2 == 0
    for name in list(made.nodes):
        made.kill(name, made.random.uniform(100, 500))
    made.run(10_000.0)
    assert made.largest_window(LARGE.id) <= allowed_in_window(LARGE)


def test_loss_of_two_keepers_of_three_passes_no_limit() -> None:
    made = world()
    slot = slot_of(LARGE.id)
    replicas = limits_of(steward(made))._placement.replicas(slot)
    made.load(LARGE.id, 9 * USUAL_PER_S, 12_000.0)
    made.run(1_500.0)
    for name in replicas[:2]:
        made.kill(name, 200.0)
    made.run(10_000.0)
    assert made.largest_window(LARGE.id) <= allowed_in_window(LARGE)


def test_steward_that_its_keepers_do_not_hear_stays_above_the_floor() -> None:
    # Keepers give their word for the lease but miss what they are told of levels. Who followed
    # would start at the old floor, so nobody may have fallen below it.
    made = world()
    made.loses_floors = set(made.nodes)
    before_ms = made.now_ms
    made.load(LARGE.id, 9 * USUAL_PER_S, 1_000.0)
    made.run(1_000.0)
    depth = 54 * 1.1 + 0.3 * (20 + 27)
    assert used(made, before_ms, made.now_ms) <= depth / 2 + 54 + 1


@pytest.mark.parametrize('seed', range(3))
def test_follower_gives_nothing_ahead_of_time_in_its_first_window(seed: int) -> None:
    # It does not know the uses of the window that the steward before it has counted: the window
    # is full, while the level has begun to rise.
    made = world(seed)
    made.may_wait_ms = 120.0
    made.load(LARGE.id, 9 * USUAL_PER_S, 9_000.0)
    made.run(3_800.0)
    made.kill(steward(made).id, 20_000.0)
    made.run(1_500.0)
    follower = steward(made)
    before_ms = made.now_ms
    made.run(1_000.0)
    assert limits_of(follower).is_steward_of(LARGE.id)
    assert used(made, before_ms, made.now_ms) <= 54 + 1


@pytest.mark.parametrize('seed', range(3))
def test_copy_of_one_keeper_alone_is_not_used(seed: int) -> None:
    # Steward and one keeper lose power and come back knowing nothing; in between the two may have
    # been the steward and its witness, of which the third, cut off meanwhile, has heard nothing.
    made = world(seed)
    slot = slot_of(LARGE.id)
    first, second, third = limits_of(steward(made))._placement.replicas(slot)
    made.cut_links = {frozenset((third, each)) for each in made.nodes if each != third}
    made.kill(first, 50.0)
    made.kill(second, 50.0)
    made.load(LARGE.id, 9 * USUAL_PER_S, 9_000.0)
    made.run(1_500.0)
    made.kill(first, 9_000.0)
    made.kill(second, 50.0)
    made.cut_links = set()
    made.run(7_000.0)
    follower = limits_of(steward(made))._slot_stewards[slot]
    assert follower._previous_copy is None
    assert made.largest_window(LARGE.id) <= PROMISED * 1.1


class Asking:
    """Questions to the steward itself, one by one."""

    def __init__(self) -> None:
        self.made = world()
        # Every wait would end in a place, were its store silent or not.
        self.made.is_store_unresponsive = True
        self.node = steward(self.made)
        self.slot = limits_of(self.node)._slot_stewards[slot_of(LARGE.id)]

    def ask(
        self, work: int, account: Account = LARGE, left_ms: float = 5_000.0, wait_ms: float = 0.0
    ) -> msgspec.Struct:
        return self.slot.answer(InstanceId('asker'), 1, account, UseNeed(work, left_ms, wait_ms))

    def use_up(self) -> None:
        work = 10_000
        while self.ask(work, left_ms=0.0).outcome is UseOutcome.GRANTED:  # type: ignore[attr-defined]
            work += 1
            self.made._send(self.node, self.slot.pending_floor_messages())
            self.made.run(6.0)


@pytest.fixture
def asking() -> Asking:
    """An account that has used up what it had."""
    made = Asking()
    made.use_up()
    return made


def test_place_within_the_target_is_granted_for_then(asking: Asking) -> None:
    starts = [asking.ask(0, wait_ms=200.0) for _ in range(3)]
    assert all(each.outcome is UseOutcome.GRANTED for each in starts)  # type: ignore[attr-defined]
    waits = [each.start_in_ms for each in starts]  # type: ignore[attr-defined]
    assert all(wait <= 200.0 for wait in waits)
    assert waits[-1] > 0


def test_place_is_kept_for_its_caller_and_serves_once(asking: Asking) -> None:
    told = asking.ask(7)
    assert told.is_kept and told.retry_in_ms > 0  # type: ignore[attr-defined]
    asking.made.run(told.retry_in_ms)  # type: ignore[attr-defined]
    assert asking.ask(7).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]
    again = asking.ask(7)
    assert again.outcome is UseOutcome.REFUSED  # type: ignore[attr-defined]
    count = asking.slot.count(LARGE.id)
    assert count.places_taken == 1


def test_place_of_another_account_or_nobody_serves_nobody(asking: Asking) -> None:
    told = asking.ask(7)
    other = Account(id=TenantId('large-2'), rate_per_s=0.001, burst=0.0)
    asking.made.run(told.retry_in_ms)  # type: ignore[attr-defined]
    assert asking.ask(8).outcome is UseOutcome.REFUSED  # type: ignore[attr-defined]
    asking.slot._quota_of(other).add_remaining(-1e3)
    assert asking.ask(7, other).outcome is UseOutcome.REFUSED  # type: ignore[attr-defined]
    assert asking.ask(7).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]


def test_place_that_is_not_taken_goes_to_the_next(asking: Asking) -> None:
    told = asking.ask(7)
    asking.made.run(told.retry_in_ms + 500.0)  # type: ignore[attr-defined]
    assert asking.ask(8).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]
    assert asking.slot.count(LARGE.id).places_lapsed == 1


def test_place_out_of_reach_is_no_offer(asking: Asking) -> None:
    answers = [asking.ask(100 + number) for number in range(80)]
    kept = [each for each in answers if each.is_kept]  # type: ignore[attr-defined]
    rest = [each for each in answers if not each.is_kept]  # type: ignore[attr-defined]
    assert kept and rest
    assert all(each.retry_in_ms <= 5_000.0 / 3 for each in kept)  # type: ignore[attr-defined]
    assert all(each.retry_in_ms > 5_000.0 / 3 - 60 for each in rest)  # type: ignore[attr-defined]
    assert not asking.ask(6, left_ms=20.0).is_kept  # type: ignore[attr-defined]


def test_who_comes_back_without_a_place_gives_way_while_new_work_is_refused(
    asking: Asking,
) -> None:
    # In a flood each caller comes twice, and is late the second time.
    refused = [100 + number for number in range(80)]
    late = [work for work in refused if not asking.ask(work).is_kept]  # type: ignore[attr-defined]
    asking.made.run(250.0)
    assert asking.ask(late[0]).outcome is UseOutcome.REFUSED  # type: ignore[attr-defined]
    assert asking.ask(1).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]
    asking.made.run(400.0)
    assert asking.ask(late[0]).outcome is UseOutcome.GRANTED  # type: ignore[attr-defined]


def test_lowered_limit_holds_for_places_that_are_out(asking: Asking) -> None:
    for number in range(20):
        asking.ask(100 + number)
    lowered = msgspec.structs.replace(LARGE, rate_per_s=1.0, burst=1.0)
    asking.node.accounts[LARGE.id] = lowered
    before = asking.slot.count(LARGE.id).uses
    asking.made.run(1_000.0)
    granted = [asking.ask(100 + number, lowered) for number in range(20)]
    assert sum(each.outcome is UseOutcome.GRANTED for each in granted) <= 2  # type: ignore[attr-defined]
    assert asking.slot.count(LARGE.id).uses <= before + 2


def test_lowered_limit_is_given_within_seconds_after_uses_ahead_of_time() -> None:
    # A tenth of the limit must not be owed for what the account had at ten times of it.
    made = world()
    made.may_wait_ms = 120.0
    made.load(LARGE.id, 9 * USUAL_PER_S, 20_000.0)
    made.run(3_000.0)
    made.change(msgspec.structs.replace(LARGE, rate_per_s=5.4, burst=5.4))
    made.run(10_000.0)
    assert used(made, made.now_ms - 5_000.0, made.now_ms) >= 0.9 * 5.4 * 5


def test_nine_of_ten_that_were_told_a_time_are_served_then() -> None:
    # For four seconds an account asks for ten times its usual, at instances of which most refuse
    # without asking; who was refused comes back once, anywhere, with a third of its time.
    made = LimitWorld(StewardRateLimiter, 20, [LARGE], 5)
    made.run(1_000.0)
    made.left_ms, made.may_wait_ms = 5_000.0, 180.0
    made.load(LARGE.id, USUAL_PER_S, 14_000.0)
    made.run(6_000.0)
    made.load(LARGE.id, 9 * USUAL_PER_S, 4_000.0)
    made.run(8_000.0)
    told = made.reserved_outcomes['served'] + made.reserved_outcomes['refused']
    assert told >= 30
    assert made.reserved_outcomes['served'] >= 0.9 * told
    assert made.largest_window(LARGE.id) <= allowed_in_window(LARGE)
