"""Rate limits enforced by one steward per account, which is queried for every request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.accounts.fallback_allowance import FallbackAllowance
from citrondyke.decisions.accounts.fleet_rate_limiter import (
    FleetRateLimiter,
    LimitVerdict,
    QuotaQuery,
    VerdictKind,
)
from citrondyke.decisions.accounts.limit_messages import (
    Addressed,
    FloorsAcknowledged,
    FloorsTold,
    LeaseAnswered,
    LeaseAsked,
    LimitMessage,
    UseAnswered,
    UseAsked,
    UseNeed,
    UseOutcome,
)
from citrondyke.decisions.accounts.local_rejection_cache import LocalRejectionCache
from citrondyke.decisions.accounts.slot_lease import SlotLease
from citrondyke.decisions.accounts.slot_placement import SLOTS_COUNT, SlotPlacement, slot_of
from citrondyke.decisions.accounts.slot_steward import SlotSteward
from citrondyke.decisions.reservations.reservations import ReservationCounts

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.advance_grant_records import (
        AdvanceGrantRow,
        AdvanceGrantStoreCall,
    )
    from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget
    from citrondyke.decisions.accounts.steward_count import StewardCount
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId, TenantId

__all__ = ('StewardRateLimiter',)

#: Time for which a replica that did not answer is queried last.
UNRESPONSIVE_MS = 1_000.0
#: Retry time after no replica could decide; a lease changes hands within two seconds.
UNKNOWN_RETRY_MS = 400.0
#: Time from the start of a process until its slots have a steward after a crash of all instances:
#: the votes of the previous incarnations must expire, and the slowest machines must have started.
STEWARD_STARTUP_MS = 1_400.0
NEWLY_STARTED_MS = 3_000.0
SLOT_MESSAGES = (LeaseAnswered, FloorsTold, FloorsAcknowledged)


class StewardRateLimiter(FleetRateLimiter):
    """Queries the steward of the account's slot; is itself the steward of some slots.

    A request costs one datagram each way, and the count is exact. The successor of a steward starts
    with remaining quotas that are never above the last ones.
    """

    def __init__(
        self,
        context: Context,
        members: Callable[[], tuple[InstanceId, ...]],
        find_account: Callable[[TenantId], Account | None],
        budget: OvershootBudget,
        began_ms: float | None = None,
    ) -> None:
        """Initialize the limiter without leases.

        :param members: returns all known instances including this one; empty while unknown.
        :param find_account: finds an account in the current configuration.
        :param began_ms: a time at which this incarnation had already begun, by the fence clock;
            defaults to now.
        """
        self._context = context
        self._find_account = find_account
        self._budget = budget
        self._placement = SlotPlacement(members)
        self._began_ms = context.clock.fence_ms() if began_ms is None else began_ms
        self._leases = [
            SlotLease(context, self._placement, slot, self._began_ms) for slot in range(SLOTS_COUNT)
        ]
        self._slot_stewards: dict[int, SlotSteward] = {}
        self._fallback = FallbackAllowance(budget, self._began_ms)
        self._local_rejections = LocalRejectionCache(context)
        self._unresponsive_until_ms: dict[InstanceId, float] = {}
        self._known_stewards: dict[int, InstanceId] = {}
        self._last_number = 0
        self._outbox: list[Addressed] = []

    def next_step(
        self, account: Account, need: UseNeed, tried: set[InstanceId]
    ) -> LimitVerdict | QuotaQuery:
        """Decide about one request, or return the next query."""
        if not account.has_limit:
            return LimitVerdict(VerdictKind.WITHIN)
        retry_in_ms = self._local_rejections.reject_locally(account.id, need.work)
        if retry_in_ms is not None:
            return LimitVerdict(VerdictKind.OVER, max(retry_in_ms, need.left_ms))
        own_id = self._context.instance_id
        for replica in self._query_order(slot_of(account.id)):
            if replica in tried:
                continue
            if replica != own_id:
                self._last_number += 1
                rejected_work_ids = self._local_rejections.pop_locally_rejected(account.id)
                message = UseAsked(self._last_number, account.id, need, rejected_work_ids)
                return QuotaQuery(replica, message, self._last_number)
            answer = self._answer(own_id, account, UseAsked(0, account.id, need))
            verdict = self.apply_answer(account, own_id, answer)
            self._outbox += self._pending_floor_messages(slot_of(account.id))
            if verdict is not None:
                return verdict
        return LimitVerdict(VerdictKind.UNKNOWN, self._retry_without_steward_ms())

    def _retry_without_steward_ms(self) -> float:
        """Return the retry time while there is no steward.

        After a crash of all instances there is none before all votes have expired. Callers retry
        once: if they returned sooner, they would be rejected for good.
        """
        age_ms = self._context.clock.fence_ms() - self._began_ms
        return self._context.jittered_ms(max(UNKNOWN_RETRY_MS, STEWARD_STARTUP_MS - age_ms), 0.25)

    @property
    def is_newly_started(self) -> bool:
        """Whether this incarnation is newly started, so that leases are requested often."""
        return self._context.clock.fence_ms() - self._began_ms < NEWLY_STARTED_MS

    def apply_answer(
        self, account: Account, sender: InstanceId, answer: UseAnswered
    ) -> LimitVerdict | None:
        """Apply an answer; return ``None`` if another replica has to be queried."""
        if answer.is_steward:
            self._known_stewards[slot_of(account.id)] = sender
        if answer.outcome is UseOutcome.GRANTED:
            return LimitVerdict(VerdictKind.WITHIN, by=sender, start_in_ms=answer.start_in_ms)
        if answer.outcome is UseOutcome.REFUSED:
            self._local_rejections.set_pause(account.id, answer)
            return LimitVerdict(
                VerdictKind.OVER, answer.retry_in_ms, sender, is_kept=answer.is_kept
            )
        return None

    def record_no_reply(self, account: Account, receiver: InstanceId) -> None:
        """Record that a replica did not answer in time."""
        self._unresponsive_until_ms[receiver] = self._context.now_ms() + UNRESPONSIVE_MS
        self._known_stewards.pop(slot_of(account.id), None)

    def on_message(self, sender: InstanceId, message: LimitMessage) -> list[Addressed]:
        """Handle a message from a peer, and return the messages to send."""
        if isinstance(message, UseAsked):
            account = self._find_account(message.account)
            if account is None:
                # The account was added a moment ago and isn't known here yet.
                answer = UseAnswered(message.number, UseOutcome.NOT_STEWARD)
            else:
                answer = self._answer(sender, account, message)
            return [
                Addressed(sender, answer),
                *self._pending_floor_messages(slot_of(message.account)),
            ]
        if isinstance(message, LeaseAsked):
            return self._leases[message.slot % SLOTS_COUNT].on_lease_request(sender, message)
        slot = message.slot % SLOTS_COUNT if isinstance(message, SLOT_MESSAGES) else 0
        if isinstance(message, LeaseAnswered):
            self._leases[slot].on_lease_reply(sender, message)
            self._steward_of(slot)
            return self._pending_floor_messages(slot)
        if isinstance(message, FloorsTold) and self._leases[slot].merge_copy(sender, message.copy):
            acknowledgement = FloorsAcknowledged(slot, message.copy.era, message.copy.number)
            return [Addressed(sender, acknowledgement)]
        if isinstance(message, FloorsAcknowledged):
            steward = self._steward_of(slot)
            if steward is not None:
                steward.record_acknowledged(sender, message.era, message.number)
        return []

    def tick(self) -> list[Addressed]:
        """Request the leases of this instance's slots, and publish the floors of held ones."""
        sent = [request for lease in self._leases for request in lease.tick()]
        for slot in range(SLOTS_COUNT):
            steward = self._steward_of(slot)
            if steward is not None:
                sent += steward.tick()
        return sent

    def pending_messages(self) -> list[Addressed]:
        """Return the messages caused by uses that this instance decided for itself."""
        sent, self._outbox = self._outbox, []
        return sent

    def advance_grant_calls(self) -> list[AdvanceGrantStoreCall]:
        """Return the store calls that are due for the advance grant records."""
        held = [self._steward_of(slot) for slot in self._slot_stewards]
        calls = [steward.next_store_call() for steward in held if steward is not None]
        return [call for call in calls if call is not None]

    def apply_advance_grant_row(
        self, call: AdvanceGrantStoreCall, row: AdvanceGrantRow | None
    ) -> list[Addressed]:
        """Apply the store's reply to a call, and return the messages to send."""
        steward = self._steward_of(call.slot)
        if steward is None:
            return []
        steward.apply_row(call, row)
        return steward.pending_floor_messages()

    def is_steward_of(self, account: TenantId) -> bool:
        """Return whether this instance is the steward of an account now."""
        return self._leases[slot_of(account)].is_held

    def held_slots(self) -> tuple[int, ...]:
        """Return the slots whose lease this instance holds."""
        return tuple(slot for slot, lease in enumerate(self._leases) if lease.is_held)

    def steward_count(self, account: TenantId) -> StewardCount | None:
        """Return an account's counts in the last window; ``None`` if not its steward."""
        steward = self._steward_of(slot_of(account))
        return None if steward is None else steward.count(account)

    def reservation_counts(self) -> ReservationCounts:
        """Return the total reservation counts of the leases that this instance holds."""
        held = [self._steward_of(slot) for slot in list(self._slot_stewards)]
        counts = [each for steward in held if steward for each in steward.reservation_counts()]
        return ReservationCounts(
            sum(each.kept for each in counts),
            sum(each.taken for each in counts),
            sum(each.lapsed for each in counts),
        )

    def _query_order(self, slot: int) -> list[InstanceId]:
        """Order the replicas to query: the known steward first, unresponsive ones last."""
        now_ms = self._context.now_ms()
        steward = self._known_stewards.get(slot)
        return sorted(
            self._placement.replicas(slot),
            key=lambda replica: (
                self._unresponsive_until_ms.get(replica, 0.0) > now_ms,
                replica != steward,
            ),
        )

    def _answer(self, requester: InstanceId, account: Account, query: UseAsked) -> UseAnswered:
        number = query.number
        slot = slot_of(account.id)
        steward = self._steward_of(slot)
        if not account.has_limit:
            return UseAnswered(number, UseOutcome.GRANTED, is_steward=steward is not None)
        if steward is not None:
            return steward.answer(requester, number, account, query.need, query.refused)
        replicas = self._placement.replicas(slot)
        is_granted = self._context.instance_id in replicas and self._fallback.try_consume(
            account, self._context.clock.fence_ms()
        )
        return UseAnswered(number, UseOutcome.GRANTED if is_granted else UseOutcome.NOT_STEWARD)

    def _steward_of(self, slot: int) -> SlotSteward | None:
        """Return the slot's steward if this instance holds the lease."""
        lease = self._leases[slot]
        if not lease.is_held:
            return None
        found = self._slot_stewards.get(slot)
        if found is None or found.held_since_ms != lease.held_since_ms:
            found = self._slot_stewards[slot] = SlotSteward(
                self._context, self._budget, lease, slot, self._local_rejections, self._find_account
            )
        return found

    def _pending_floor_messages(self, slot: int) -> list[Addressed]:
        steward = self._steward_of(slot)
        return [] if steward is None else steward.pending_floor_messages()
