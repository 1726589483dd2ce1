"""Lower bounds on remaining quotas, as a slot's replicas store them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.accounts.limit_messages import SlotCopy

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.ids import InstanceId, TenantId

__all__ = ('FLOOR_SHARE', 'QuotaFloors', 'default_floor')

#: Share of its depth that an account keeps unless it is named. An account within its limit stays
#: above it.
FLOOR_SHARE = 0.5
#: Number of accounts named in one slot; a message with all of them has about 10 KB.
NAMED_LIMIT = 400


def default_floor(account: Account, depth: float, filled_ms: float) -> float:
    """Return the floor of an account that isn't named.

    It leaves a full bucket one use at least, since a floor is lowered only once uses are granted.
    In the first seconds of a lease the floor is below the quota that has refilled, so that a use
    needn't wait until a replica has acknowledged a lower floor.

    :param filled_ms: time for which the account is known to have refilled.
    """
    margin = min(depth * FLOOR_SHARE, max(0.0, depth - 1.0))
    return min(margin, account.rate_per_s * filled_ms / 1e3 - margin)


class QuotaFloors:
    """The floors of one lease at its holder.

    A lower floor takes effect once a replica has acknowledged it; a higher floor replaces the old
    one as soon as it is published. So no replica ever passes on a floor above the remaining quota.
    """

    def __init__(
        self, lease_epoch: int, replica_set_id: int, filled_ms: float, since_ms: float
    ) -> None:
        """Initialize the floors at the start of a lease.

        :param filled_ms: time for which accounts are known to have refilled at the start.
        """
        self._lease_epoch = lease_epoch
        self._replica_set_id = replica_set_id
        self._filled_ms = filled_ms
        self._since_ms = since_ms
        self._number = 0
        self._acknowledged: dict[InstanceId, int] = {}
        #: By account: the published floor, and the highest floor that a replica may still store;
        #: ``None`` if that may be the default floor.
        self._published: dict[TenantId, float] = {}
        self._bounds: dict[TenantId, float | None] = {}
        self._changed_at: dict[TenantId, int] = {}

    @property
    def number(self) -> int:
        """Number of the last change."""
        return self._number

    def is_acknowledged_by(self, replica: InstanceId) -> bool:
        """Return whether a replica has acknowledged the current floors."""
        return self._acknowledged.get(replica, -1) >= self._number

    def filled_ms(self, now_ms: float) -> float:
        """Return the time for which accounts that aren't named are known to have refilled."""
        return self._filled_ms + now_ms - self._since_ms

    def add_filled_ms(self, added_ms: float) -> None:
        """Extend the time for which accounts that aren't named have refilled."""
        self._filled_ms += added_ms
        self._number += 1

    def floor_of(self, account: Account, depth: float, now_ms: float) -> float:
        """Return the remaining quota below which an account may not fall now."""
        bound = self._bounds.get(account.id)
        if bound is not None:
            return bound
        return default_floor(account, depth, self.filled_ms(now_ms))

    def adjust(self, account: Account, depth: float, remaining: float, now_ms: float) -> None:
        """Lower an account's floor before it is reached; drop it after the account has refilled."""
        default = default_floor(account, depth, self.filled_ms(now_ms))
        step = max(1.0, depth * FLOOR_SHARE)
        published = self._published.get(account.id)
        current = default if published is None else published
        if remaining - current < step / 2:
            if published is None and len(self._published) >= NAMED_LIMIT:
                return
            self._publish(account.id, remaining - step)
        elif published is not None and remaining >= default + step / 2:
            del self._published[account.id], self._bounds[account.id], self._changed_at[account.id]
            self._number += 1
        elif published is not None and remaining > published + 2 * step:
            self._publish(account.id, remaining - step)

    def begin_at(self, account: TenantId, floor: float) -> None:
        """Set the floor of an account at the start of the lease, before any is published."""
        self.lower(account, floor)
        self._bounds[account] = floor

    def lower(self, account: TenantId, floor: float) -> None:
        """Publish a lower floor; it takes effect once a replica has acknowledged it."""
        self._publish(account, floor)

    def _publish(self, account: TenantId, floor: float) -> None:
        self._number += 1
        bound = self._bounds.get(account)
        self._published[account] = floor
        self._bounds[account] = None if bound is None else max(floor, bound)
        self._changed_at[account] = self._number

    def snapshot(self, now_ms: float) -> SlotCopy:
        """Return the copy that is sent to replicas."""
        return SlotCopy(
            self._lease_epoch,
            self._number,
            self._replica_set_id,
            self.filled_ms(now_ms),
            dict(self._published),
        )

    def record_acknowledged(self, replica: InstanceId, lease_epoch: int, number: int) -> None:
        """Record that a replica has stored the changes up to ``number``."""
        if lease_epoch != self._lease_epoch:
            return
        self._acknowledged[replica] = max(self._acknowledged.get(replica, -1), number)
        for account, changed_at in self._changed_at.items():
            if changed_at <= number:
                self._bounds[account] = self._published[account]
