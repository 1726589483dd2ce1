"""Chooses the backend server of an online request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.online.fleet import AFFINITY_BUCKETS
from citrondyke.decisions.online.rejection import Rejection, RejectionReason
from citrondyke.decisions.online.routing_event import (
    EjectionReason,
    ServerEjected,
    no_usable_server,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.online.fleet import Fleet, TargetServers
    from citrondyke.decisions.online.server_view import ServerView
    from citrondyke.ids import ServerId, TargetName
    from citrondyke.storage.fleet_lists import ListedServer

__all__ = ('Router',)

#: A prefix's preferred server may have up to this multiple of a sampled server's load ...
BOUNDED_LOAD = 1.25
#: ... plus this many requests, so that prefixes are not scattered at low load.
BOUNDED_LOAD_SLACK = 2
#: Servers sampled for the least-loaded choice.
SAMPLES = 4
#: A server of another zone is chosen only if it has this many requests fewer.
ZONE_SLACK = 2
FAILURES_TO_EJECT = 3
#: A server is slow if its first-token time exceeds the others' median by this factor ...
SLOW_RATIO = 3.0
#: ... and by this much, so that noise between fast servers does not eject one.
SLOW_SLACK_MS = 20.0
SLOW_SAMPLES = 5
EJECT_MS = 1000.0
MAX_EJECT_MS = 30_000.0
#: Largest share of a target's servers that may be ejected at the same time.
EJECTED_SHARE = 0.5
NO_SERVER_RETRY_MS = 1000.0


class Router:
    """Chooses by prefix affinity with bounded load, else the least loaded of a sample.

    Servers of the instance's own zone are preferred. An ejected server is used only if no other
    one is left: a slow response is better for the caller than a rejection.
    """

    def __init__(self, context: Context, fleet: Fleet) -> None:
        """Create a router for the servers of ``fleet``."""
        self._context = context
        self._fleet = fleet

    def choose(
        self,
        target: TargetName,
        prefix_bucket: int | None,
        tried: tuple[ServerId, ...] = (),
        *,
        may_use_ejected: bool = True,
        begun_at: ListedServer | None = None,
    ) -> ServerView | Rejection:
        """Choose a server.

        :param prefix_bucket: bucket of the prompt prefix's digest, if requests share one.
        :param tried: servers that this request was already sent to.
        :param may_use_ejected: whether an ejected server may be chosen if no other one is left.
        :param begun_at: server that began the response; only servers of its software version may
            continue it. ``None`` if no part of it has arrived.
        """
        servers = self._fleet.target(target)
        if servers is None:
            return Rejection(RejectionReason.NO_SERVER, NO_SERVER_RETRY_MS)
        sampled = self._sample(servers, tried, begun_at)
        if sampled is None and may_use_ejected:
            sampled = self._last_resort(servers, tried, begun_at)
        if sampled is None:
            now_ms = self._context.now_ms()
            self._context.report(no_usable_server(target, servers, len(tried), now_ms))
            return Rejection(RejectionReason.NO_SERVER, NO_SERVER_RETRY_MS)
        if prefix_bucket is None:
            return sampled
        now_ms = self._context.now_ms()
        bound = sampled.load_at(now_ms) * BOUNDED_LOAD + BOUNDED_LOAD_SLACK
        for view in servers.preferred(prefix_bucket % AFFINITY_BUCKETS):
            if self._is_usable(view, tried, begun_at) and view.load_at(now_ms) <= min(
                bound, view.online_limit - 1
            ):
                return view
        return sampled

    def has_others(
        self, target: TargetName, servers: Collection[ServerId], begun_at: ListedServer | None
    ) -> bool:
        """Return whether a server beside the given ones could continue a response."""
        found = self._fleet.target(target)
        return found is not None and any(
            view.accepts_work
            and view.is_reachable
            and view.listed.id not in servers
            and view.may_continue(begun_at)
            for view in found.views
        )

    def record_start(self, view: ServerView) -> None:
        """Count a request sent to a server."""
        view.own_online += 1
        servers = self._fleet.target(view.listed.target)
        if servers is not None:
            servers.own_online += 1

    def record_end(self, view: ServerView) -> None:
        """Count a request that ended at a server."""
        view.own_online -= 1
        servers = self._fleet.target(view.listed.target)
        if servers is not None:
            servers.own_online -= 1

    def record_failure(self, view: ServerView, *, was_unreachable: bool = False) -> None:
        """Record a failure; several consecutive ones eject the server.

        :param was_unreachable: whether the server accepted no connection.
        """
        view.failures_in_row += 1
        view.is_reachable = not was_unreachable
        if view.is_on_probation:
            self._eject(view, EjectionReason.FAILED_PROBE)
        elif view.failures_in_row >= FAILURES_TO_EJECT:
            self._eject(view, EjectionReason.FAILURES)

    def record_success(self, view: ServerView, first_frame_ms: float | None) -> None:
        """Record a response and its time to the first token."""
        view.failures_in_row = 0
        view.is_reachable = True
        if first_frame_ms is None:
            view.is_on_probation = False
            return
        self._record_first_frame(view, first_frame_ms)

    def record_expired(self, view: ServerView, waited_ms: float) -> None:
        """Record that a deadline passed before the server accepted a connection.

        The deadline may have been short, so this is no failure of the server.
        """
        self._record_first_frame(view, waited_ms)

    def _record_first_frame(self, view: ServerView, first_frame_ms: float) -> None:
        if view.is_on_probation:
            # Samples from before the ejection no longer apply.
            view.samples = 0
        view.record_first_frame(first_frame_ms)
        if self._is_slow(view):
            self._eject(view, EjectionReason.SLOW)
            return
        view.is_on_probation = False

    def _sample(
        self,
        servers: TargetServers,
        tried: tuple[ServerId, ...],
        begun_at: ListedServer | None,
    ) -> ServerView | None:
        views = servers.views
        count = len(views)
        if count <= SAMPLES:
            return self._least_loaded(views, tried, begun_at)
        draw = self._context.random.random
        picked = [views[int(draw() * count)] for _ in range(SAMPLES)]
        best = self._least_loaded(picked, tried, begun_at)
        return best or self._least_loaded(views, tried, begun_at)

    def _last_resort(
        self,
        servers: TargetServers,
        tried: tuple[ServerId, ...],
        begun_at: ListedServer | None,
    ) -> ServerView | None:
        """Choose among the servers that are ejected or probed.

        A server to which connections fail is left out: its request would only wait for another
        failure.
        """
        views = [
            view
            for view in servers.views
            if view.accepts_work
            and view.is_reachable
            and view.listed.id not in tried
            and view.may_continue(begun_at)
        ]
        now_ms = self._context.now_ms()
        return min(views, key=lambda view: view.load_at(now_ms), default=None)

    def _least_loaded(
        self,
        views: list[ServerView],
        tried: tuple[ServerId, ...],
        begun_at: ListedServer | None,
    ) -> ServerView | None:
        best: ServerView | None = None
        best_rank = 0.0
        zone = self._context.zone
        now_ms = self._context.now_ms()
        for view in views:
            if not self._is_usable(view, tried, begun_at):
                continue
            rank = float(view.load_at(now_ms) + (0 if view.listed.zone == zone else ZONE_SLACK))
            # A random fraction of a request breaks ties, so that equal servers share the load.
            rank += self._context.random.random() * 0.5
            if best is None or rank < best_rank:
                best, best_rank = view, rank
        return best

    def _is_usable(
        self, view: ServerView, tried: tuple[ServerId, ...], begun_at: ListedServer | None
    ) -> bool:
        if not view.accepts_work or view.listed.id in tried:
            return False
        if not view.may_continue(begun_at):
            return False
        if view.ejected_until_ms == 0.0:
            return True
        if view.ejected_until_ms > self._context.now_ms():
            return False
        if not view.is_on_probation:
            view.is_on_probation = True
        # On probation the server gets only one request at a time.
        return view.own_online == 0

    def _is_slow(self, view: ServerView) -> bool:
        if view.samples < SLOW_SAMPLES and not view.is_on_probation:
            return False
        servers = self._fleet.target(view.listed.target)
        if servers is None:
            return False
        others = sorted(
            other.first_frame_ms
            for other in servers.views[: SAMPLES * 4]
            if other is not view and other.samples > 0
        )
        if not others:
            return False
        median_ms = others[len(others) // 2]
        return view.first_frame_ms > max(median_ms * SLOW_RATIO, median_ms + SLOW_SLACK_MS)

    def _eject(self, view: ServerView, reason: EjectionReason) -> None:
        """Eject a server for a while, unless the others could then not carry the load."""
        now_ms = self._context.now_ms()
        servers = self._fleet.target(view.listed.target)
        views = [] if servers is None else [each for each in servers.views if each.accepts_work]
        # A server on probation gets one request at a time, so it can't carry the load either.
        ejected_count = sum(
            other.is_on_probation or other.ejected_until_ms > now_ms
            for other in views
            if other is not view
        )
        if ejected_count + 1 > max(1, int(len(views) * EJECTED_SHARE)):
            return
        pause_ms = min(EJECT_MS * 2**view.ejections, MAX_EJECT_MS)
        view.ejected_until_ms = now_ms + self._context.jittered_ms(pause_ms)
        view.ejections += 1
        self._context.report(
            ServerEjected(
                target=view.listed.target,
                server_id=view.listed.id,
                reason=reason,
                failures_in_row=view.failures_in_row,
                first_frame_ms=view.first_frame_ms,
                own_online=view.own_online,
                ejections=view.ejections,
                pause_ms=view.ejected_until_ms - now_ms,
            )
        )
        view.is_on_probation = False
        view.failures_in_row = 0
        view.samples = 0
