"""How long an instance refuses an account's requests without asking."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.limit_messages import UseAnswered
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId, TenantId

__all__ = ('LocalRejectionCache',)

#: Longest time for which an instance refuses an account's requests without asking.
MAX_PAUSE_MS = 500.0
#: Questions a second for each use that becomes free: fewer would leave uses unasked for.
REQUESTS_PER_GRANT = 2.0
#: Instances that were refused within this time are expected to ask again.
REQUEST_WINDOW_MS = 1_000.0
#: Work told with the next question; a pause is short.
REPORTED_REJECTIONS_LIMIT = 50


class _Pause(msgspec.Struct, frozen=True):
    until_ms: float
    retry_until_ms: float
    expected: frozenset[int]


class LocalRejectionCache:
    """Keeps a flood from the steward.

    An account that asks for many times its limit is refused by each instance alone most of the
    time, but for callers who come back to a place that is kept.
    """

    def __init__(self, context: Context) -> None:
        """Start without a refusal."""
        self._context = context
        self._rejected_instances_ms: dict[TenantId, dict[InstanceId, float]] = {}
        self._pauses: dict[TenantId, _Pause] = {}
        #: Work refused without asking since the steward was last asked.
        self._unreported: dict[TenantId, deque[int]] = {}

    def pause_ms(self, account: Account, asker: InstanceId, uses_per_s: float) -> float:
        """Give, as a steward, for how long an instance that was refused need not ask.

        :param uses_per_s: how many uses become free in a second.
        """
        now_ms = self._context.now_ms()
        askers = self._rejected_instances_ms.get(account.id, {})
        askers = {each: at for each, at in askers.items() if at > now_ms - REQUEST_WINDOW_MS}
        askers[asker] = now_ms
        self._rejected_instances_ms[account.id] = askers
        pause_ms = len(askers) / (REQUESTS_PER_GRANT * uses_per_s) * 1e3
        return min(MAX_PAUSE_MS, pause_ms)

    def set_pause(self, account: TenantId, answer: UseAnswered) -> None:
        """Refuse an account's requests without asking for a while."""
        if answer.is_kept or answer.pause_ms <= 0.0:
            return
        now_ms = self._context.now_ms()
        self._pauses[account] = _Pause(
            now_ms + answer.pause_ms, now_ms + answer.retry_in_ms, frozenset(answer.expected)
        )

    def reject_locally(self, account: TenantId, work: int) -> float | None:
        """Give in how many milliseconds a caller may come back; ``None`` when it is to be asked."""
        pause = self._pauses.get(account)
        now_ms = self._context.now_ms()
        if pause is None or now_ms >= pause.until_ms:
            self._pauses.pop(account, None)
            return None
        if work in pause.expected:
            return None
        self._unreported.setdefault(account, deque(maxlen=REPORTED_REJECTIONS_LIMIT)).append(work)
        left_ms = max(pause.retry_until_ms, pause.until_ms) - now_ms
        return self._context.jittered_ms(left_ms, 0.25)

    def pop_locally_rejected(self, account: TenantId) -> tuple[int, ...]:
        """Give what was refused without asking, to be told with the next question."""
        return tuple(self._unreported.pop(account, ()))
