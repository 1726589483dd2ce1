"""A client account, and the result for a request that belongs to none."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import TenantId

__all__ = ('ANONYMOUS_ACCOUNT', 'Account', 'NoAccount', 'NoAccountReason')


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account from the operator's configuration."""

    id: TenantId
    #: SHA-256 digest of each valid API key.
    key_hashes: tuple[str, ...] = ()
    #: Overrides the priority of the route; 0 is the most urgent.
    priority: int | None = None
    #: Online requests per second over all instances; 0 means no limit.
    rate_per_s: float = 0.0
    #: Requests that are allowed at once in addition to the rate.
    burst: float = 0.0

    def __bool__(self) -> bool:
        """Return true, unlike :class:`NoAccount`."""
        return True

    def priority_on(self, route_priority: int) -> int:
        """Return the priority of the account's requests on a route."""
        return route_priority if self.priority is None else self.priority

    @property
    def has_limit(self) -> bool:
        """Whether the account's requests are counted against a rate limit."""
        return self.rate_per_s > 0


#: Used for all callers if the configuration has no accounts, and on public routes.
ANONYMOUS_ACCOUNT = Account(id=TenantId(''))


class NoAccountReason(Enum):
    """Reason why a request belongs to no account."""

    #: The instance has not loaded a configuration yet.
    NO_CONFIGURATION = 'no_configuration'
    NO_KEY = 'no_key'
    UNKNOWN_KEY = 'unknown_key'


class NoAccount(msgspec.Struct, frozen=True):
    """Returned instead of an account for a request that belongs to none."""

    reason: NoAccountReason

    def __bool__(self) -> bool:
        """Return false, unlike :class:`Account`."""
        return False
