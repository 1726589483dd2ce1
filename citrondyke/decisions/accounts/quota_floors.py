"""How far a steward may let accounts fall, as its keepers know it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.accounts.limit_messages import SlotCopy

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.ids import InstanceId, TenantId

__all__ = ('FLOOR_SHARE', 'QuotaFloors', 'default_floor')

#: Part of its depth below which an account is told of by name: one within its limit stays above.
FLOOR_SHARE = 0.5
#: Accounts told by name in one slot; a message with all of them is some 10 KB.
NAMED_LIMIT = 400


def default_floor(account: Account, depth: float, filled_ms: float) -> float:
    """Give the floor of an account that is not named.

    In the first seconds of a lease it lies below what has filled up, so that a use then need not
    wait until a keeper has acknowledged a floor.
    """
    spare = depth * FLOOR_SHARE
    return min(spare, account.rate_per_s * filled_ms / 1e3 - spare)


class QuotaFloors:
    """The floors of one lease, on the side of its holder.

    A floor is lowered as soon as one keeper has acknowledged it, and raised as soon as that is
    told: what any keeper may hand on is never above a level.
    """

    def __init__(self, era: int, replica_set_id: int, filled_ms: float, since_ms: float) -> None:
        """Begin a lease.

        :param filled_ms: for how long accounts had certainly filled up when it began.
        """
        self._lease_epoch = era
        self._replica_set_id = replica_set_id
        self._filled_ms = filled_ms
        self._since_ms = since_ms
        self._number = 0
        self._acknowledged: dict[InstanceId, int] = {}
        #: By account: what is told, and the highest that all keepers may still believe; ``None``
        #: where they may believe it above the floor of accounts that are not named.
        self._published: dict[TenantId, float] = {}
        self._bounds: dict[TenantId, float | None] = {}
        self._changed_at: dict[TenantId, int] = {}

    @property
    def number(self) -> int:
        """Give the number of the last change."""
        return self._number

    def is_acknowledged_by(self, replica: InstanceId) -> bool:
        """Tell whether a keeper knows the floors as they are."""
        return self._acknowledged.get(replica, -1) >= self._number

    def filled_ms(self, now_ms: float) -> float:
        """Give for how long accounts that are not named have certainly filled up."""
        return self._filled_ms + now_ms - self._since_ms

    def add_filled_ms(self, added_ms: float) -> None:
        """Take in that accounts which are not named had filled up for longer."""
        self._filled_ms += added_ms
        self._number += 1

    def floor_of(self, account: Account, depth: float, now_ms: float) -> float:
        """Give how far an account may fall now."""
        believed = self._bounds.get(account.id)
        if believed is not None:
            return believed
        return default_floor(account, depth, self.filled_ms(now_ms))

    def adjust(self, account: Account, depth: float, level: float, now_ms: float) -> None:
        """Lower an account's floor before it is reached, and forget it when it has filled up."""
        usual = default_floor(account, depth, self.filled_ms(now_ms))
        step = max(1.0, depth * FLOOR_SHARE)
        told = self._published.get(account.id)
        current = usual if told is None else told
        if level - current < step / 2:
            if told is None and len(self._published) >= NAMED_LIMIT:
                return
            self._publish(account.id, level - step)
        elif told is not None and level >= usual + step / 2:
            del self._published[account.id], self._bounds[account.id], self._changed_at[account.id]
            self._number += 1
        elif told is not None and level > told + 2 * step:
            self._publish(account.id, level - step)

    def begin_at(self, account: TenantId, floor: float) -> None:
        """Name an account that begins the lease low, before anybody was told."""
        self.lower(account, floor)
        self._bounds[account] = floor

    def lower(self, account: TenantId, floor: float) -> None:
        """Tell a floor; it holds once a keeper has acknowledged it."""
        self._publish(account, floor)

    def _publish(self, account: TenantId, floor: float) -> None:
        self._number += 1
        believed = self._bounds.get(account)
        self._published[account] = floor
        self._bounds[account] = None if believed is None else max(floor, believed)
        self._changed_at[account] = self._number

    def snapshot(self, now_ms: float) -> SlotCopy:
        """Give what keepers are told."""
        return SlotCopy(
            self._lease_epoch,
            self._number,
            self._replica_set_id,
            self.filled_ms(now_ms),
            dict(self._published),
        )

    def record_acknowledged(self, replica: InstanceId, era: int, number: int) -> None:
        """Take in that a keeper knows floors up to a number."""
        if era != self._lease_epoch:
            return
        self._acknowledged[replica] = max(self._acknowledged.get(replica, -1), number)
        for account, changed_at in self._changed_at.items():
            if changed_at <= number:
                self._bounds[account] = self._published[account]
