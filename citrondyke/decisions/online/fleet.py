"""All backend servers as known to one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.online.server_view import ServerView
from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.ids import ServerId, TargetName
    from citrondyke.storage.fleet_lists import ListedServer

__all__ = ('AFFINITY_BUCKETS', 'Fleet', 'TargetServers')

#: Prefixes are hashed into this many buckets, each with its own preferred servers.
AFFINITY_BUCKETS = 512
#: Preferred servers of each bucket, in order.
PREFERRED_SERVERS = 3


class TargetServers:
    """The servers of one target, with a table of preferred ones for each prefix bucket.

    With the table a routing decision costs the same for 9 servers and for 600. It is rebuilt only
    when the list changes.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.views: list[ServerView] = []
        self.own_online = 0
        self._preferred: list[tuple[ServerView, ...] | None] = [None] * AFFINITY_BUCKETS

    def set_views(self, views: list[ServerView]) -> None:
        """Replace the servers and discard the table."""
        self.views = views
        self._preferred = [None] * AFFINITY_BUCKETS

    def preferred(self, bucket: int) -> tuple[ServerView, ...]:
        """Return a bucket's servers in order of preference; all instances compute the same."""
        found = self._preferred[bucket]
        if found is None:
            seed = f'bucket-{bucket}'
            ranked = sorted(
                self.views,
                key=lambda view: rendezvous_weight(view.listed.id, seed),
                reverse=True,
            )
            found = tuple(ranked[:PREFERRED_SERVERS])
            self._preferred[bucket] = found
        return found


class Fleet:
    """Every listed server, by id and by target."""

    def __init__(self, first_online_limit: int) -> None:
        """Start without servers.

        :param first_online_limit: limit assumed before a steward has learned one.
        """
        self._first_online_limit = first_online_limit
        self._views: dict[ServerId, ServerView] = {}
        self._targets: dict[TargetName, TargetServers] = {}

    def update_list(self, servers: Iterable[ListedServer]) -> bool:
        """Apply the platform's list, which may be stale; return whether it changed.

        A server that its steward has seen leaving stays marked as leaving while it is listed, even
        if the lagging list shows it as live.
        """
        listed = {server.id: server for server in servers}
        changed = False
        for server_id, entry in listed.items():
            view = self._views.get(server_id)
            if view is None:
                self._views[server_id] = ServerView(
                    entry, self._first_online_limit, self._first_online_limit
                )
                changed = True
            elif view.listed != entry:
                changed = True
                view.listed = entry
        for server_id in [each for each in self._views if each not in listed]:
            del self._views[server_id]
            changed = True
        if changed:
            self._group_by_target()
        return changed

    def view(self, server_id: ServerId) -> ServerView | None:
        """Return a server by id."""
        return self._views.get(server_id)

    def views(self) -> list[ServerView]:
        """List every server."""
        return list(self._views.values())

    def target(self, target: TargetName) -> TargetServers | None:
        """Return the servers of a target."""
        return self._targets.get(target)

    def targets(self) -> list[TargetName]:
        """List the targets that have servers."""
        return sorted(self._targets)

    def mark_leaving(self, server_id: ServerId) -> None:
        """Mark a server as leaving, so that it gets no new requests."""
        view = self._views.get(server_id)
        if view is not None:
            view.is_leaving = True

    def _group_by_target(self) -> None:
        grouped: dict[TargetName, list[ServerView]] = {}
        for view in self._views.values():
            grouped.setdefault(view.listed.target, []).append(view)
        for target in list(self._targets):
            if target not in grouped:
                del self._targets[target]
        for target, views in grouped.items():
            self._targets.setdefault(target, TargetServers()).set_views(views)
