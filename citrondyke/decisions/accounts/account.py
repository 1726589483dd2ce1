"""A client account, and what stands in its place where a request has none."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import TenantId

__all__ = ('ANONYMOUS_ACCOUNT', 'Account', 'NoAccount', 'NoAccountReason')


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account as the operator's configuration has it."""

    id: TenantId
    #: SHA-256 of each key in force.
    key_hashes: tuple[str, ...] = ()
    #: Goes before the route's; 0 is the most urgent.
    priority: int | None = None
    #: Online requests a second over all instances; 0 is no limit.
    rate_per_s: float = 0.0
    #: Requests that may come at once on top of that.
    burst: float = 0.0

    def __bool__(self) -> bool:
        """Count as an account."""
        return True

    def priority_on(self, route_priority: int) -> int:
        """Give the priority of its requests on a route."""
        return route_priority if self.priority is None else self.priority

    @property
    def has_limit(self) -> bool:
        """Tell whether its requests are counted."""
        return self.rate_per_s > 0


#: Stands for all callers where the configuration has no accounts, and on public routes.
ANONYMOUS_ACCOUNT = Account(id=TenantId(''))


class NoAccountReason(Enum):
    """Why a request belongs to no account."""

    #: The instance has no configuration yet.
    NO_CONFIGURATION = 'no_configuration'
    NO_KEY = 'no_key'
    UNKNOWN_KEY = 'unknown_key'


class NoAccount(msgspec.Struct, frozen=True):
    """Stands in the place of an account."""

    reason: NoAccountReason

    def __bool__(self) -> bool:
        """Count as no account."""
        return False
