"""All routes of one version of the configuration."""

from __future__ import annotations

from enum import Enum
from functools import cached_property

import msgspec

from citrondyke.decisions.accounts.account import (
    ANONYMOUS_ACCOUNT,
    Account,
    NoAccount,
    NoAccountReason,
)
from citrondyke.decisions.accounts.key_index import KeyIndex
from citrondyke.decisions.forwarding.route import Route, RouteKind, RouteLimits
from citrondyke.ids import ConfigVersion, RouteName, ServiceName, TenantId

__all__ = ('EMPTY_ROUTE_TABLE', 'NO_ROUTE', 'NoRoute', 'NoRouteReason', 'RouteTable')


class NoRouteReason(Enum):
    """Why there is no route."""

    UNKNOWN = 'unknown'


class NoRoute(msgspec.Struct, frozen=True):
    """Result of a lookup that finds no route."""

    reason: NoRouteReason

    def __bool__(self) -> bool:
        """Evaluate as false."""
        return False


NO_ROUTE = NoRoute(NoRouteReason.UNKNOWN)


class _HostRoutes(msgspec.Struct, frozen=True):
    by_prefix: dict[str, Route]
    #: Lengths of the prefixes in descending order.
    lengths: tuple[int, ...]


class RouteTable(msgspec.Struct, frozen=True, dict=True):
    """All routes of one version of the configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...] = ()
    limits: RouteLimits = RouteLimits()
    #: ``None`` if callers need no key; with an empty list no caller has one.
    accounts: tuple[Account, ...] | None = None

    @cached_property
    def by_name(self) -> dict[RouteName, Route]:
        """Return the routes by name."""
        return {route.name: route for route in self.routes}

    @cached_property
    def shortest_targets_ms(self) -> dict[ServiceName, float]:
        """Return the shortest target of the online routes to each service."""
        found: dict[ServiceName, float] = {}
        for route in self.routes:
            for share in route.shares if route.kind is not RouteKind.BATCH else ():
                known_ms = found.get(share.service, route.target_ms)
                found[share.service] = min(known_ms, route.target_ms)
        return found

    def find(self, host: str, path: str) -> Route | NoRoute:
        """Find the route of a request: the longest prefix of its host that matches the path.

        A configuration may hold thousands of routes, and each request is looked up: the number of
        lookups is only the number of different prefix lengths of the host.
        """
        routes = self._by_host.get(host)
        if routes is None:
            return NO_ROUTE
        for length in routes.lengths:
            route = routes.by_prefix.get(path[:length])
            if route is not None:
                return route
        return NO_ROUTE

    def authenticate(self, key_digest: str, *, is_public: bool) -> Account | NoAccount:
        """Find the account of a request.

        :param key_digest: digest of the key that it carries; empty without a key.
        :param is_public: whether a key is optional.
        """
        if not self.version:
            # Without a configuration every caller would look anonymous, and the jobs of accounts
            # would not exist for it.
            return NoAccount(NoAccountReason.NO_CONFIGURATION)
        if self.accounts is None:
            return ANONYMOUS_ACCOUNT
        account = self._keys.find(key_digest) if key_digest else None
        if account is not None:
            return account
        if is_public:
            return ANONYMOUS_ACCOUNT
        unknown = NoAccountReason.UNKNOWN_KEY if key_digest else NoAccountReason.NO_KEY
        return NoAccount(unknown)

    def find_account(self, account_id: TenantId) -> Account | None:
        """Find an account by its id."""
        return self._accounts_by_id.get(account_id)

    def has_public_batch(self, host: str) -> bool:
        """Return whether jobs of a host may be queried without a key."""
        routes = self._by_host.get(host)
        return routes is not None and any(
            route.is_public and route.kind is RouteKind.BATCH for route in routes.by_prefix.values()
        )

    @cached_property
    def longest_stream_ms(self) -> float:
        """Return the longest timeout of the routes for streams; 0 if there are none."""
        timeouts = (route.timeout_ms for route in self.routes if route.kind is RouteKind.STREAM)
        return max(timeouts, default=0.0)

    @cached_property
    def has_limits(self) -> bool:
        """Return whether any account's requests are counted."""
        return any(account.has_limit for account in self.accounts or ())

    @cached_property
    def _accounts_by_id(self) -> dict[TenantId, Account]:
        return {account.id: account for account in self.accounts or ()}

    @cached_property
    def _keys(self) -> KeyIndex[Account]:
        return KeyIndex((account, account.key_hashes) for account in self.accounts or ())

    @cached_property
    def _by_host(self) -> dict[str, _HostRoutes]:
        prefixes: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            # Of two routes with the same prefix the first one applies.
            prefixes.setdefault(route.host, {}).setdefault(route.prefix, route)
        return {
            host: _HostRoutes(
                by_prefix, tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True))
            )
            for host, by_prefix in prefixes.items()
        }


EMPTY_ROUTE_TABLE = RouteTable(ConfigVersion(0))
