"""Looks after backend servers: their load, their online notices, their batch work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.ops import SendPeer, poll_load, sleep_until
from citrondyke.decisions.membership.peer_messages import OnlineNotice, ServerState
from citrondyke.decisions.membership.stewards import steward_of
from citrondyke.decisions.sharing.engine_share import EngineShare, engine_share
from citrondyke.decisions.sharing.service_share import service_share
from citrondyke.ids import ServerId, TargetName

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.configuration.config_replica import ConfigReplica
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.membership.members import Members
    from citrondyke.decisions.online.fleet import Fleet
    from citrondyke.decisions.online.server_view import ServerView
    from citrondyke.decisions.sharing.server_share import ServerShare
    from citrondyke.ids import InstanceId, RequestId

__all__ = ('SERVICE_PREFIX', 'Steward', 'StewardTimings')

SERVICE_PREFIX = 'service:'
#: Used until an engine has reported its own limit of streams.
INITIAL_MAX_RUNNING = 128
DEFAULT_GAP_TARGET_MS = 42.0
#: A peer is told a server's state again when it changed by this part ...
PUBLISH_CHANGE_SHARE = 0.1
#: ... or at once where the server is fuller than this part of its limit ...
FULL_SHARE = 0.8
#: ... or after this time, which is longer where the server is emptier than this part.
IDLE_SHARE = 0.5
PUBLISH_IDLE_EVERY_MS = 10_000.0
#: Polls after which all peers are told that a server leaves, and from then on each so many.
LEAVING_ROUNDS = 4
LEAVING_REPEAT = 20
PUBLISH_EVERY_MS = 1000.0


class StewardTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Pauses of a steward."""

    poll_every_ms: float
    poll_timeout_ms: float
    #: Looks for work, over all instances, a second.
    fleet_polls_per_s: float
    min_poll_interval_ms: float


class _PublishedState(msgspec.Struct):
    online_count: int
    online_limit: int
    comfort_limit: int
    at_ms: float


class Steward:
    """The servers that this instance looks after, by rendezvous over the live instances."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        members: Members,
        config_replica: ConfigReplica,
        timings: StewardTimings,
        on_preempt: Callable[[list[RequestId]], None],
        on_free_capacity: Callable[[TargetName], None],
        new_share: Callable[[ServerView], ServerShare] | None = None,
    ) -> None:
        """Use the parts handed in.

        :param on_preempt: told which batch requests must yield.
        :param on_free_capacity: told for which target a place may have become free.
        """
        self._context = context
        self._fleet = fleet
        self._members = members
        self._config_replica = config_replica
        self._timings = timings
        self._on_preempt = on_preempt
        self._on_free_capacity = on_free_capacity
        self._make_share = new_share or self._new_share
        self._shares: dict[ServerId, ServerShare] = {}
        self._targets: dict[TargetName, list[ServerId]] = {}
        self._published: dict[tuple[InstanceId, ServerId], _PublishedState] = {}
        self._steward_cache: dict[ServerId, InstanceId | None] = {}

    def refresh(self) -> list[ServerId]:
        """Work out anew who looks after what; give the servers that are new to this instance."""
        live = self._members.live()
        self._steward_cache = {
            view.listed.id: steward_of(view.listed.id, view.listed.zone, live)
            for view in self._fleet.views()
        }
        own = {
            server_id
            for server_id, instance_id in self._steward_cache.items()
            if instance_id == self._context.instance_id
        }
        gained = [server_id for server_id in sorted(own) if server_id not in self._shares]
        for server_id in [each for each in self._shares if each not in own]:
            del self._shares[server_id]
        for server_id in gained:
            view = self._fleet.view(server_id)
            if view is not None:
                self._shares[server_id] = self._make_share(view)
        alive = self._members.alive()
        for share in self._shares.values():
            share.retain_notices_of(alive)
        self._targets.clear()
        for server_id in sorted(own):
            view = self._fleet.view(server_id)
            if view is not None:
                self._targets.setdefault(view.listed.target, []).append(server_id)
        return gained

    def steward_of(self, server_id: ServerId) -> InstanceId | None:
        """Give a server's steward."""
        return self._steward_cache.get(server_id)

    def is_steward_for(self, server_id: ServerId) -> bool:
        """Tell whether this instance looks after a server."""
        return server_id in self._shares

    def targets(self) -> list[TargetName]:
        """List the targets that this instance has servers of."""
        return sorted(self._targets)

    def serves(self, target: TargetName) -> bool:
        """Tell whether this instance has servers of a target."""
        return target in self._targets

    def shares_of(self, target: TargetName) -> list[tuple[ServerId, ServerShare]]:
        """List the servers of a target that take work, the emptiest first."""
        now_ms = self._context.now_ms()
        shares = [
            (server_id, self._shares[server_id])
            for server_id in self._targets.get(target, ())
            if self._accepts_batch(server_id)
        ]
        return sorted(shares, key=lambda pair: -pair[1].free_capacity(now_ms))

    def share(self, server_id: ServerId) -> ServerShare | None:
        """Find a server's share."""
        return self._shares.get(server_id)

    def room(self, target: TargetName) -> int:
        """Count the batch requests of a target that could start, with as many in reserve."""
        now_ms = self._context.now_ms()
        return sum(
            max(share.free_capacity(now_ms), share.fill_limit(now_ms))
            for _, share in self.shares_of(target)
        )

    def next_capacity_ms(self, target: TargetName) -> float:
        """Give when time alone makes room for a batch request of a target; else infinity."""
        now_ms = self._context.now_ms()
        return min(
            (share.next_capacity_ms(now_ms) for _, share in self.shares_of(target)),
            default=float('inf'),
        )

    def poll_interval_ms(self, target: TargetName) -> float:
        """Give the pause between two looks for work, so that the fleet's looks stay bounded."""
        pollers_count = max(1, len(self._members.live())) * max(1, len(self._targets))
        return max(
            self._timings.min_poll_interval_ms,
            pollers_count / self._timings.fleet_polls_per_s * 1e3,
        )

    def on_notice(self, sender: InstanceId, notice: OnlineNotice) -> ServerState | None:
        """Take in what an entry instance has on a server; yield at once where it must.

        :returns: what to answer, if anything.
        """
        share = self._shares.get(notice.server_id)
        if share is None:
            return None
        now_ms = self._context.now_ms()
        has_more = share.on_notice(sender, notice.online_count, now_ms)
        if notice.step_us:
            share.on_online_step(notice.step_us / 1e3)
        self._preempt_for_online(share, now_ms)
        view = self._fleet.view(notice.server_id)
        if view is None:
            return None
        self._on_free_capacity(view.listed.target)
        return self._reply(sender, view, share, has_more=has_more)

    def watch(self, server_id: ServerId) -> Workflow[None]:
        """Poll one server's load while this instance looks after it."""
        watched = self._shares.get(server_id)
        leaving_rounds = 0
        while watched is not None:
            now_ms = self._context.now_ms()
            load = yield from poll_load(server_id, now_ms + self._timings.poll_timeout_ms)
            view = self._fleet.view(server_id)
            if view is None or self._shares.get(server_id) is not watched:
                return
            now_ms = self._context.now_ms()
            watched.expire_notices(now_ms)
            if load is not None:
                watched.on_load(load, now_ms)
                if load.is_leaving:
                    self._fleet.mark_leaving(server_id)
                self._preempt_for_online(watched, now_ms)
            if view.is_leaving:
                leaving_rounds += 1
                yield from self._publish_leaving(view, watched, leaving_rounds)
            self._apply_targets(watched)
            self._on_free_capacity(view.listed.target)
            yield from sleep_until(now_ms + self._context.jittered_ms(self._timings.poll_every_ms))

    def _publish_leaving(self, view: ServerView, share: ServerShare, rounds: int) -> Workflow[None]:
        """Tell every peer that a server leaves, a few times and then now and then.

        An instance that has nothing on the server sends its steward no notices, gets no answers,
        and would send its next request there as long as the list says that the server lives.
        """
        if rounds > LEAVING_ROUNDS and rounds % LEAVING_REPEAT:
            return
        for peer in self._members.peers():
            yield SendPeer(
                peer.id,
                ServerState(
                    view.listed.id,
                    share.online_count,
                    share.online_limit(),
                    share.comfort_limit(),
                    True,
                ),
            )

    def _accepts_batch(self, server_id: ServerId) -> bool:
        view = self._fleet.view(server_id)
        if view is None or not view.accepts_work:
            return False
        return view.ejected_until_ms <= self._context.now_ms()

    def _new_share(self, view: ServerView) -> ServerShare:
        if view.listed.target.startswith(SERVICE_PREFIX):
            return service_share()
        return engine_share(self._gap_target_ms(), INITIAL_MAX_RUNNING, view.online_limit)

    def _apply_targets(self, share: ServerShare) -> None:
        if isinstance(share, EngineShare):
            share.set_target(self._gap_target_ms())

    def _gap_target_ms(self) -> float:
        """Give the tightest target of the online classes: any of them may call any server."""
        classes = self._config_replica.current.online_classes()
        return min((each.token_gap_target_ms for each in classes), default=DEFAULT_GAP_TARGET_MS)

    def _preempt_for_online(self, share: ServerShare, now_ms: float) -> None:
        to_cut = share.runs_to_preempt(now_ms)
        if to_cut:
            self._on_preempt(to_cut)

    def _reply(
        self, sender: InstanceId, view: ServerView, share: ServerShare, *, has_more: bool
    ) -> ServerState | None:
        now_ms = self._context.now_ms()
        online_count = share.online_count
        online_limit = share.online_limit()
        is_full = online_count >= FULL_SHARE * online_limit
        if not has_more and not is_full and not view.is_leaving:
            # Whoever sends less to a server with room does not need to know how full it is.
            return None
        comfort_limit = share.comfort_limit()
        published = self._published.get((sender, view.listed.id))
        if published is not None and not view.is_leaving:
            moved = abs(online_count - published.online_count)
            is_small = moved <= max(1.0, PUBLISH_CHANGE_SHARE * published.online_count)
            is_same_limit = (published.online_limit, published.comfort_limit) == (
                online_limit,
                comfort_limit,
            )
            is_idle = online_count < IDLE_SHARE * online_limit
            fresh_ms = PUBLISH_IDLE_EVERY_MS if is_idle else PUBLISH_EVERY_MS
            is_fresh = now_ms - published.at_ms < fresh_ms
            if is_small and is_same_limit and is_fresh and not is_full:
                return None
        self._published[(sender, view.listed.id)] = _PublishedState(
            online_count, online_limit, comfort_limit, now_ms
        )
        return ServerState(
            view.listed.id, online_count, online_limit, comfort_limit, view.is_leaving
        )
