"""Keeps the tokens of accepted batch items within each route's bound, over all instances."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from citrondyke.decisions.batch.waiting_bound import (
    NoRoom,
    OtherShares,
    ShareStanding,
    TokenShare,
    WaitingBound,
    count_others,
)
from citrondyke.storage.failure import UNAVAILABLE, PlatformFailure
from citrondyke.storage.partitioned_table import PartCommitted, PartConflict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.gateway.owned_jobs import OwnedJobs
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.gateway.token_shares import SharesRead, TokenShares
    from citrondyke.ids import InstanceId, JobId, RouteName

__all__ = ('Reservation', 'WaitingTokens')

log = logbook.Logger(__name__)

#: How often an instance with jobs looks at the shares; near the bound so often that what it has
#: finished is told well within the second after which a job that fits must be taken.
LOOK_MS = 1_000.0
NEAR_LOOK_MS = 300.0
#: Pause after a share of somebody else grew first: a few times what the store needs for one write.
CONFLICT_MS = 15.0
#: An acceptance whose reply was lost may be done up to 6 s later; until then its tokens count.
DOUBT_MS = 8_000.0
#: Share of a new measurement in the rate at which tokens leave the count.
RATE_SHARE = 0.4


class Reservation(Enum):
    """That a job may be accepted."""

    #: Its tokens are counted.
    DONE = 'done'
    #: The route has no bound, or the job's tokens are counted already.
    NOT_NEEDED = 'not_needed'


class _Pending(msgspec.Struct, frozen=True):
    tokens: int
    until_ms: float


class _Seen(msgspec.Struct, frozen=True):
    version: int
    since_ms: float


class _RouteState:
    """What this instance knows and holds of one route."""

    def __init__(self) -> None:
        self.lock = BoundedSemaphore(1)
        #: As far as it is durable for certain.
        self.own: TokenShare | None = None
        self.own_version = 0
        #: The bound under which it was given.
        self.own_limit = 0
        #: Whether all shares were within it then. Jobs that were accepted under a larger bound, or
        #: taken over, can pass it; what they leave is no room to accept others.
        self.is_within = False
        self.pending: dict[JobId, _Pending] = {}
        self.seen: dict[str, _Seen] = {}
        self.accepted_tokens = 0
        self.left_tokens = 0
        self.used_before = 0
        self.all_left: tuple[float, int] | None = None
        self.tokens_per_s = 0.0
        self.is_near = False


class WaitingTokens:
    """Takes part in the shares of each route that has a bound."""

    def __init__(
        self,
        context: Context,
        life: str,
        shares: TokenShares,
        owned: OwnedJobs,
        heads: Callable[[], Iterable[JobHead]],
        gone_for_ms: Callable[[InstanceId, str, int, float], float | None],
        routes: Callable[[], Iterable[Route]],
        lives: Callable[[], Iterable[str]],
        overshoot: float,
    ) -> None:
        """Use the parts handed in.

        :param heads: gives the heads of the open jobs that are known.
        :param gone_for_ms: tells for how long a life of an instance has been gone, by the version
            of a row that it wrote and the time at which that was first seen; ``None`` if it is not.
        :param routes: gives the routes of the configuration.
        :param lives: gives the lives of the other instances that are known.
        :param overshoot: tolerated part of a bound beyond it.
        """
        self._context = context
        self._life = life
        self._shares = shares
        self._owned = owned
        self._heads = heads
        self._gone_for_ms = gone_for_ms
        self._routes = routes
        self._lives = lives
        self._overshoot = overshoot
        self._states: dict[RouteName, _RouteState] = {}
        self._wanted = Event()

    def start(self, tasks: Tasks, pace: Callable[[], float]) -> None:
        """Begin to keep the own shares at what is used."""
        tasks.keep(lambda: self._run(pace))

    def reserve(
        self, route: Route, job_id: JobId, tokens: int, until_ms: float
    ) -> Reservation | NoRoom | PlatformFailure:
        """Count a job's tokens before it is accepted.

        :returns: a failure where the store did not tell; the job must not be accepted then.
        """
        if not route.waiting_tokens_limit:
            return Reservation.NOT_NEEDED
        state = self._state(route.name)
        if job_id in self._owned.by_id or job_id in state.pending:
            return Reservation.NOT_NEEDED
        if not state.lock.locked() and self._fits_share(state, route, tokens):
            self._count(state, job_id, tokens)
            if not self._fits_share(state, route, tokens):
                # The next one is to find room without waiting for the store.
                self._wanted.set()
            return Reservation.DONE
        with state.lock:
            return self._reserve_by_store(state, route, job_id, tokens, until_ms)

    def settle(self, route: RouteName, job_id: JobId, *, in_doubt: bool) -> None:
        """Take in how an acceptance ended; one in doubt counts until it cannot come any more."""
        state = self._state(route)
        pending = state.pending.get(job_id)
        if pending is None:
            return
        if in_doubt:
            until_ms = self._context.now_ms() + DOUBT_MS
            state.pending[job_id] = msgspec.structs.replace(pending, until_ms=until_ms)
        else:
            del state.pending[job_id]

    def note_taken_over(self) -> None:
        """Have the own share told soon: jobs of somebody else belong to this instance now."""
        self._wanted.set()

    def leave(self) -> None:
        """Take the own shares away before a planned stop; the jobs are given back already."""
        for name, state in self._states.items():
            # With an acceptance in doubt it counts until that cannot come any more.
            if state.own is not None and not state.pending:
                self._shares.drop(name, self._life, state.own_version)

    def used(self, name: RouteName) -> int:
        """Count the tokens that wait at this instance."""
        state = self._state(name)
        now_ms = self._context.now_ms()
        for job_id in [each for each, one in state.pending.items() if one.until_ms <= now_ms]:
            del state.pending[job_id]
        by_id = self._owned.by_id
        owned = sum(job.waiting_tokens for job in by_id.values() if job.head.route == name)
        pending = sum(each.tokens for job_id, each in state.pending.items() if job_id not in by_id)
        # Accepted by this instance though it heard of it by the store only.
        unheard = sum(
            head.tokens
            for head in self._heads()
            if head.owner_life == self._life
            and head.route == name
            and head.job_id not in by_id
            and head.job_id not in state.pending
        )
        return owned + pending + unheard

    def look(self, route: Route) -> None:
        """Bring the own share to what is used, and the knowledge of the others up to date."""
        state = self._state(route.name)
        used = self.used(route.name)
        if not used and state.own is None:
            return
        with state.lock:
            read = self._read(state, route)
            if isinstance(read, PlatformFailure):
                return
            used = self.used(route.name)
            self._note_left(state, used)
            others = self._others(state, route, read)
            bound = self._bound(route)
            state.is_near = bound.is_near(others.used + used)
            self._note_rate(state, others)
            held = bound.share_for(used, others)
            is_within = bound.is_within(held, others)
            self._write_own(state, route, read, used, held, is_within=is_within)
            self._drop_gone(state, route, read)

    def _run(self, pace: Callable[[], float]) -> None:
        while True:
            is_near = any(state.is_near for state in self._states.values())
            pause_ms = (NEAR_LOOK_MS if is_near else LOOK_MS) * pace()
            self._wanted.wait(self._context.jittered_ms(pause_ms) / 1e3)
            self._wanted.clear()
            for route in self._routes():
                if route.waiting_tokens_limit:
                    self.look(route)

    def _reserve_by_store(
        self, state: _RouteState, route: Route, job_id: JobId, tokens: int, until_ms: float
    ) -> Reservation | NoRoom | PlatformFailure:
        bound = self._bound(route)
        is_fresh = False
        while True:
            if self._fits_share(state, route, tokens):
                self._count(state, job_id, tokens)
                return Reservation.DONE
            read = self._read(state, route, is_fresh=is_fresh)
            if isinstance(read, PlatformFailure):
                return read
            used = self.used(route.name)
            others = self._others(state, route, read)
            state.is_near = bound.is_near(others.used + used)
            decided = bound.decide(used, tokens, others, state.tokens_per_s)
            if isinstance(decided, NoRoom):
                self._log_no_room(route, job_id, tokens, used, others, decided)
                return decided
            self._count(state, job_id, tokens)
            share = self._share(state, decided.held, used + tokens)
            answer = self._shares.grow(route.name, read, share)
            if isinstance(answer, PartCommitted):
                self._take_own(state, share, answer.version, route, is_within=True)
                return Reservation.DONE
            self._uncount(state, job_id, tokens)
            if isinstance(answer, PlatformFailure):
                return answer
            # Somebody else's share grew first, or the read was seconds old.
            is_fresh = True
            pause_ms = self._context.jittered_ms(CONFLICT_MS, share=0.9)
            if self._context.now_ms() + pause_ms >= until_ms:
                return UNAVAILABLE
            gevent.sleep(pause_ms / 1e3)

    def _fits_share(self, state: _RouteState, route: Route, tokens: int) -> bool:
        if state.own is None or state.own_limit != route.waiting_tokens_limit:
            return False
        if not state.is_within:
            return False
        return self.used(route.name) + tokens <= state.own.held

    def _count(self, state: _RouteState, job_id: JobId, tokens: int) -> None:
        # Longer than an acceptance is tried for; it is settled before.
        until_ms = self._context.now_ms() + DOUBT_MS
        state.pending[job_id] = _Pending(tokens, until_ms)
        state.accepted_tokens += tokens

    @staticmethod
    def _uncount(state: _RouteState, job_id: JobId, tokens: int) -> None:
        state.pending.pop(job_id, None)
        state.accepted_tokens -= tokens

    def _read(
        self, state: _RouteState, route: Route, *, is_fresh: bool = False
    ) -> SharesRead | PlatformFailure:
        if is_fresh:
            lives = {self._life, *state.seen, *self._lives()}
            read = self._shares.read_fresh(route.name, sorted(lives))
        else:
            read = self._shares.read(route.name)
        if isinstance(read, PlatformFailure):
            return read
        now_ms = self._context.now_ms()
        for life, version in read.versions.items():
            seen = state.seen.get(life)
            if seen is None or seen.version != version:
                state.seen[life] = _Seen(version, now_ms)
        for life in [each for each in state.seen if each not in read.versions]:
            del state.seen[life]
        own, version = read.shares.get(self._life), read.versions.get(self._life, 0)
        if own is not None and version > state.own_version:
            # A write whose reply was lost.
            state.own, state.own_version = own, version
        return read

    def _others(self, state: _RouteState, route: Route, read: SharesRead) -> OtherShares:
        def standing(life: str, share: TokenShare) -> ShareStanding:
            seen = state.seen[life]
            gone_ms = self._gone_for_ms(share.instance, life, seen.version, seen.since_ms)
            if gone_ms is None:
                return ShareStanding.ALIVE
            return ShareStanding.DOUBTFUL if gone_ms < DOUBT_MS else ShareStanding.GONE

        return count_others(read.shares, self._life, standing, self._heads(), route.name)

    def _bound(self, route: Route) -> WaitingBound:
        instances_count = len(list(self._lives())) + 1
        return WaitingBound(route.waiting_tokens_limit, self._overshoot, instances_count)

    def _share(self, state: _RouteState, held: int, used: int) -> TokenShare:
        return TokenShare(self._context.instance_id, held, used, state.left_tokens)

    def _take_own(
        self, state: _RouteState, share: TokenShare, version: int, route: Route, *, is_within: bool
    ) -> None:
        state.own, state.own_version = share, version
        state.own_limit = route.waiting_tokens_limit
        state.is_within = is_within

    def _note_left(self, state: _RouteState, used: int) -> None:
        left = state.used_before + state.accepted_tokens - used
        state.left_tokens += max(0, left)
        state.used_before, state.accepted_tokens = used, 0

    def _note_rate(self, state: _RouteState, others: OtherShares) -> None:
        """Learn at which rate tokens leave the count of all instances."""
        now_ms, left = self._context.now_ms(), others.left + state.left_tokens
        if state.all_left is not None:
            before_ms, before = state.all_left
            if now_ms - before_ms < NEAR_LOOK_MS:
                return
            measured = max(0, left - before) / (now_ms - before_ms) * 1e3
            state.tokens_per_s += RATE_SHARE * (measured - state.tokens_per_s)
        state.all_left = (now_ms, left)

    def _write_own(
        self,
        state: _RouteState,
        route: Route,
        read: SharesRead,
        used: int,
        held: int,
        *,
        is_within: bool,
    ) -> None:
        own = state.own
        is_current = own is not None and state.own_limit == route.waiting_tokens_limit
        spare = held - used
        if own is not None and is_current and state.is_within == is_within:
            is_enough = own.held - used >= spare / 2
            is_little = own.held - used <= 2 * spare
            is_told = own.used == used or (not state.is_near and abs(own.used - used) <= spare)
            if is_enough and is_little and is_told:
                return
        share = self._share(state, held, used)
        if own is None or held > own.held:
            answer = self._shares.grow(route.name, read, share)
        else:
            answer = self._shares.shrink(route.name, state.own_version, share)
        if isinstance(answer, PartCommitted):
            self._take_own(state, share, answer.version, route, is_within=is_within)
            log.info('tokens.share', extra={'route': route.name, 'held': held, 'used': used})
        elif isinstance(answer, PartConflict):
            # The next look reads anew.
            self._wanted.set()
        else:
            log.info(
                'tokens.share_not_written',
                extra={'route': route.name, 'used': used, 'reason': answer.reason.value},
            )

    def _drop_gone(self, state: _RouteState, route: Route, read: SharesRead) -> None:
        for life, share in read.shares.items():
            seen = state.seen[life]
            gone_ms = self._gone_for_ms(share.instance, life, seen.version, seen.since_ms)
            if life != self._life and gone_ms is not None and gone_ms >= DOUBT_MS:
                self._shares.drop(route.name, life, seen.version)

    def _state(self, name: RouteName) -> _RouteState:
        return self._states.setdefault(name, _RouteState())

    @staticmethod
    def _log_no_room(
        route: Route,
        job_id: JobId,
        tokens: int,
        used: int,
        others: OtherShares,
        no_room: NoRoom,
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
                'excess': no_room.excess,
                'retry_in_ms': no_room.retry_in_ms,
            },
        )
