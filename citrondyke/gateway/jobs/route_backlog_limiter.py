"""The part of one instance in the fleet-wide backlog limit of a route."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import gevent
import logbook
from gevent.lock import BoundedSemaphore

from citrondyke.decisions.batch.backlog_limit import (
    NO_CONFIGURATION,
    BacklogFull,
    BacklogLimit,
    PeerShares,
    TokenShare,
)
from citrondyke.decisions.batch.drain_rate import DrainRate
from citrondyke.gateway.jobs.backlog_count import BacklogCount
from citrondyke.gateway.jobs.observed_shares import ObservedShares
from citrondyke.gateway.jobs.own_token_share import OwnTokenShare
from citrondyke.storage.failure import UNAVAILABLE, PlatformFailure
from citrondyke.storage.partitioned_table import PartCommitted

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
    from citrondyke.gateway.jobs.token_shares import SharesRead, TokenShares
    from citrondyke.gateway.replication.fleet_queries import FleetQueries
    from citrondyke.ids import ConfigVersion, JobId, RouteName

__all__ = ('NEAR_LIMIT_POLL_MS', 'BacklogReservation', 'RouteBacklogLimiter')

log = logbook.Logger(__name__)

#: Poll interval of the shares near the limit, for instances with jobs. A job that fits must be
#: accepted within a second, and finished tokens are published well within that time.
NEAR_LIMIT_POLL_MS = 300.0
#: Pause after a conflict with the growth of a peer's share: a few times the latency of a write.
CONFLICT_MS = 15.0


class BacklogReservation(Enum):
    """Reservation that allows a job to be accepted."""

    #: The job's tokens are reserved.
    DONE = 'done'
    #: The route has no limit, or the job's tokens are counted already.
    NOT_NEEDED = 'not_needed'


class RouteBacklogLimiter:
    """Reserves backlog tokens for jobs, and publishes the tokens in use in a stored share."""

    def __init__(
        self,
        context: Context,
        incarnation: str,
        name: RouteName,
        shares: TokenShares,
        owned: OwnedJobs,
        queries: FleetQueries,
        overshoot: float,
        request_poll: Callable[[], None],
    ) -> None:
        """Start without a share.

        :param incarnation: identifies the current incarnation of this instance.
        :param name: name of the limit.
        :param overshoot: permitted excess over the limit, as a fraction of the limit.
        :param request_poll: requests an early poll.
        """
        self._context = context
        self._incarnation = incarnation
        self._name = name
        self._shares = shares
        self._queries = queries
        self._overshoot = overshoot
        self._request_poll = request_poll
        self._lock = BoundedSemaphore(1)
        self._own = OwnTokenShare(name, incarnation, shares)
        self._is_shutting_down = False
        self._count = BacklogCount(context, incarnation, name, owned, queries)
        self._observed = ObservedShares(context, incarnation, queries)
        self._rate = DrainRate()
        #: Whether the backlog is near the limit, so that finished tokens must be published soon.
        self.is_near_limit = False

    def reserve(
        self,
        route: Route,
        config_version: ConfigVersion,
        job_id: JobId,
        tokens: int,
        until_ms: float,
    ) -> BacklogReservation | BacklogFull | PlatformFailure:
        """Reserve a job's tokens before it is accepted.

        :param config_version: version of the configuration that the route is from.
        :param until_ms: time after which no further attempt is made.
        :returns: a failure if the store call failed; the job must not be accepted then.
        """
        if self._count.has(job_id):
            return BacklogReservation.NOT_NEEDED
        if not self._lock.locked() and self._fits_own_share(config_version, tokens):
            self._add(job_id, tokens)
            if not self._fits_own_share(config_version, tokens):
                # So that the next job finds headroom in the share and needs no store call.
                self._request_poll()
            return BacklogReservation.DONE
        with self._lock:
            return self._reserve_by_store(route, config_version, job_id, tokens, until_ms)

    def settle(self, job_id: JobId, *, is_uncertain: bool) -> None:
        """Record the outcome of an acceptance.

        :param is_uncertain: the write may be applied late; the job counts until this is ruled out.
        """
        self._count.settle(job_id, is_uncertain=is_uncertain)

    def withdraw(self) -> PlatformFailure | None:
        """Remove this instance's share before jobs are accepted without a limit.

        A remaining share would be outdated if the limit was configured again, and peers would rely
        on it. Without a share peers count this instance's jobs by their heads.
        """
        if self._own.share is None and not self._own.is_uncertain:
            return None
        with self._lock:
            used = self._count.used()
            return self._own.withdraw(self._share(used, used, NO_CONFIGURATION))

    def shutdown(self) -> None:
        """Stop accepting jobs before a planned stop; their ownership is released afterwards.

        Peers count the share from then on like the share of a dead incarnation. An uncertain
        acceptance may still take effect late, and peers may not know of a job that was accepted a
        moment ago: if the share were removed, its tokens would be granted to others and the limit
        would be exceeded.
        """
        # Counted before the lock is acquired, since jobs may be released during that wait.
        used, finished = self._count.used(), self._count.finished()
        self._is_shutting_down = True
        with self._lock:
            self._own.mark_left(used, finished)

    def poll(self, route: Route, config_version: ConfigVersion) -> None:
        """Adjust this instance's share to the tokens in use, and refresh the peers' shares.

        An instance without jobs also holds a small share, so that a job that fits into it needs no
        store call besides the acceptance.
        """
        if not self._count.used() and self._is_share_adequate(route, config_version):
            return
        with self._lock:
            read = self._read(route)
            if isinstance(read, PlatformFailure) or self._is_shutting_down:
                return
            used = self._count.used()
            self._rate.record_used(used)
            others = self._observed.sum_others(read, route.name)
            backlog_limit = self._backlog_limit(route)
            self.is_near_limit = backlog_limit.is_near_limit(others.used + used)
            self._rate.record_peer_usage(others.left, self._context.now_ms())
            held = backlog_limit.share_to_hold(used, others)
            is_within_ceiling = backlog_limit.is_within_ceiling(held, others)
            share = self._share(
                held, used, config_version if is_within_ceiling else NO_CONFIGURATION
            )
            if self._must_write(backlog_limit, share):
                self._own.write(read, share)
            for incarnation, version in self._observed.dead(read):
                self._shares.drop(route.name, incarnation, version)

    def _reserve_by_store(
        self,
        route: Route,
        config_version: ConfigVersion,
        job_id: JobId,
        tokens: int,
        until_ms: float,
    ) -> BacklogReservation | BacklogFull | PlatformFailure:
        backlog_limit = self._backlog_limit(route)
        is_fresh = False
        while not self._is_shutting_down:
            if self._fits_own_share(config_version, tokens):
                self._add(job_id, tokens)
                return BacklogReservation.DONE
            read = self._read(route, is_fresh=is_fresh)
            if isinstance(read, PlatformFailure):
                return read
            used = self._count.used()
            others = self._observed.sum_others(read, route.name)
            self.is_near_limit = backlog_limit.is_near_limit(others.used + used)
            decided = backlog_limit.check(used, tokens, others, self._rate.tokens_per_s)
            if isinstance(decided, BacklogFull):
                self._log_backlog_full(route, job_id, tokens, used, others, decided)
                return decided
            self._add(job_id, tokens)
            share = self._share(decided.held, used + tokens, config_version)
            answer = self._own.grow(read, share)
            if isinstance(answer, PartCommitted):
                return BacklogReservation.DONE
            self._undo_reservation(job_id, tokens)
            if isinstance(answer, PlatformFailure):
                self._request_poll()
                return answer
            # A peer's share grew first, or the read was seconds old.
            is_fresh = True
            pause_ms = self._context.jittered_ms(CONFLICT_MS, share=0.9)
            if self._context.now_ms() + pause_ms >= until_ms:
                break
            gevent.sleep(pause_ms / 1e3)
        return UNAVAILABLE

    def _fits_own_share(self, config_version: ConfigVersion, tokens: int) -> bool:
        if self._is_shutting_down:
            return False
        return self._own.allows(config_version, self._count.used() + tokens)

    def _is_share_adequate(self, route: Route, config_version: ConfigVersion) -> bool:
        share = self._own.share
        if share is None or not self._own.is_certain_at_version(config_version):
            return False
        return self._backlog_limit(route).is_headroom_in_range(share.held, 0)

    def _add(self, job_id: JobId, tokens: int) -> None:
        self._count.add(job_id, tokens)
        self._rate.record_accepted(tokens)

    def _undo_reservation(self, job_id: JobId, tokens: int) -> None:
        self._count.remove(job_id)
        self._rate.record_accepted(-tokens)

    def _read(self, route: Route, *, is_fresh: bool = False) -> SharesRead | PlatformFailure:
        if is_fresh:
            incarnations = {
                self._incarnation,
                *self._observed.incarnations(),
                *self._queries.lives(),
            }
            read = self._shares.read_fresh(route.name, sorted(incarnations))
        else:
            read = self._shares.read(route.name)
        if isinstance(read, PlatformFailure):
            return read
        self._observed.observe(read)
        self._own.apply_read(read)
        return read

    def _backlog_limit(self, route: Route) -> BacklogLimit:
        instances_count = len(list(self._queries.lives())) + 1
        return BacklogLimit(route.waiting_tokens_limit, self._overshoot, instances_count)

    def _share(self, held: int, used: int, config_version: ConfigVersion) -> TokenShare:
        return TokenShare(
            self._context.instance_id,
            held,
            used,
            self._rate.left,
            config_version,
            self._count.finished(),
        )

    def _must_write(self, backlog_limit: BacklogLimit, share: TokenShare) -> bool:
        own = self._own.share
        if own is None or not self._own.is_certain_at_version(share.config_version):
            return True
        is_adequate = (
            backlog_limit.is_headroom_in_range(own.held, share.used) or own.held == share.held
        )
        deviation = max(abs(own.used - share.used), abs(own.finished - share.finished))
        return not is_adequate or deviation > (0 if self.is_near_limit else share.held - share.used)

    @staticmethod
    def _log_backlog_full(
        route: Route,
        job_id: JobId,
        tokens: int,
        used: int,
        others: PeerShares,
        backlog_full: BacklogFull,
    ) -> None:
        log.info(
            'tokens.no_room',
            extra={
                'job_id': job_id,
                'route': route.name,
                'tokens': tokens,
                'limit': route.waiting_tokens_limit,
                'used_here': used,
                'used_elsewhere': others.used,
                'held_elsewhere': others.held,
                'excess': backlog_full.excess,
                'retry_in_ms': backlog_full.retry_in_ms,
            },
        )
