"""What one instance knows of one backend server."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.membership.peer_messages import ServerState
from citrondyke.ids import RequestId
from citrondyke.storage.fleet_lists import ListedServer, ListedState

__all__ = ('ServerView',)

#: Weight of a new sample in the averages.
SMOOTHING = 0.2
#: A report older than this says nothing any more.
REPORT_EXPIRY_MS = 2000.0


class ServerView(msgspec.Struct, eq=False):
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
    reported_at_ms: float = float('-inf')
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
    sampled_request: RequestId | None = None
    sampled_at_ms: float = 0.0
    samples: int = 0

    def peer_requests_at(self, now_ms: float) -> int:
        """Estimate the online requests of other instances on it.

        A report counts for a while only. A server that was said to be full gets nothing from
        here, so nothing would ever be heard of it again, and it would be avoided for good.
        """
        if now_ms - self.reported_at_ms > REPORT_EXPIRY_MS:
            return 0
        return max(0, self.reported_online - self.own_at_report)

    def load_at(self, now_ms: float) -> int:
        """Estimate all online requests on it: the report, corrected by what is known here."""
        return self.own_online + self.peer_requests_at(now_ms)

    @property
    def accepts_work(self) -> bool:
        """Tell whether the lists and the steward let it have new work."""
        return not self.is_leaving and self.listed.state is ListedState.LIVE

    def apply_report(self, state: ServerState, now_ms: float) -> None:
        """Take in the steward's answer."""
        self.reported_at_ms = now_ms
        self.reported_online = state.online_count
        self.own_at_report = self.own_online
        self.online_limit = state.online_limit
        self.comfort_limit = state.comfort_limit
        self.is_leaving = self.is_leaving or state.is_leaving

    def record_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Take in a token of an online answer; one answer at a time is watched."""
        if self.sampled_request == request_id:
            gap_ms = now_ms - self.sampled_at_ms
            self.step_ms = min(self.step_ms or gap_ms, gap_ms)
            self.sampled_at_ms = now_ms
        elif self.sampled_request is None:
            self.sampled_request = request_id
            self.sampled_at_ms = now_ms

    def consume_step_us(self) -> int:
        """Give the shortest gap seen since the last call, in microseconds; 0 for none."""
        step_ms, self.step_ms = self.step_ms, 0.0
        return int(step_ms * 1e3)

    def record_first_frame(self, first_frame_ms: float) -> None:
        """Take in how long a first token took."""
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.first_frame_ms += weight * (first_frame_ms - self.first_frame_ms)
