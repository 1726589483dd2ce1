"""When a refused caller may come back, and how long an instance refuses without asking."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId, TenantId

__all__ = ('Refusals',)

#: Callers wait no longer than a third of the time they have; beyond seconds it is no use to them.
LONGEST_RETRY_MS = 5_000.0
#: Longest time for which an instance refuses an account's requests without asking.
LONGEST_PAUSE_MS = 500.0
#: Questions a second for each use that becomes free: fewer would leave uses unasked for.
ASKS_PER_USE = 2.0
#: Instances that were refused within this time are expected to ask again.
ASKERS_MS = 1_000.0


class _Queue(msgspec.Struct):
    #: When the use falls due that the last refused caller was given.
    due_ms: float = 0.0
    askers: dict[InstanceId, float] = {}


class _Pause(msgspec.Struct, frozen=True):
    until_ms: float
    retry_until_ms: float


class Refusals:
    """Gives out times to come back one after the other, by the account's rate.

    Told the same time, all who were refused together would come back together and be refused again.
    An account that asks for many times its limit is refused by each instance alone most of the
    time: its flood would otherwise be the steward's.
    """

    def __init__(self, context: Context) -> None:
        """Start without a refusal."""
        self._context = context
        self._queues: dict[TenantId, _Queue] = {}
        self._pauses: dict[TenantId, _Pause] = {}

    def refuse(self, account: Account, asker: InstanceId, wait_ms: float) -> tuple[float, float]:
        """Refuse a use as a steward.

        :param wait_ms: time until the next one is free.
        :returns: in how many milliseconds the caller may come back, and for how long the asking
            instance need not ask.
        """
        now_ms = self._context.now_ms()
        queue = self._queues.setdefault(account.id, _Queue())
        queue.due_ms = max(queue.due_ms, now_ms + wait_ms) + 1e3 / account.rate_per_s
        queue.due_ms = min(queue.due_ms, now_ms + LONGEST_RETRY_MS)
        queue.askers[asker] = now_ms
        recent = {each: at for each, at in queue.askers.items() if at > now_ms - ASKERS_MS}
        queue.askers = recent
        pause_ms = len(recent) / (ASKS_PER_USE * account.rate_per_s) * 1e3
        retry_in_ms = self._context.jittered_ms(queue.due_ms - now_ms, 0.25)
        return retry_in_ms, min(LONGEST_PAUSE_MS, pause_ms)

    def pause(self, account: TenantId, pause_ms: float, retry_in_ms: float) -> None:
        """Refuse an account's requests without asking for a while."""
        now_ms = self._context.now_ms()
        self._pauses[account] = _Pause(now_ms + pause_ms, now_ms + retry_in_ms)

    def paused(self, account: TenantId) -> float | None:
        """Give in how many milliseconds a caller may come back; ``None`` when it is to be asked."""
        pause = self._pauses.get(account)
        now_ms = self._context.now_ms()
        if pause is None or now_ms >= pause.until_ms:
            self._pauses.pop(account, None)
            return None
        left_ms = max(pause.retry_until_ms, pause.until_ms) - now_ms
        return self._context.jittered_ms(left_ms, 0.25)
