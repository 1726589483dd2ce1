"""Notifies stewards of this instance's online load on their servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.core.ops import SendPeer, sleep_until, wait_for
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.membership.peer_messages import OnlineNotice, ServerState

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.online.fleet import Fleet
    from citrondyke.decisions.online.server_view import ServerView
    from citrondyke.decisions.steward import Steward
    from citrondyke.ids import ServerId

__all__ = ('OnlineLoadNotices',)

#: Changes within this time after the first are sent together.
COALESCE_MS = 2.0
#: Non-zero counts are resent at this interval, in case a notice was lost. At the target load an
#: instance has more than a hundred requests in flight; resending every count each second would be
#: most of its traffic.
REPEAT_EVERY_MS = 30_000.0


class OnlineLoadNotices:
    """Sends absolute counts, so that the next notice makes up for a lost one."""

    def __init__(self, context: Context, fleet: Fleet, steward: Steward) -> None:
        """Start with no pending changes."""
        self._context = context
        self._fleet = fleet
        self._steward = steward
        self._changed: dict[ServerId, None] = {}
        self._wake: Signal[None] = Signal()

    def on_load_change(self, view: ServerView) -> None:
        """Record that this instance's online requests on a server changed.

        If this instance is the server's steward, batch work is preempted at once.
        """
        server_id = view.listed.id
        if self._steward.is_steward_for(server_id):
            self._apply_locally(view)
            return
        self._changed[server_id] = None
        self._wake.fire(None)

    def run(self) -> Workflow[None]:
        """Send changed counts until the instance stops."""
        repeat_at_ms = self._context.now_ms() + REPEAT_EVERY_MS
        while True:
            fired = yield from wait_for(self._wake, repeat_at_ms)
            if fired:
                yield from sleep_until(self._context.now_ms() + COALESCE_MS)
            if self._context.now_ms() >= repeat_at_ms:
                repeat_at_ms = self._context.now_ms() + REPEAT_EVERY_MS
                self._requeue_all()
            self._wake = Signal()
            changed, self._changed = self._changed, {}
            for server_id in changed:
                view = self._fleet.view(server_id)
                steward = self._steward.steward_of(server_id)
                if view is None or steward is None:
                    continue
                if steward == self._context.instance_id:
                    self._apply_locally(view)
                    continue
                yield SendPeer(
                    steward, OnlineNotice(server_id, view.own_online, view.consume_step_us())
                )

    def on_state(self, state: ServerState) -> None:
        """Apply a steward's reply."""
        view = self._fleet.view(state.server_id)
        if view is not None:
            view.apply_report(state, self._context.now_ms())

    def _requeue_all(self) -> None:
        for view in self._fleet.views():
            if view.own_online:
                self._changed[view.listed.id] = None

    def _apply_locally(self, view: ServerView) -> None:
        notice = OnlineNotice(view.listed.id, view.own_online, view.consume_step_us())
        state = self._steward.on_notice(self._context.instance_id, notice)
        if state is not None:
            self.on_state(state)
