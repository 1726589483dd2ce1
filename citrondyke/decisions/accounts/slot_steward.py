"""The steward of one slot in one lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.accounts.account_quota import ADVANCE_RATE_FACTOR, AccountQuota
from citrondyke.decisions.accounts.advance_grant_records import AdvanceGrantRecords
from citrondyke.decisions.accounts.bucket import TokenBucket
from citrondyke.decisions.accounts.limit_messages import (
    Addressed,
    FloorsTold,
    UseAnswered,
    UseNeed,
    UseOutcome,
)
from citrondyke.decisions.accounts.overshoot_budget import ADVANCE_GRANT_MS
from citrondyke.decisions.accounts.quota_floors import FLOOR_SHARE, QuotaFloors, default_floor
from citrondyke.decisions.accounts.steward_count import StewardCount

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.advance_grant_records import (
        AdvanceGrantRow,
        AdvanceGrantStoreCall,
    )
    from citrondyke.decisions.accounts.local_rejection_cache import LocalRejectionCache
    from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget
    from citrondyke.decisions.accounts.slot_lease import SlotLease
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.reservations.reservations import ReservationCounts
    from citrondyke.ids import InstanceId, TenantId

__all__ = ('SlotSteward',)

#: Part of the rate that goes to callers who were told a time. Each of them takes the place of one
#: who could be served at once, so that more of them would serve fewer callers within their target.
RESERVED_SHARE = 0.1
#: A caller may come so much before its time: times are told in whole milliseconds.
EARLY_TOLERANCE_MS = 20.0
#: Part of the time left that callers wait at the most before they come back.
MAX_WAIT_SHARE = 1 / 3
#: Places are told with so much of that to spare: the way to the caller and back.
ROUND_TRIP_SLACK_MS = 50.0
#: What callers are told at the most; beyond seconds it is no use to them.
MAX_RETRY_MS = 5_000.0
#: Until the store has said which accounts had uses ahead of time; later it is taken for silent.
ADVANCE_GRANT_READ_TIMEOUT_MS = 80.0
#: Until keepers have acknowledged that an account may fall further.
FLOOR_ACK_TIMEOUT_MS = 50.0
#: Below this part of its depth an account is expected to use all of it up.
DEMAND_SHARE = 0.25
#: Places told to an instance with a refusal, so that it lets their callers ask.
EXPECTED_WORKS_LIMIT = 100


class _EarliestStart(msgspec.Struct, frozen=True):
    at_ms: float
    #: Whether keepers allow it.
    is_within_floor: bool


class SlotSteward:
    """Decides about the accounts of a slot while its lease holds.

    Answers one account that asks for many times its limit: it gets what its window allows, whoever
    is over it waits for a place that comes in time or is told when to come back, and all others
    are refused at once.
    """

    def __init__(
        self,
        context: Context,
        budget: OvershootBudget,
        lease: SlotLease,
        slot: int,
        refusals: LocalRejectionCache,
        find: Callable[[TenantId], Account | None],
    ) -> None:
        """Begin a lease that is held.

        :param find: finds an account in the configuration in force.
        """
        self._find_account = find
        self._context = context
        self._budget = budget
        self._lease = lease
        self._slot = slot
        self._local_rejections = refusals
        #: Since when nobody else has counted, which names the lease here.
        self.since_ms = lease.held_since_ms
        self._previous_copy = lease.previous_copy
        #: Whether the marks of the lease before are known, and who had one.
        self._are_prior_grants_known = False
        self._prior_grant_accounts: frozenset[TenantId] = frozenset()
        self._quotas: dict[TenantId, AccountQuota] = {}
        era = context.random.getrandbits(32)
        filled_ms = -ADVANCE_GRANT_MS
        if self._previous_copy is not None:
            # The copy is as of now; the lease may have begun to count before.
            # From here on keepers are told of floors below the levels that it gives.
            self.since_ms, filled_ms = self._now_ms(), min(0.0, self._previous_copy.filled_ms)
        self.held_since_ms = lease.held_since_ms
        self._began_ms = self._now_ms()
        self._floors = QuotaFloors(era, lease.replica_set_id(), filled_ms, self.since_ms)
        self._advance_grants = AdvanceGrantRecords(slot, era)
        self._published_number = -1
        if self._previous_copy is not None:
            for account_id, floor in self._previous_copy.floors.items():
                account = find(account_id)
                spare = 0.0 if account is None else FLOOR_SHARE * self._bucket_depth(account)
                self._floors.begin_at(account_id, floor - spare)
        lease.record_own_copy(self._floors.snapshot(self._now_ms()))

    def answer(
        self,
        asker: InstanceId,
        number: int,
        account: Account,
        need: UseNeed,
        refused: tuple[int, ...] = (),
    ) -> UseAnswered:
        """Decide about one use.

        :param refused: work of the account that the asker has refused alone.
        """
        now_ms = self._now_ms()
        uses = self._quota_of(account)
        uses.reservations.expire(now_ms)
        uses.rejected_work.record(refused, now_ms)
        place_ms = uses.reservations.due_ms_of(need.work)
        if place_ms is None and uses.rejected_work.should_reject_retry(need.work, now_ms):
            uses.record_rejected(now_ms)
            return self._reject_with_pause(asker, number, account, need, now_ms)
        free = self._earliest_start(account, uses, now_ms, is_reserved=place_ms is not None)
        start_ms = free.at_ms
        if place_ms is not None:
            start_ms = max(start_ms, place_ms - EARLY_TOLERANCE_MS)
        wait_ms = max(0.0, start_ms - now_ms)
        is_in_time = wait_ms <= need.may_wait_ms and start_ms <= self._lease.held_until_ms
        if free.is_within_floor and (wait_ms <= 0.0 or is_in_time):
            if place_ms is not None:
                uses.reservations.consume(need.work)
            uses.consume(account, start_ms, now_ms)
            self._adjust_floor(account, uses, now_ms)
            return UseAnswered(number, UseOutcome.GRANTED, is_steward=True, start_in_ms=wait_ms)
        self._adjust_floor(account, uses, now_ms)
        uses.record_rejected(now_ms)
        if (
            self._previous_copy is None
            and not self._are_prior_grants_known
            and now_ms < self._began_ms + ADVANCE_GRANT_READ_TIMEOUT_MS
        ):
            return self._rejection(
                number, now_ms + ADVANCE_GRANT_READ_TIMEOUT_MS, now_ms, is_kept=False
            )
        if place_ms is not None:
            return self._rejection(number, max(start_ms, place_ms), now_ms, is_kept=True)
        return self._grant_reservation(asker, number, account, need, start_ms)

    def count(self, account: TenantId) -> StewardCount:
        """Give what was counted of an account."""
        uses = self._quotas.get(account)
        if uses is None:
            return StewardCount(0, 0)
        now_ms = self._now_ms()
        uses.reservations.expire(now_ms)
        counts = uses.reservations.counts
        return StewardCount(
            uses.window_uses_count(now_ms),
            uses.rejected_count(now_ms),
            len(uses.reservations),
            counts.taken,
            counts.lapsed,
        )

    def reservation_counts(self) -> list[ReservationCounts]:
        """Give what became of places, by account."""
        now_ms = self._now_ms()
        for uses in self._quotas.values():
            uses.reservations.expire(now_ms)
        return [uses.reservations.counts for uses in self._quotas.values()]

    def pending_floor_messages(self) -> list[Addressed]:
        """Give what keepers are to be told now: a change at once, anything unheard by the tick."""
        if self._floors.number == self._published_number:
            return []
        return self.tick()

    def tick(self) -> list[Addressed]:
        """Tell the floors to each keeper that has not acknowledged them."""
        self._published_number = self._floors.number
        copy = self._floors.snapshot(self._now_ms())
        self._lease.record_own_copy(copy)
        return [
            Addressed(replica, FloorsTold(self._slot, copy))
            for replica in self._lease.other_replicas()
            if not self._floors.is_acknowledged_by(replica)
        ]

    def record_acknowledged(self, replica: InstanceId, era: int, number: int) -> None:
        """Take in that a keeper knows the floors."""
        self._floors.record_acknowledged(replica, era, number)

    def next_store_call(self) -> AdvanceGrantStoreCall | None:
        """Give what the store is to be asked."""
        now_ms = self._now_ms()
        for account_id in self._advance_grants.accounts:
            account = self._find_account(account_id)
            if account is not None and self._quota_of(account).remaining(account, now_ms) < 0.0:
                self._advance_grants.request_record(account_id, now_ms)
        return self._advance_grants.next_store_call(now_ms)

    def apply_row(self, call: AdvanceGrantStoreCall, row: AdvanceGrantRow | None) -> None:
        """Take in what the store answered."""
        if not self._advance_grants.is_call_of(call):
            return
        is_first = (
            row is not None and not self._are_prior_grants_known and self._previous_copy is None
        )
        self._advance_grants.apply_row(row, self._now_ms())
        if not is_first or row is None:
            return
        # Read after everybody else's lease had ended: who has no mark had nothing ahead of time.
        self._are_prior_grants_known = True
        self._floors.add_filled_ms(ADVANCE_GRANT_MS)
        self._prior_grant_accounts = row.accounts
        for account, uses in self._quotas.items():
            if account not in row.accounts:
                found = self._find_account(account)
                uses.add_remaining(0.0 if found is None else _advance_grant_uses(found))
        for account in row.accounts:
            found = self._find_account(account)
            if found is not None:
                self._floors.lower(account, -_advance_grant_uses(found))

    def _earliest_start(
        self, account: Account, uses: AccountQuota, now_ms: float, *, is_reserved: bool
    ) -> _EarliestStart:
        may_advance = self._advance_grants.is_recorded(account.id)
        at_ms = uses.free_at_ms(account, now_ms, may_advance=may_advance, is_reserved=is_reserved)
        lowest = self._floors.floor_of(account, uses.max_depth, now_ms)
        if uses.remaining(account, now_ms) - 1.0 < lowest:
            return _EarliestStart(max(at_ms, now_ms + FLOOR_ACK_TIMEOUT_MS), False)
        return _EarliestStart(at_ms, True)

    def _adjust_floor(self, account: Account, uses: AccountQuota, now_ms: float) -> None:
        level = uses.remaining(account, now_ms)
        if level < DEMAND_SHARE * uses.max_depth and uses.has_counted_full_window(now_ms):
            self._advance_grants.request_record(account.id, now_ms)
        self._floors.adjust(account, uses.max_depth, level, now_ms)

    def _grant_reservation(
        self, asker: InstanceId, number: int, account: Account, need: UseNeed, start_ms: float
    ) -> UseAnswered:
        now_ms = self._now_ms()
        uses = self._quota_of(account)
        reservations = uses.reservations
        earliest_ms = max(start_ms, uses.local_rejection_until_ms)
        due_ms = reservations.next_due_ms(earliest_ms, 1e3 / (RESERVED_SHARE * account.rate_per_s))
        is_reached = due_ms - now_ms <= need.left_ms * MAX_WAIT_SHARE - ROUND_TRIP_SLACK_MS
        if need.work and is_reached and reservations.reserve(need.work, due_ms):
            return self._rejection(number, due_ms, now_ms, is_kept=True)
        uses.rejected_work.record((need.work,), now_ms)
        uses.rejected_work.record_overload(now_ms)
        return self._reject_with_pause(asker, number, account, need, due_ms)

    def _reject_with_pause(
        self, asker: InstanceId, number: int, account: Account, need: UseNeed, due_ms: float
    ) -> UseAnswered:
        """Refuse a request for which nothing is kept, and spare the asker the next questions."""
        now_ms = self._now_ms()
        uses = self._quota_of(account)
        uses_per_s = account.rate_per_s * (
            ADVANCE_RATE_FACTOR if self._advance_grants.is_recorded(account.id) else 1.0
        )
        pause_ms = self._local_rejections.pause_ms(account, asker, uses_per_s)
        expected = uses.reservations.keys_due_by(now_ms + pause_ms + EARLY_TOLERANCE_MS)
        if len(expected) > EXPECTED_WORKS_LIMIT:
            pause_ms, expected = 0.0, []
        uses.local_rejection_until_ms = max(uses.local_rejection_until_ms, now_ms + pause_ms)
        # Nothing is kept, so the time that is told lies past the caller's deadline.
        at_ms = max(due_ms, now_ms + need.left_ms)
        refused = self._rejection(number, at_ms, now_ms, is_kept=False)
        return msgspec.structs.replace(refused, pause_ms=pause_ms, expected=tuple(expected))

    @staticmethod
    def _rejection(number: int, at_ms: float, now_ms: float, *, is_kept: bool) -> UseAnswered:
        retry_in_ms = min(MAX_RETRY_MS, at_ms - now_ms)
        return UseAnswered(
            number, UseOutcome.REFUSED, retry_in_ms, is_steward=True, is_kept=is_kept
        )

    def _quota_of(self, account: Account) -> AccountQuota:
        uses = self._quotas.get(account.id)
        if uses is None:
            bucket = TokenBucket(self.since_ms, self._initial_remaining(account))
            uses = AccountQuota(self._budget, bucket, self.since_ms)
            uses.remaining(account, self._now_ms())
            self._quotas[account.id] = uses
        return uses

    def _initial_remaining(self, account: Account) -> float:
        if self._previous_copy is None:
            is_free = self._are_prior_grants_known and account.id not in self._prior_grant_accounts
            return 0.0 if is_free else -_advance_grant_uses(account)
        depth = self._bucket_depth(account)
        usual = default_floor(account, depth, self._previous_copy.filled_ms)
        return min(depth, self._previous_copy.floors.get(account.id, usual))

    def _bucket_depth(self, account: Account) -> float:
        return self._budget.depth(account.rate_per_s, account.burst)

    def _now_ms(self) -> float:
        return self._context.clock.fence_ms()


def _advance_grant_uses(account: Account) -> float:
    return account.rate_per_s * ADVANCE_GRANT_MS / 1e3
