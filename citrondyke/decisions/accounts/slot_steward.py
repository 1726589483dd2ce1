"""The steward of one slot during one lease."""

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

#: Share of the rate for callers with a reservation. Each of them takes the capacity of a caller
#: that could be served at once, so a larger share would serve fewer callers within their target.
RESERVED_SHARE = 0.1
#: A caller may return this much before its due time: retry times are sent in whole milliseconds.
EARLY_TOLERANCE_MS = 20.0
#: Largest share of its remaining time that a caller waits before it returns.
LONGEST_WAIT_SHARE = 1 / 3
#: Part of that wait that a reservation leaves unused, for the round trip to the caller.
ROUND_TRIP_SLACK_MS = 50.0
#: Longest retry time sent to callers; a longer one is of no use to them.
MAX_RETRY_MS = 5_000.0
#: Time to wait for the store's records of earlier advance grants before it counts as unresponsive.
ADVANCE_GRANT_READ_TIMEOUT_MS = 80.0
#: Time to wait for replicas to acknowledge a lower floor.
FLOOR_ACK_TIMEOUT_MS = 50.0
#: An account whose remaining quota is below this share of its depth is expected to use it up.
DEMAND_SHARE = 0.25
#: Reservations sent to an instance with a rejection, so that it doesn't reject their callers
#: locally.
EXPECTED_WORK_LIMIT = 100


class _EarliestStart(msgspec.Struct, frozen=True):
    at_ms: float
    #: Whether the use keeps the account above the floor that replicas have acknowledged.
    is_within_floor: bool


class SlotSteward:
    """Grants and rejects uses of the slot's accounts while its lease is held.

    Handles an account that sends many times its limit: it gets the uses that its window allows.
    Requests above the limit wait for a use that becomes free within their target, or get a
    reservation for a later retry. All others are rejected at once.
    """

    def __init__(
        self,
        context: Context,
        budget: OvershootBudget,
        lease: SlotLease,
        slot: int,
        local_rejections: LocalRejectionCache,
        find_account: Callable[[TenantId], Account | None],
    ) -> None:
        """Initialize the steward of a lease that is held.

        :param find_account: finds an account in the current configuration.
        """
        self._find_account = find_account
        self._context = context
        self._budget = budget
        self._lease = lease
        self._slot = slot
        self._local_rejections = local_rejections
        #: Time since which no other instance has counted the slot's accounts.
        self.since_ms = lease.held_since_ms
        self._previous_copy = lease.previous_copy
        #: Whether the advance grant records of the previous lease are known, and their accounts.
        self._are_prior_grants_known = False
        self._prior_grant_accounts: frozenset[TenantId] = frozenset()
        self._quotas: dict[TenantId, AccountQuota] = {}
        lease_epoch = context.random.getrandbits(32)
        filled_ms = -ADVANCE_GRANT_MS
        if self._previous_copy is not None:
            # The copy is valid as of now, while the lease may have started earlier. From here on
            # the floors sent to replicas are below the remaining quotas given by the copy.
            self.since_ms, filled_ms = self._now_ms(), min(0.0, self._previous_copy.filled_ms)
        self.held_since_ms = lease.held_since_ms
        self._began_ms = self._now_ms()
        self._floors = QuotaFloors(lease_epoch, lease.replica_set_id(), filled_ms, self.since_ms)
        self._advance_grants = AdvanceGrantRecords(slot, lease_epoch)
        self._published_number = -1
        if self._previous_copy is not None:
            for account_id, floor in self._previous_copy.floors.items():
                account = find_account(account_id)
                margin = 0.0 if account is None else FLOOR_SHARE * self._bucket_depth(account)
                self._floors.begin_at(account_id, floor - margin)
        lease.record_own_copy(self._floors.snapshot(self._now_ms()))

    def answer(
        self,
        requester: InstanceId,
        number: int,
        account: Account,
        need: UseNeed,
        rejected_work_ids: tuple[int, ...] = (),
    ) -> UseAnswered:
        """Grant or reject one use.

        :param rejected_work_ids: work of the account that the requester has rejected locally.
        """
        now_ms = self._now_ms()
        quota = self._quota_of(account)
        quota.reservations.expire(now_ms)
        quota.rejected_work.record(rejected_work_ids, now_ms)
        due_ms = quota.reservations.due_ms_of(need.work)
        if due_ms is None and quota.rejected_work.should_reject_retry(need.work, now_ms):
            quota.record_rejected(now_ms)
            return self._reject_with_pause(requester, number, account, need, now_ms)
        earliest = self._earliest_start(account, quota, now_ms, is_reserved=due_ms is not None)
        start_ms = earliest.at_ms
        if due_ms is not None:
            start_ms = max(start_ms, due_ms - EARLY_TOLERANCE_MS)
        wait_ms = max(0.0, start_ms - now_ms)
        is_in_time = wait_ms <= need.may_wait_ms and start_ms <= self._lease.held_until_ms
        if earliest.is_within_floor and (wait_ms <= 0.0 or is_in_time):
            if due_ms is not None:
                quota.reservations.consume(need.work)
            quota.consume(account, start_ms, now_ms)
            self._adjust_floor(account, quota, now_ms)
            return UseAnswered(number, UseOutcome.GRANTED, is_steward=True, start_in_ms=wait_ms)
        self._adjust_floor(account, quota, now_ms)
        quota.record_rejected(now_ms)
        if (
            self._previous_copy is None
            and not self._are_prior_grants_known
            and now_ms < self._began_ms + ADVANCE_GRANT_READ_TIMEOUT_MS
        ):
            return self._rejection(
                number, now_ms + ADVANCE_GRANT_READ_TIMEOUT_MS, now_ms, is_kept=False
            )
        if due_ms is not None:
            return self._rejection(number, max(start_ms, due_ms), now_ms, is_kept=True)
        return self._grant_reservation(requester, number, account, need, start_ms)

    def count(self, account: TenantId) -> StewardCount:
        """Return the counts of an account."""
        quota = self._quotas.get(account)
        if quota is None:
            return StewardCount(0, 0)
        now_ms = self._now_ms()
        quota.reservations.expire(now_ms)
        counts = quota.reservations.counts
        return StewardCount(
            quota.window_uses_count(now_ms),
            quota.rejected_count(now_ms),
            len(quota.reservations),
            counts.taken,
            counts.lapsed,
        )

    def reservation_counts(self) -> list[ReservationCounts]:
        """Return the reservation counts of each account."""
        now_ms = self._now_ms()
        for quota in self._quotas.values():
            quota.reservations.expire(now_ms)
        return [quota.reservations.counts for quota in self._quotas.values()]

    def pending_floor_messages(self) -> list[Addressed]:
        """Return floor messages if the floors have changed.

        Floors that aren't acknowledged are sent again by :meth:`tick`.
        """
        if self._floors.number == self._published_number:
            return []
        return self.tick()

    def tick(self) -> list[Addressed]:
        """Return the floors for each replica that hasn't acknowledged them."""
        self._published_number = self._floors.number
        copy = self._floors.snapshot(self._now_ms())
        self._lease.record_own_copy(copy)
        return [
            Addressed(replica, FloorsTold(self._slot, copy))
            for replica in self._lease.other_replicas()
            if not self._floors.is_acknowledged_by(replica)
        ]

    def record_acknowledged(self, replica: InstanceId, lease_epoch: int, number: int) -> None:
        """Record that a replica has stored the floors up to ``number``."""
        self._floors.record_acknowledged(replica, lease_epoch, number)

    def next_store_call(self) -> AdvanceGrantStoreCall | None:
        """Return the next call for the advance grant records, if any."""
        now_ms = self._now_ms()
        for account_id in self._advance_grants.accounts:
            account = self._find_account(account_id)
            if account is not None and self._quota_of(account).remaining(account, now_ms) < 0.0:
                self._advance_grants.request_record(account_id, now_ms)
        return self._advance_grants.next_store_call(now_ms)

    def apply_row(self, call: AdvanceGrantStoreCall, row: AdvanceGrantRow | None) -> None:
        """Apply the store's reply; ``None`` if the call failed."""
        if not self._advance_grants.is_call_of(call):
            return
        is_first_read = (
            row is not None and not self._are_prior_grants_known and self._previous_copy is None
        )
        self._advance_grants.apply_row(row, self._now_ms())
        if not is_first_read or row is None:
            return
        # The row was read after all other leases had expired, so an account without a record can't
        # have received advance grants.
        self._are_prior_grants_known = True
        self._floors.add_filled_ms(ADVANCE_GRANT_MS)
        self._prior_grant_accounts = row.accounts
        for account, quota in self._quotas.items():
            if account not in row.accounts:
                found = self._find_account(account)
                quota.credit(0.0 if found is None else _advance_grant_uses(found))
        for account in row.accounts:
            found = self._find_account(account)
            if found is not None:
                self._floors.lower(account, -_advance_grant_uses(found))

    def _earliest_start(
        self, account: Account, quota: AccountQuota, now_ms: float, *, is_reserved: bool
    ) -> _EarliestStart:
        may_advance = self._advance_grants.is_recorded(account.id)
        at_ms = quota.free_at_ms(account, now_ms, may_advance=may_advance, is_reserved=is_reserved)
        floor_now = self._floors.floor_of(account, quota.max_depth, now_ms)
        if quota.remaining(account, now_ms) - 1.0 < floor_now:
            return _EarliestStart(max(at_ms, now_ms + FLOOR_ACK_TIMEOUT_MS), False)
        return _EarliestStart(at_ms, True)

    def _adjust_floor(self, account: Account, quota: AccountQuota, now_ms: float) -> None:
        remaining = quota.remaining(account, now_ms)
        if remaining < DEMAND_SHARE * quota.max_depth and quota.has_counted_full_window(now_ms):
            self._advance_grants.request_record(account.id, now_ms)
        self._floors.adjust(account, quota.max_depth, remaining, now_ms)

    def _grant_reservation(
        self, requester: InstanceId, number: int, account: Account, need: UseNeed, start_ms: float
    ) -> UseAnswered:
        now_ms = self._now_ms()
        quota = self._quota_of(account)
        reservations = quota.reservations
        earliest_ms = max(start_ms, quota.local_rejection_until_ms)
        due_ms = reservations.next_due_ms(earliest_ms, 1e3 / (RESERVED_SHARE * account.rate_per_s))
        is_in_reach = due_ms - now_ms <= need.left_ms * LONGEST_WAIT_SHARE - ROUND_TRIP_SLACK_MS
        if need.work and is_in_reach and reservations.reserve(need.work, due_ms):
            return self._rejection(number, due_ms, now_ms, is_kept=True)
        quota.rejected_work.record((need.work,), now_ms)
        quota.rejected_work.record_overload(now_ms)
        return self._reject_with_pause(requester, number, account, need, due_ms)

    def _reject_with_pause(
        self, requester: InstanceId, number: int, account: Account, need: UseNeed, due_ms: float
    ) -> UseAnswered:
        """Reject a request without a reservation, and let the instance pause its queries."""
        now_ms = self._now_ms()
        quota = self._quota_of(account)
        uses_per_s = account.rate_per_s * (
            ADVANCE_RATE_FACTOR if self._advance_grants.is_recorded(account.id) else 1.0
        )
        pause_ms = self._local_rejections.pause_ms(account, requester, uses_per_s)
        expected = quota.reservations.keys_due_by(now_ms + pause_ms + EARLY_TOLERANCE_MS)
        if len(expected) > EXPECTED_WORK_LIMIT:
            pause_ms, expected = 0.0, []
        quota.local_rejection_until_ms = max(quota.local_rejection_until_ms, now_ms + pause_ms)
        # There is no reservation, so the retry time is not before the caller's deadline.
        at_ms = max(due_ms, now_ms + need.left_ms)
        rejection = self._rejection(number, at_ms, now_ms, is_kept=False)
        return msgspec.structs.replace(rejection, pause_ms=pause_ms, expected=tuple(expected))

    @staticmethod
    def _rejection(number: int, at_ms: float, now_ms: float, *, is_kept: bool) -> UseAnswered:
        retry_in_ms = min(MAX_RETRY_MS, at_ms - now_ms)
        return UseAnswered(
            number, UseOutcome.REFUSED, retry_in_ms, is_steward=True, is_kept=is_kept
        )

    def _quota_of(self, account: Account) -> AccountQuota:
        quota = self._quotas.get(account.id)
        if quota is None:
            bucket = TokenBucket(self.since_ms, self._initial_remaining(account))
            quota = AccountQuota(self._budget, bucket, self.since_ms)
            quota.remaining(account, self._now_ms())
            self._quotas[account.id] = quota
        return quota

    def _initial_remaining(self, account: Account) -> float:
        if self._previous_copy is None:
            is_free = self._are_prior_grants_known and account.id not in self._prior_grant_accounts
            return 0.0 if is_free else -_advance_grant_uses(account)
        depth = self._bucket_depth(account)
        default = default_floor(account, depth, self._previous_copy.filled_ms)
        return min(depth, self._previous_copy.floors.get(account.id, default))

    def _bucket_depth(self, account: Account) -> float:
        return self._budget.depth(account.rate_per_s, account.burst)

    def _now_ms(self) -> float:
        return self._context.clock.fence_ms()


def _advance_grant_uses(account: Account) -> float:
    return account.rate_per_s * ADVANCE_GRANT_MS / 1e3
