"""Limits kept by one steward for each account, which every request asks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.accounts.bucket import TokenBucket
from citrondyke.decisions.accounts.fleet_limits import (
    FleetLimits,
    LimitVerdict,
    Question,
    VerdictKind,
)
from citrondyke.decisions.accounts.limit_messages import (
    Addressed,
    LeaseAnswered,
    LeaseAsked,
    LimitMessage,
    UseAnswered,
    UseAsked,
    UseOutcome,
)
from citrondyke.decisions.accounts.refusals import Refusals
from citrondyke.decisions.accounts.slot_lease import SlotLease
from citrondyke.decisions.accounts.slots import SLOTS_COUNT, Slots, slot_of
from citrondyke.decisions.accounts.window_count import StewardCount, WindowCount

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.tolerance import LimitTolerance
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId, TenantId

__all__ = ('StewardLimits',)

#: Who did not answer is asked last for so long.
SILENT_MS = 1_000.0
#: When a caller may come back after nobody could say: a lease passes on within two seconds.
UNKNOWN_RETRY_MS = 400.0
#: From a process's begin until its slots have a steward again after a loss of all: the promises of
#: the lives before, and the starts of the slowest machines.
START_MS = 1_400.0
STARTING_MS = 3_000.0


class StewardLimits(FleetLimits):
    """Asks the steward of the account's slot; is the steward of some slots itself.

    A request costs one datagram each way, and the count is exact. A steward's bucket starts empty,
    so that nothing of what the one before it let through has to be known.
    """

    def __init__(
        self,
        context: Context,
        members: Callable[[], tuple[InstanceId, ...]],
        find: Callable[[TenantId], Account | None],
        tolerance: LimitTolerance,
        began_ms: float | None = None,
    ) -> None:
        """Start without a lease.

        :param members: gives all known instances, this one included; none while that is not known.
        :param find: finds an account in the configuration in force.
        :param began_ms: when this life certainly had begun, by the fence clock; now where that is
            not known.
        """
        self._context = context
        self._find = find
        self._tolerance = tolerance
        self._slots = Slots(members)
        self._began_ms = context.clock.fence_ms() if began_ms is None else began_ms
        self._leases = [
            SlotLease(context, self._slots, slot, self._began_ms) for slot in range(SLOTS_COUNT)
        ]
        self._buckets: dict[TenantId, TokenBucket] = {}
        self._bucket_leases: dict[TenantId, float] = {}
        self._stand_ins: dict[TenantId, TokenBucket] = {}
        self._refusals = Refusals(context)
        self._uses: dict[TenantId, WindowCount] = {}
        self._refused: dict[TenantId, WindowCount] = {}
        self._silent_until_ms: dict[InstanceId, float] = {}
        self._stewards: dict[int, InstanceId] = {}
        self._numbers = 0

    def next_step(self, account: Account, tried: set[InstanceId]) -> LimitVerdict | Question:
        """Decide about one request, or tell who must be asked."""
        if not account.has_limit:
            return LimitVerdict(VerdictKind.WITHIN)
        paused = self._refusals.paused(account.id)
        if paused is not None:
            return LimitVerdict(VerdictKind.OVER, paused)
        own_id = self._context.instance_id
        for keeper in self._order(slot_of(account.id)):
            if keeper in tried:
                continue
            if keeper != own_id:
                self._numbers += 1
                return Question(keeper, UseAsked(self._numbers, account.id), self._numbers)
            verdict = self.note_answer(account, own_id, self._answer(own_id, 0, account))
            if verdict is not None:
                return verdict
        return LimitVerdict(VerdictKind.UNKNOWN, self._unknown_retry_ms())

    def _unknown_retry_ms(self) -> float:
        """Give when somebody may say again; after a loss of all nobody may before all promises end.

        Callers come back once: asked back sooner they would be refused for good.
        """
        age_ms = self._context.clock.fence_ms() - self._began_ms
        return self._context.jittered_ms(max(UNKNOWN_RETRY_MS, START_MS - age_ms), 0.25)

    @property
    def is_starting(self) -> bool:
        """Tell whether this life is young, so that leases are to be asked for often."""
        return self._context.clock.fence_ms() - self._began_ms < STARTING_MS

    def note_answer(
        self, account: Account, sender: InstanceId, answer: UseAnswered
    ) -> LimitVerdict | None:
        """Take in an answer; ``None`` when another one has to be asked."""
        if answer.is_steward:
            self._stewards[slot_of(account.id)] = sender
        if answer.outcome is UseOutcome.GRANTED:
            return LimitVerdict(VerdictKind.WITHIN, by=sender)
        if answer.outcome is UseOutcome.REFUSED:
            self._refusals.pause(account.id, answer.pause_ms, answer.retry_in_ms)
            return LimitVerdict(VerdictKind.OVER, answer.retry_in_ms, sender)
        return None

    def note_silent(self, account: Account, receiver: InstanceId) -> None:
        """Take in that somebody did not answer in time."""
        self._silent_until_ms[receiver] = self._context.now_ms() + SILENT_MS
        self._stewards.pop(slot_of(account.id), None)

    def take(self, sender: InstanceId, message: LimitMessage) -> list[Addressed]:
        """Take in what a peer sends, and give what to send."""
        if isinstance(message, UseAsked):
            account = self._find(message.account)
            if account is None:
                # Added a moment ago, and not heard of here yet.
                answer = UseAnswered(message.number, UseOutcome.NOT_STEWARD)
            else:
                answer = self._answer(sender, message.number, account)
            return [Addressed(sender, answer)]
        if isinstance(message, LeaseAsked):
            return self._leases[message.slot % SLOTS_COUNT].take_asked(sender, message)
        if isinstance(message, LeaseAnswered):
            self._leases[message.slot % SLOTS_COUNT].take_answered(sender, message)
        return []

    def tick(self) -> list[Addressed]:
        """Ask for the leases of the slots that this instance is to keep."""
        return [asked for lease in self._leases for asked in lease.tick()]

    def is_steward_of(self, account: TenantId) -> bool:
        """Tell whether this instance counts an account now."""
        return self._leases[slot_of(account)].is_held

    def held_slots(self) -> tuple[int, ...]:
        """List the slots whose accounts this instance counts."""
        return tuple(slot for slot, lease in enumerate(self._leases) if lease.is_held)

    def window(self, account: TenantId) -> StewardCount | None:
        """Give what this instance has counted in the last window; ``None`` if it does not count."""
        if not self.is_steward_of(account):
            return None
        now_ms = self._context.clock.fence_ms()
        counts = [
            found[account].count(now_ms) if account in found else 0
            for found in (self._uses, self._refused)
        ]
        return StewardCount(*counts)

    def _note(self, counts: dict[TenantId, WindowCount], account: TenantId) -> None:
        found = counts.get(account)
        if found is None:
            found = counts[account] = WindowCount(self._tolerance.window_ms)
        found.note(self._context.clock.fence_ms())

    def _order(self, slot: int) -> list[InstanceId]:
        """List the keepers to ask: the known steward first, the silent ones last."""
        now_ms = self._context.now_ms()
        steward = self._stewards.get(slot)
        return sorted(
            self._slots.keepers(slot),
            key=lambda keeper: (
                self._silent_until_ms.get(keeper, 0.0) > now_ms,
                keeper != steward,
            ),
        )

    def _answer(self, asker: InstanceId, number: int, account: Account) -> UseAnswered:
        lease = self._leases[slot_of(account.id)]
        if not account.has_limit:
            return UseAnswered(number, UseOutcome.GRANTED, is_steward=lease.is_held)
        if not lease.is_held:
            return self._stand_in(number, account)
        if self._bucket(lease, account).take(
            account.rate_per_s,
            self._tolerance.depth(account.rate_per_s, account.burst),
            self._context.clock.fence_ms(),
        ):
            self._note(self._uses, account.id)
            return UseAnswered(number, UseOutcome.GRANTED, is_steward=True)
        self._note(self._refused, account.id)
        wait_ms = self._buckets[account.id].wait_ms(account.rate_per_s)
        retry_in_ms, pause_ms = self._refusals.refuse(account, asker, wait_ms)
        return UseAnswered(number, UseOutcome.REFUSED, retry_in_ms, pause_ms, is_steward=True)

    def _bucket(self, lease: SlotLease, account: Account) -> TokenBucket:
        if self._bucket_leases.get(account.id) != lease.held_since_ms:
            self._bucket_leases[account.id] = lease.held_since_ms
            self._buckets[account.id] = TokenBucket(lease.held_since_ms)
        return self._buckets[account.id]

    def _stand_in(self, number: int, account: Account) -> UseAnswered:
        keepers = self._slots.keepers(slot_of(account.id))
        if self._context.instance_id not in keepers:
            return UseAnswered(number, UseOutcome.NOT_STEWARD)
        if account.id not in self._stand_ins:
            first = self._tolerance.stand_in_first(account.rate_per_s)
            self._stand_ins[account.id] = TokenBucket(self._began_ms, first)
        is_taken = self._stand_ins[account.id].take(
            self._tolerance.stand_in_rate_per_s,
            self._tolerance.stand_in_depth(account.rate_per_s),
            self._context.clock.fence_ms(),
        )
        return UseAnswered(number, UseOutcome.GRANTED if is_taken else UseOutcome.NOT_STEWARD)
