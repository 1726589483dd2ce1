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
    """Stands in the place of a route."""

    reason: NoRouteReason

    def __bool__(self) -> bool:
        """Count as no route."""
        return False


NO_ROUTE = NoRoute(NoRouteReason.UNKNOWN)


class _HostRoutes(msgspec.Struct, frozen=True):
    by_prefix: dict[str, Route]
    #: Lengths of the prefixes, the longest first.
    lengths: tuple[int, ...]


class RouteTable(msgspec.Struct, frozen=True, dict=True):
    """All routes of one version of the configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...] = ()
    limits: RouteLimits = RouteLimits()
    #: ``None`` where callers need no key; with an empty list nobody has one.
    accounts: tuple[Account, ...] | None = None

    @cached_property
    def by_name(self) -> dict[RouteName, Route]:
        """Give the routes by their names."""
        return {route.name: route for route in self.routes}

    @cached_property
    def shortest_targets_ms(self) -> dict[ServiceName, float]:
        """Give the shortest target of the online routes to each service."""
        found: dict[ServiceName, float] = {}
        for route in self.routes:
            for share in route.shares if route.kind is not RouteKind.BATCH else ():
                known_ms = found.get(share.service, route.target_ms)
                found[share.service] = min(known_ms, route.target_ms)
        return found

    def find(self, host: str, path: str) -> Route | NoRoute:
        """Choose the route of a request: its host's longest prefix that begins the path.

        A configuration may hold thousands of routes, and each request needs one: only as many
        looks are made as the host's prefixes have different lengths.
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
        """Find whose request it is.

        :param key_digest: of the key that it brings; empty where it brings none.
        :param is_public: whether it may come without one.
        """
        if not self.version:
            # Without a configuration everybody would look like nobody's caller, to whom the jobs
            # of accounts do not exist.
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
        """Find an account by its name."""
        return self._accounts_by_id.get(account_id)

    def has_public_batch(self, host: str) -> bool:
        """Tell whether jobs of a host may be asked for without a key."""
        routes = self._by_host.get(host)
        return routes is not None and any(
            route.is_public and route.kind is RouteKind.BATCH for route in routes.by_prefix.values()
        )

    @cached_property
    def has_limits(self) -> bool:
        """Tell whether some account's requests are counted."""
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
            # Of two with the same prefix the first counts.
            prefixes.setdefault(route.host, {}).setdefault(route.prefix, route)
        return {
            host: _HostRoutes(
                by_prefix, tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True))
            )
            for host, by_prefix in prefixes.items()
        }


EMPTY_ROUTE_TABLE = RouteTable(ConfigVersion(0))
