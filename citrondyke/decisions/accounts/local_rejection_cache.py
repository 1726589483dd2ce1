"""Rejection of an account's requests without a query to its steward."""

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

#: Longest time for which an instance rejects an account's requests locally.
MAX_PAUSE_MS = 500.0
#: Queries per second for each use that becomes free. With fewer, some uses would stay unused.
REQUESTS_PER_GRANT = 2.0
#: An instance whose query was rejected within this time is expected to query again.
REQUEST_WINDOW_MS = 1_000.0
#: Locally rejected work reported with the next query. Few requests arrive during the short pause.
REPORTED_REJECTIONS_LIMIT = 50


class _Pause(msgspec.Struct, frozen=True):
    until_ms: float
    retry_until_ms: float
    expected: frozenset[int]


class LocalRejectionCache:
    """Rejects requests locally for a short pause after the steward has rejected one.

    Handles an account that sends many times its limit: without the pauses every request would cause
    a query to the steward. Callers that return to a reservation are never rejected locally.
    """

    def __init__(self, context: Context) -> None:
        """Initialize the cache without pauses."""
        self._context = context
        self._rejected_instances_ms: dict[TenantId, dict[InstanceId, float]] = {}
        self._pauses: dict[TenantId, _Pause] = {}
        #: Work rejected locally since the last query to the steward.
        self._unreported: dict[TenantId, deque[int]] = {}

    def pause_ms(self, account: Account, requester: InstanceId, uses_per_s: float) -> float:
        """Return, as a steward, the pause of an instance whose query is rejected.

        The more instances query about an account, the longer each of them pauses.

        :param uses_per_s: number of uses that become free per second.
        """
        now_ms = self._context.now_ms()
        rejected_ms = self._rejected_instances_ms.get(account.id, {})
        rejected_ms = {
            each: rejected_at_ms
            for each, rejected_at_ms in rejected_ms.items()
            if rejected_at_ms > now_ms - REQUEST_WINDOW_MS
        }
        rejected_ms[requester] = now_ms
        self._rejected_instances_ms[account.id] = rejected_ms
        pause_ms = len(rejected_ms) / (REQUESTS_PER_GRANT * uses_per_s) * 1e3
        return min(MAX_PAUSE_MS, pause_ms)

    def set_pause(self, account: TenantId, answer: UseAnswered) -> None:
        """Reject an account's requests locally for the pause given in an answer."""
        if answer.is_kept or answer.pause_ms <= 0.0:
            return
        now_ms = self._context.now_ms()
        self._pauses[account] = _Pause(
            now_ms + answer.pause_ms, now_ms + answer.retry_in_ms, frozenset(answer.expected)
        )

    def reject_locally(self, account: TenantId, work: int) -> float | None:
        """Return the retry time of a locally rejected request; ``None`` to query the steward."""
        pause = self._pauses.get(account)
        now_ms = self._context.now_ms()
        if pause is None or now_ms >= pause.until_ms:
            self._pauses.pop(account, None)
            return None
        if work in pause.expected:
            return None
        self._unreported.setdefault(account, deque(maxlen=REPORTED_REJECTIONS_LIMIT)).append(work)
        retry_in_ms = max(pause.retry_until_ms, pause.until_ms) - now_ms
        return self._context.jittered_ms(retry_in_ms, 0.25)

    def pop_locally_rejected(self, account: TenantId) -> tuple[int, ...]:
        """Return and clear the locally rejected work, to be reported with the next query."""
        return tuple(self._unreported.pop(account, ()))
