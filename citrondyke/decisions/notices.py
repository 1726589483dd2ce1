"""Tells stewards of this instance's online requests."""

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

#: Changes within this time of each other travel together.
COALESCE_MS = 2.0
#: What is not zero is said again after this time, in case a notice was lost. At the target a node
#: has over a hundred answers under way; to say each again every second would be most of its
#: traffic.
REPEAT_EVERY_MS = 30_000.0


class OnlineLoadNotices:
    """Sends absolute numbers, so that one lost notice is made good by the next."""

    def __init__(self, context: Context, fleet: Fleet, steward: Steward) -> None:
        """Start with nothing to tell."""
        self._context = context
        self._fleet = fleet
        self._steward = steward
        self._changed: dict[ServerId, None] = {}
        self._wake: Signal[None] = Signal()

    def on_load_change(self, view: ServerView) -> None:
        """Note that this instance's requests on a server changed.

        Where this instance is the steward itself, batch work yields at once.
        """
        server_id = view.listed.id
        if self._steward.is_steward_for(server_id):
            self._apply_locally(view)
            return
        self._changed[server_id] = None
        self._wake.fire(None)

    def run(self) -> Workflow[None]:
        """Send what changed, for good."""
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
        """Take in a steward's answer."""
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
