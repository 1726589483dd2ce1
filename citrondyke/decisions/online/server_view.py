"""What one instance knows of one backend server."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.membership.peer_messages import ServerState
from citrondyke.ids import RequestId
from citrondyke.platform.fleet_lists import ListedServer, ListedState

__all__ = ('ServerView',)

#: Weight of a new sample in the averages.
SMOOTHING = 0.2


class ServerView(msgspec.Struct):
    """A listed server, this instance's own requests on it, and what its steward said."""

    listed: ListedServer
    #: Online requests that the server bears within the tightest target; learned by its steward.
    online_limit: int
    #: Up to how many each one more makes the server do more work; learned too.
    comfort_limit: int
    #: This instance's own online requests on it.
    own_online: int = 0
    #: All online requests on it when its steward last spoke ...
    reported_online: int = 0
    #: ... and this instance's own among them.
    own_at_report: int = 0
    is_leaving: bool = False
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    #: After an ejection one request at a time tells whether it works again.
    is_on_probation: bool = False
    first_frame_ms: float = 0.0
    #: The shortest gap between two tokens of one answer since the last notice; 0 for none.
    step_ms: float = 0.0
    #: The answer whose gaps are watched, and when its last token came.
    probe: RequestId | None = None
    probe_at_ms: float = 0.0
    samples: int = 0

    @property
    def load(self) -> int:
        """Estimate the online requests on it now: the report, corrected by what is known here."""
        return max(self.own_online, self.reported_online + self.own_online - self.own_at_report)

    @property
    def takes_work(self) -> bool:
        """Tell whether the lists and the steward let it have new work."""
        return not self.is_leaving and self.listed.state is ListedState.LIVE

    def report(self, state: ServerState) -> None:
        """Take in the steward's answer."""
        self.reported_online = state.online_count
        self.own_at_report = self.own_online
        self.online_limit = state.online_limit
        self.comfort_limit = state.comfort_limit
        self.is_leaving = self.is_leaving or state.is_leaving

    def record_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Take in a token of an online answer; one answer at a time is watched."""
        if self.probe == request_id:
            gap_ms = now_ms - self.probe_at_ms
            self.step_ms = min(self.step_ms or gap_ms, gap_ms)
            self.probe_at_ms = now_ms
        elif self.probe is None:
            self.probe = request_id
            self.probe_at_ms = now_ms

    def take_step_us(self) -> int:
        """Give the shortest gap seen since the last call, in microseconds; 0 for none."""
        step_ms, self.step_ms = self.step_ms, 0.0
        return int(step_ms * 1e3)

    def record_first_frame(self, first_frame_ms: float) -> None:
        """Take in how long a first token took."""
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.first_frame_ms += weight * (first_frame_ms - self.first_frame_ms)
