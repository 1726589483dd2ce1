"""Keeps the tokens of accepted batch items within the fleet-wide backlog limits.

A limit applies to a route or, where callers have accounts, to each account on the route.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event

from citrondyke.decisions.accounts.account import ANONYMOUS_ACCOUNT
from citrondyke.decisions.batch.job import backlog_name_of
from citrondyke.gateway.failure_log import FailureLog
from citrondyke.gateway.jobs.route_backlog_limiter import (
    NEAR_LIMIT_POLL_MS,
    BacklogReservation,
    RouteBacklogLimiter,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.batch.backlog_limit import BacklogFull
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.decisions.forwarding.route_table import RouteTable
    from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
    from citrondyke.gateway.jobs.token_shares import TokenShares
    from citrondyke.gateway.replication.fleet_queries import FleetQueries
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import ConfigVersion, JobId, RouteName, TenantId
    from citrondyke.storage.failure import PlatformFailure

__all__ = ('BacklogLimiter',)

#: Poll interval of the shares while the backlog is far below the limit. An instance releases tokens
#: that it holds unused within two polls.
POLL_MS = 1_000.0
#: Shortest pause between requested polls: each job in a burst uses up the unused part of the share
#: and requests one.
SHORTEST_POLL_MS = 50.0


class BacklogLimiter:
    """Reserves backlog tokens on every route that has a limit, and keeps this instance's shares."""

    def __init__(
        self,
        context: Context,
        incarnation: str,
        shares: TokenShares,
        owned: OwnedJobs,
        queries: FleetQueries,
        config: Callable[[], RouteTable],
        overshoot: float,
    ) -> None:
        """Initialize the limiter.

        :param incarnation: identifies the current incarnation of this instance.
        :param config: returns the current route table.
        :param overshoot: permitted excess over a limit, as a fraction of the limit.
        """
        self._context = context
        self._incarnation = incarnation
        self._shares = shares
        self._owned = owned
        self._queries = queries
        self._config = config
        self._overshoot = overshoot
        #: Keyed by the name of the limit.
        self._by_limit: dict[RouteName, RouteBacklogLimiter] = {}
        #: Routes and accounts of jobs that callers submitted to this instance.
        self._used_routes: set[tuple[RouteName, TenantId]] = set()
        self._poll_requested = Event()
        self._failures = FailureLog(context.clock, 'task')

    def start(self, tasks: Tasks, store_interval_factor: Callable[[], float]) -> None:
        """Start adjusting this instance's shares to the tokens in use.

        :param store_interval_factor: returns the factor by which store calls are rarer than in a
            small fleet.
        """
        self._failures = tasks.failures
        tasks.supervise(lambda: self._run(store_interval_factor))

    def reserve(
        self,
        route: Route,
        job_id: JobId,
        tokens: int,
        until_ms: float,
        account: TenantId = ANONYMOUS_ACCOUNT.id,
    ) -> BacklogReservation | BacklogFull | PlatformFailure:
        """Reserve a job's tokens before it is accepted.

        :param until_ms: time after which no further attempt is made.
        :param account: account that submitted the job.
        :returns: a failure if the store call failed; the job must not be accepted then.
        """
        config = self._config()
        # The route may be from a configuration that was replaced while the body was read.
        self._used_routes.add((route.name, account))
        route = _named_by_limit(config.by_name.get(route.name, route), account)
        if not route.waiting_tokens_limit:
            known = self._by_limit.get(route.name)
            failure = None if known is None else known.withdraw()
            return BacklogReservation.NOT_NEEDED if failure is None else failure
        return self._limiter_of(route.name).reserve(route, config.version, job_id, tokens, until_ms)

    def settle(self, limit_name: RouteName, job_id: JobId, *, is_uncertain: bool) -> None:
        """Record the outcome of an acceptance.

        :param is_uncertain: the write may be applied late; the job counts until this is ruled out.
        """
        if limit_name in self._by_limit:
            self._by_limit[limit_name].settle(job_id, is_uncertain=is_uncertain)

    def record_taken_over(self) -> None:
        """Request a poll: this instance has taken over jobs, and its shares must include them."""
        self._poll_requested.set()

    def shutdown(self) -> None:
        """Stop accepting jobs before a planned stop; their ownership is released afterwards."""
        # A submission may add a limit meanwhile.
        for tokens in list(self._by_limit.values()):
            tokens.shutdown()

    def poll(self, route: Route, config_version: ConfigVersion) -> None:
        """Adjust this instance's share of a route to the tokens in use."""
        self._limiter_of(route.name).poll(route, config_version)

    def _run(self, store_interval_factor: Callable[[], float]) -> None:
        while True:
            is_near_limit = any(tokens.is_near_limit for tokens in self._by_limit.values())
            pause_ms = (NEAR_LIMIT_POLL_MS if is_near_limit else POLL_MS) * store_interval_factor()
            self._poll_requested.wait(self._context.jittered_ms(pause_ms) / 1e3)
            gevent.sleep(SHORTEST_POLL_MS / 1e3)
            self._poll_requested.clear()
            config = self._config()
            for route in self._routes_to_poll(config):
                # One route must not keep the shares of the others as they are.
                self._failures.attempt('BacklogLimiter.poll', self._poll_route, route, config)

    def _poll_route(self, route: Route, config: RouteTable) -> None:
        if route.waiting_tokens_limit:
            self.poll(route, config.version)
        elif route.name in self._by_limit:
            self._by_limit[route.name].withdraw()

    def _routes_to_poll(self, config: RouteTable) -> Iterable[Route]:
        """Return the routes named by their limits, with only the accounts used at this instance."""
        if config.accounts is None:
            return config.routes
        heads = [job.head for job in self._owned.by_id.values()]
        used = self._used_routes | {(head.route, head.account) for head in heads}
        return [
            _named_by_limit(config.by_name[name], account)
            for name, account in sorted(used)
            if name in config.by_name
        ]

    def _limiter_of(self, name: RouteName) -> RouteBacklogLimiter:
        if name not in self._by_limit:
            self._by_limit[name] = RouteBacklogLimiter(
                self._context,
                self._incarnation,
                name,
                self._shares,
                self._owned,
                self._queries,
                self._overshoot,
                self._poll_requested.set,
            )
        return self._by_limit[name]


def _named_by_limit(route: Route, account: TenantId) -> Route:
    """Return a route under the name of its limit."""
    return msgspec.structs.replace(route, name=backlog_name_of(route.name, account))
