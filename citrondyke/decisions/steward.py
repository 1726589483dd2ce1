"""Stewardship of backend servers: load polling, online notices and batch preemption."""

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
    from citrondyke.ids import InstanceId, RequestId, SoftwareVersion

__all__ = ('SERVICE_PREFIX', 'Steward', 'StewardTimings')

SERVICE_PREFIX = 'service:'
#: Used until an engine has reported its own limit of concurrent streams.
INITIAL_MAX_RUNNING = 128
DEFAULT_GAP_TARGET_MS = 42.0
#: A server's state is sent to a peer again when it changed by this share ...
PUBLISH_CHANGE_SHARE = 0.1
#: ... or at once if the server's load exceeds this share of its limit ...
FULL_SHARE = 0.8
#: ... or after ``PUBLISH_EVERY_MS``; below this share of the limit the longer interval applies.
IDLE_SHARE = 0.5
PUBLISH_IDLE_EVERY_MS = 10_000.0
#: For this many polls every peer is notified that a server is leaving, then at every n-th poll.
LEAVING_ROUNDS = 4
LEAVING_REPEAT = 20
PUBLISH_EVERY_MS = 1000.0


class StewardTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and timeouts of a steward."""

    poll_every_ms: float
    poll_timeout_ms: float
    #: Polls for batch work per second, summed over all instances.
    fleet_polls_per_s: float
    min_poll_interval_ms: float


class _PublishedState(msgspec.Struct):
    online_count: int
    online_limit: int
    comfort_limit: int
    at_ms: float


class Steward:
    """The servers assigned to this instance by rendezvous hashing over the live instances."""

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
        """Create a steward without any servers.

        :param on_preempt: called with the batch requests to preempt.
        :param on_free_capacity: called with a target whose capacity may have become free.
        :param new_share: creates the batch share of a server; ``None`` for the default.
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
        """Recompute all stewards; return the servers newly assigned to this instance."""
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
        """Return a server's steward."""
        return self._steward_cache.get(server_id)

    def is_steward_for(self, server_id: ServerId) -> bool:
        """Return whether this instance is a server's steward."""
        return server_id in self._shares

    def targets(self) -> list[TargetName]:
        """List the targets of the servers assigned to this instance."""
        return sorted(self._targets)

    def serves(self, target: TargetName) -> bool:
        """Return whether servers of a target are assigned to this instance."""
        return target in self._targets

    def shares_of(self, target: TargetName) -> list[tuple[ServerId, ServerShare]]:
        """List the servers of a target that accept batch work, least loaded first."""
        now_ms = self._context.now_ms()
        shares = [
            (server_id, self._shares[server_id])
            for server_id in self._targets.get(target, ())
            if self._accepts_batch(server_id)
        ]
        return sorted(shares, key=lambda pair: -pair[1].free_capacity(now_ms))

    def version_of(self, server_id: ServerId) -> SoftwareVersion | None:
        """Return a server's software version; ``None`` if it is not stated."""
        view = self._fleet.view(server_id)
        return None if view is None else view.listed.software_version

    def share(self, server_id: ServerId) -> ServerShare | None:
        """Return a server's batch share."""
        return self._shares.get(server_id)

    def pending_items_target(self, target: TargetName) -> int:
        """Return how many items of a target to keep ready to start.

        At least the fill limit of each server counts, so that items are in reserve.
        """
        now_ms = self._context.now_ms()
        return sum(
            max(share.free_capacity(now_ms), share.fill_limit(now_ms))
            for _, share in self.shares_of(target)
        )

    def next_capacity_ms(self, target: TargetName) -> float:
        """Return when capacity for a batch request becomes free by time alone, else infinity."""
        now_ms = self._context.now_ms()
        return min(
            (share.next_capacity_ms(now_ms) for _, share in self.shares_of(target)),
            default=float('inf'),
        )

    def poll_interval_ms(self, target: TargetName) -> float:
        """Return the pause between two polls for work, which bounds the fleet's poll rate."""
        pollers_count = max(1, len(self._members.live())) * max(1, len(self._targets))
        return max(
            self._timings.min_poll_interval_ms,
            pollers_count / self._timings.fleet_polls_per_s * 1e3,
        )

    def on_notice(self, sender: InstanceId, notice: OnlineNotice) -> ServerState | None:
        """Record an entry instance's online load on a server; preempt batch work if needed.

        :returns: the reply to send, if any.
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
        """Poll one server's load while this instance is its steward."""
        watched = self._shares.get(server_id)
        leaving_rounds = 0
        while watched is not None:
            polled_ms = self._context.now_ms()
            load = yield from poll_load(server_id, polled_ms + self._timings.poll_timeout_ms)
            view = self._fleet.view(server_id)
            if view is None or self._shares.get(server_id) is not watched:
                return
            now_ms = self._context.now_ms()
            watched.expire_notices(now_ms)
            if load is not None:
                watched.on_load(load, now_ms)
                watched.alive_at_ms = polled_ms
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
        """Notify every peer that a server is leaving, a few times and then at long intervals.

        An instance without requests on the server sends its steward no notices and so gets no
        replies. It would send its next request there as long as the list shows the server as live.
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
        """Return the tightest token gap target: any online class may use any server."""
        classes = self._config_replica.current.online_classes()
        return min((each.token_gap_target_ms for each in classes), default=DEFAULT_GAP_TARGET_MS)

    def _preempt_for_online(self, share: ServerShare, now_ms: float) -> None:
        preempted = share.runs_to_preempt(now_ms)
        if preempted:
            self._on_preempt(preempted)

    def _reply(
        self, sender: InstanceId, view: ServerView, share: ServerShare, *, has_more: bool
    ) -> ServerState | None:
        now_ms = self._context.now_ms()
        online_count = share.online_count
        online_limit = share.online_limit()
        is_full = online_count >= FULL_SHARE * online_limit
        if not has_more and not is_full and not view.is_leaving:
            # A sender that reduces its load on a server with free capacity needs no reply.
            return None
        comfort_limit = share.comfort_limit()
        published = self._published.get((sender, view.listed.id))
        if published is not None and not view.is_leaving:
            change = abs(online_count - published.online_count)
            is_small = change <= max(1.0, PUBLISH_CHANGE_SHARE * published.online_count)
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
