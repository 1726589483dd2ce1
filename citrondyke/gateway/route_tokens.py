"""The part of one instance in the bound on waiting batch tokens of a route."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent.lock import BoundedSemaphore

from citrondyke.decisions.batch.drain_rate import DrainRate
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
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.gateway.fleet_facts import FleetFacts
    from citrondyke.gateway.owned_jobs import OwnedJobs
    from citrondyke.gateway.token_shares import SharesRead, TokenShares
    from citrondyke.ids import JobId, RouteName

__all__ = ('NEAR_LOOK_MS', 'Reservation', 'RouteTokens')

log = logbook.Logger(__name__)

#: How often an instance with jobs looks at the shares near the bound: what it has finished is told
#: well within the second after which a job that fits must be taken.
NEAR_LOOK_MS = 300.0
#: Pause after a share of somebody else grew first: a few times what the store needs for one write.
CONFLICT_MS = 15.0
#: An acceptance whose reply was lost may be done up to 6 s later; until then its tokens count.
DOUBT_MS = 8_000.0


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


class RouteTokens:
    """Reserves room for jobs, and tells the others what is used."""

    def __init__(
        self,
        context: Context,
        life: str,
        name: RouteName,
        shares: TokenShares,
        owned: OwnedJobs,
        facts: FleetFacts,
        overshoot: float,
        look_again: Callable[[], None],
    ) -> None:
        """Hold nothing yet.

        :param overshoot: tolerated part of the bound beyond it.
        :param look_again: asks for a look soon.
        """
        self._context = context
        self._life = life
        self._name = name
        self._shares = shares
        self._owned = owned
        self._facts = facts
        self._overshoot = overshoot
        self._look_again = look_again
        self._lock = BoundedSemaphore(1)
        #: The own share as far as it is durable for certain.
        self._own: TokenShare | None = None
        self._own_version = 0
        #: The bound under which it was given.
        self._own_limit = 0
        #: Whether all shares were within it then. Jobs that were accepted under a larger bound, or
        #: taken over, can pass it; what they leave is no room to accept others.
        self._is_within = False
        self._pending: dict[JobId, _Pending] = {}
        self._seen: dict[str, _Seen] = {}
        self._rate = DrainRate()
        #: Whether the bound is near, so that what is finished must be told soon.
        self.is_near = False

    def reserve(
        self, route: Route, job_id: JobId, tokens: int, until_ms: float
    ) -> Reservation | NoRoom | PlatformFailure:
        """Count a job's tokens before it is accepted.

        :returns: a failure where the store did not tell; the job must not be accepted then.
        """
        if job_id in self._owned.by_id or job_id in self._pending:
            return Reservation.NOT_NEEDED
        if not self._lock.locked() and self._fits_share(route, tokens):
            self._count(job_id, tokens)
            if not self._fits_share(route, tokens):
                # The next one is to find room without waiting for the store.
                self._look_again()
            return Reservation.DONE
        with self._lock:
            return self._reserve_by_store(route, job_id, tokens, until_ms)

    def settle(self, job_id: JobId, *, in_doubt: bool) -> None:
        """Take in how an acceptance ended; one in doubt counts until it cannot come any more."""
        pending = self._pending.get(job_id)
        if pending is None:
            return
        if in_doubt:
            until_ms = self._context.now_ms() + DOUBT_MS
            self._pending[job_id] = msgspec.structs.replace(pending, until_ms=until_ms)
        else:
            del self._pending[job_id]

    def withdraw(self) -> PlatformFailure | None:
        """Take the own share away before jobs are accepted without a bound.

        With it others would go by what it says if the bound came back. Without it they count this
        instance's jobs by their heads.
        """
        if self._own is None:
            return None
        with self._lock:
            if self._own is None:
                return None
            answer = self._shares.drop(self._name, self._life, self._own_version)
            if isinstance(answer, PlatformFailure):
                return answer
            if isinstance(answer, PartConflict):
                # A write whose reply was lost; the next read shows its version.
                self._refresh()
                return UNAVAILABLE
            self._own = None
        return None

    def leave(self) -> None:
        """Take the own share away before a planned stop; the jobs are given back already."""
        # With an acceptance in doubt it counts until that cannot come any more.
        if self._own is not None and not self._pending:
            self._shares.drop(self._name, self._life, self._own_version)

    def used(self) -> int:
        """Count the tokens that wait at this instance."""
        now_ms = self._context.now_ms()
        for job_id in [each for each, one in self._pending.items() if one.until_ms <= now_ms]:
            del self._pending[job_id]
        by_id = self._owned.by_id
        owned = sum(job.waiting_tokens for job in by_id.values() if job.head.route == self._name)
        pending = sum(each.tokens for job_id, each in self._pending.items() if job_id not in by_id)
        # Accepted by this instance though it heard of it by the store only.
        unheard = sum(
            head.tokens
            for head in self._facts.heads()
            if head.owner_life == self._life
            and head.route == self._name
            and head.job_id not in by_id
            and head.job_id not in self._pending
        )
        return owned + pending + unheard

    def look(self, route: Route) -> None:
        """Bring the own share to what is used, and the knowledge of the others up to date.

        An instance without a job holds a small share too, so that a job that fits into it costs no
        call of the store besides the acceptance.
        """
        if not self.used() and self._is_share_right(route):
            return
        with self._lock:
            read = self._read(route)
            if isinstance(read, PlatformFailure):
                return
            used = self.used()
            self._rate.note_used(used)
            others = self._others(route, read)
            bound = self._bound(route)
            self.is_near = bound.is_near(others.used + used)
            self._rate.note_others(others.left, self._context.now_ms())
            held = bound.share_for(used, others)
            is_within = bound.is_within(held, others)
            self._write_own(route, read, used, held, is_within=is_within)
            self._drop_gone(route, read)

    def _reserve_by_store(
        self, route: Route, job_id: JobId, tokens: int, until_ms: float
    ) -> Reservation | NoRoom | PlatformFailure:
        bound = self._bound(route)
        is_fresh = False
        while True:
            if self._fits_share(route, tokens):
                self._count(job_id, tokens)
                return Reservation.DONE
            read = self._read(route, is_fresh=is_fresh)
            if isinstance(read, PlatformFailure):
                return read
            used = self.used()
            others = self._others(route, read)
            self.is_near = bound.is_near(others.used + used)
            decided = bound.decide(used, tokens, others, self._rate.tokens_per_s)
            if isinstance(decided, NoRoom):
                self._log_no_room(route, job_id, tokens, used, others, decided)
                return decided
            self._count(job_id, tokens)
            share = self._share(decided.held, used + tokens)
            answer = self._shares.grow(route.name, read, share)
            if isinstance(answer, PartCommitted):
                self._take_own(share, answer.version, route, is_within=True)
                return Reservation.DONE
            self._uncount(job_id, tokens)
            if isinstance(answer, PlatformFailure):
                return answer
            # Somebody else's share grew first, or the read was seconds old.
            is_fresh = True
            pause_ms = self._context.jittered_ms(CONFLICT_MS, share=0.9)
            if self._context.now_ms() + pause_ms >= until_ms:
                return UNAVAILABLE
            gevent.sleep(pause_ms / 1e3)

    def _fits_share(self, route: Route, tokens: int) -> bool:
        if self._own is None or self._own_limit != route.waiting_tokens_limit:
            return False
        if not self._is_within:
            return False
        return self.used() + tokens <= self._own.held

    def _is_share_right(self, route: Route) -> bool:
        if self._own is None or self._own_limit != route.waiting_tokens_limit:
            return False
        return self._is_within and self._bound(route).is_spare_right(self._own.held, 0)

    def _count(self, job_id: JobId, tokens: int) -> None:
        # Longer than an acceptance is tried for; it is settled before.
        until_ms = self._context.now_ms() + DOUBT_MS
        self._pending[job_id] = _Pending(tokens, until_ms)
        self._rate.note_accepted(tokens)

    def _uncount(self, job_id: JobId, tokens: int) -> None:
        self._pending.pop(job_id, None)
        self._rate.note_accepted(-tokens)

    def _refresh(self) -> None:
        read = self._shares.read_fresh(self._name, [self._life])
        if isinstance(read, PlatformFailure):
            return
        self._own = read.shares.get(self._life)
        self._own_version = read.versions.get(self._life, self._own_version)

    def _read(self, route: Route, *, is_fresh: bool = False) -> SharesRead | PlatformFailure:
        if is_fresh:
            lives = {self._life, *self._seen, *self._facts.lives()}
            read = self._shares.read_fresh(route.name, sorted(lives))
        else:
            read = self._shares.read(route.name)
        if isinstance(read, PlatformFailure):
            return read
        now_ms = self._context.now_ms()
        for life, version in read.versions.items():
            seen = self._seen.get(life)
            if seen is None or seen.version != version:
                self._seen[life] = _Seen(version, now_ms)
        for life in [each for each in self._seen if each not in read.versions]:
            del self._seen[life]
        own, version = read.shares.get(self._life), read.versions.get(self._life, 0)
        if own is not None and version > self._own_version:
            # A write whose reply was lost.
            self._own, self._own_version = own, version
        return read

    def _others(self, route: Route, read: SharesRead) -> OtherShares:
        def standing(life: str, share: TokenShare) -> ShareStanding:
            seen = self._seen[life]
            gone_ms = self._facts.gone_for_ms(share.instance, life, seen.version, seen.since_ms)
            if gone_ms is None:
                return ShareStanding.ALIVE
            return ShareStanding.DOUBTFUL if gone_ms < DOUBT_MS else ShareStanding.GONE

        return count_others(read.shares, self._life, standing, self._facts.heads(), route.name)

    def _bound(self, route: Route) -> WaitingBound:
        instances_count = len(list(self._facts.lives())) + 1
        return WaitingBound(route.waiting_tokens_limit, self._overshoot, instances_count)

    def _share(self, held: int, used: int) -> TokenShare:
        return TokenShare(self._context.instance_id, held, used, self._rate.left)

    def _take_own(self, share: TokenShare, version: int, route: Route, *, is_within: bool) -> None:
        self._own, self._own_version = share, version
        self._own_limit = route.waiting_tokens_limit
        self._is_within = is_within

    def _write_own(
        self,
        route: Route,
        read: SharesRead,
        used: int,
        held: int,
        *,
        is_within: bool,
    ) -> None:
        own = self._own
        is_current = self._own_limit == route.waiting_tokens_limit
        spare = held - used
        if own is not None and is_current and self._is_within == is_within:
            is_right = self._bound(route).is_spare_right(own.held, used) or own.held == held
            is_told = own.used == used or (not self.is_near and abs(own.used - used) <= spare)
            if is_right and is_told:
                return
        share = self._share(held, used)
        if own is None or held > own.held:
            answer = self._shares.grow(route.name, read, share)
        else:
            answer = self._shares.shrink(route.name, self._own_version, share)
        if isinstance(answer, PartCommitted):
            self._take_own(share, answer.version, route, is_within=is_within)
            log.info('tokens.share', extra={'route': route.name, 'held': held, 'used': used})
            return
        # The next look tries again. At once would be in vain where reads are seconds old: each
        # instance would read and write as fast as the store answers until they are not.
        reason = 'conflict' if isinstance(answer, PartConflict) else answer.reason.value
        log.info(
            'tokens.share_not_written',
            extra={'route': route.name, 'used': used, 'reason': reason},
        )

    def _drop_gone(self, route: Route, read: SharesRead) -> None:
        for life, share in read.shares.items():
            seen = self._seen[life]
            gone_ms = self._facts.gone_for_ms(share.instance, life, seen.version, seen.since_ms)
            if life != self._life and gone_ms is not None and gone_ms >= DOUBT_MS:
                self._shares.drop(route.name, life, seen.version)

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
