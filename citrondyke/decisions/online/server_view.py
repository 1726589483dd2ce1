"""State of one backend server as known to one instance."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.membership.peer_messages import ServerState
from citrondyke.ids import RequestId
from citrondyke.storage.fleet_lists import ListedServer, ListedState

__all__ = ('ServerView',)

#: Weight of a new sample in the moving average.
SMOOTHING = 0.2
#: Age in milliseconds after which a steward's report is ignored.
REPORT_EXPIRY_MS = 2000.0


class ServerView(msgspec.Struct, eq=False):
    """A listed server, this instance's requests on it, and its steward's last report."""

    listed: ListedServer
    #: Online requests within which the tightest target is met; learned by the steward.
    online_limit: int
    #: Online requests up to which throughput still grows; also learned by the steward.
    comfort_limit: int
    #: This instance's online requests on the server.
    own_online: int = 0
    #: All online requests on the server by the steward's last report ...
    reported_online: int = 0
    #: ... and this instance's requests at that time.
    own_at_report: int = 0
    reported_at_ms: float = float('-inf')
    is_leaving: bool = False
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    #: Whether the last attempt to connect to it succeeded.
    is_reachable: bool = True
    #: After an ejection, one request at a time probes whether the server has recovered.
    is_on_probation: bool = False
    first_frame_ms: float = 0.0
    #: Shortest gap between two tokens of one response since the last notice; 0 for none.
    step_ms: float = 0.0
    #: The request whose token gaps are sampled, and when its last token arrived.
    sampled_request: RequestId | None = None
    sampled_at_ms: float = 0.0
    samples: int = 0

    def peer_requests_at(self, now_ms: float) -> int:
        """Estimate the online requests of other instances on the server.

        A report expires. A server reported as full gets no requests from this instance, so its
        steward sends no further reports, and the server would be avoided forever.
        """
        if now_ms - self.reported_at_ms > REPORT_EXPIRY_MS:
            return 0
        return max(0, self.reported_online - self.own_at_report)

    def load_at(self, now_ms: float) -> int:
        """Estimate all online requests: the report plus the change in this instance's own."""
        return self.own_online + self.peer_requests_at(now_ms)

    @property
    def accepts_work(self) -> bool:
        """Return whether the list and the steward allow new requests."""
        return not self.is_leaving and self.listed.state is ListedState.LIVE

    def may_continue(self, begun_at: ListedServer | None) -> bool:
        """Return whether the server may continue a response that another one began.

        What servers of two software versions write does not fit together.

        :param begun_at: server that began it; ``None`` if no part of it has arrived.
        """
        return begun_at is None or begun_at.software_version == self.listed.software_version

    def apply_report(self, state: ServerState, now_ms: float) -> None:
        """Apply the steward's report."""
        self.reported_at_ms = now_ms
        self.reported_online = state.online_count
        self.own_at_report = self.own_online
        self.online_limit = state.online_limit
        self.comfort_limit = state.comfort_limit
        self.is_leaving = self.is_leaving or state.is_leaving

    def record_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Record a token of an online response; one response at a time is sampled."""
        if self.sampled_request == request_id:
            gap_ms = now_ms - self.sampled_at_ms
            self.step_ms = min(self.step_ms or gap_ms, gap_ms)
            self.sampled_at_ms = now_ms
        elif self.sampled_request is None:
            self.sampled_request = request_id
            self.sampled_at_ms = now_ms

    def consume_step_us(self) -> int:
        """Return and reset the shortest token gap, in microseconds; 0 for none."""
        step_ms, self.step_ms = self.step_ms, 0.0
        return int(step_ms * 1e3)

    def record_first_frame(self, first_frame_ms: float) -> None:
        """Add a first-token time to the moving average."""
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.first_frame_ms += weight * (first_frame_ms - self.first_frame_ms)
