"""State of an online request that is being forwarded."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.decisions.accounts.account import Account
from citrondyke.decisions.crashes.suspect_key import RequestKeys
from citrondyke.decisions.forwarding.route import Route, RouteKind
from citrondyke.decisions.forwarding.send_history import SendHistory
from citrondyke.decisions.streams.stream_end import EndVerdict, StreamEnd
from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.gateway.callers.caller_request import CallerRequest
from citrondyke.gateway.dialect import RequestMetadata
from citrondyke.ids import ConfigVersion, RequestId, ServerIncarnation

__all__ = ('ForwardedRequest', 'RequestResult')


class RequestResult(Enum):
    """Result of forwarding a request."""

    DONE = 'done'
    #: The server's error response was relayed.
    SERVER_FAILURE = 'server_failure'
    TURNED_AWAY = 'turned_away'
    NO_SERVER = 'no_server'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    CUT_MIDWAY = 'cut_midway'
    CALLER_GONE = 'caller_gone'
    #: The account is over its rate limit.
    OVER_LIMIT = 'over_limit'
    #: No steward or replica holder could decide whether the account is over its limit.
    LIMIT_UNKNOWN = 'limit_unknown'
    #: No instance knows which version began the stream that the caller resumes.
    ORIGIN_UNKNOWN = 'origin_unknown'
    #: No server of the version that began the stream accepts work any more.
    ORIGIN_GONE = 'origin_gone'
    #: The caller states an event that can't be read as the last one.
    INVALID_EVENT_ID = 'invalid_event_id'
    #: The key was revoked while no server had the request.
    KEY_GONE = 'key_gone'
    #: Its handling failed with an exception that nothing expects.
    INTERNAL_ERROR = 'internal_error'
    #: Too many servers have crashed while running the same content, or a part of its prompt.
    STOPPED = 'stopped'
    #: A probe is running to find out whether the content or prompt part crashes servers.
    PROBE_RUNNING = 'on_trial'


class ForwardedRequest(msgspec.Struct):
    """Online request in flight, with what has happened to it so far."""

    request: CallerRequest
    #: What it has in common with other attempts and with other requests.
    keys: RequestKeys
    metadata: RequestMetadata
    account: Account
    route: Route
    config_version: ConfigVersion
    history: SendHistory
    #: Deadline, set by the caller or by the route's timeout.
    until_ms: float
    #: Whether it is counted against its account's limit.
    is_counted: bool = False
    #: Id of the last event that the caller has received; ``None`` before the first.
    last_event_id: int | None = None
    #: Origin of the stream; ``None`` while any server may begin it.
    origin: StreamOrigin | None = None
    #: Whether the head of a stream was sent to the caller.
    has_begun: bool = False
    first_answer_ms: float = 0.0
    events_count: int = 0
    #: When the current server sent its first event; ``None`` before that.
    server_first_ms: float | None = None
    #: Events with an id and data that the current server's run has brought.
    run_events_count: int = 0
    #: Whether a part of a further event was received from the current server.
    is_in_event: bool = False
    #: What servers have stated about the end of the stream; unused if it can't be resumed.
    stream_end: StreamEnd = msgspec.field(default_factory=lambda: StreamEnd(may_be_empty=True))
    #: What the last orderly end of a run proved; ``None`` before one, or if the stream can't be
    #: resumed.
    end_verdict: EndVerdict | None = None
    #: Whether another server may be asked again for the end of the stream after the current one.
    has_others_to_ask_again: bool = False
    #: Whether a server that has not stated the end of the stream could do so after the current one,
    #: in this attempt of the caller or another one.
    has_others_to_confirm: bool = True
    #: Whether the last run of the stream was interrupted.
    was_interrupted: bool = False
    #: Whether the end of the caller's response is told apart from that of its connection.
    is_framed: bool = True
    #: Whether the caller's response ended with an end that nobody could confirm.
    is_passed_on_unconfirmed: bool = False

    def start_run(self, *, has_others_to_ask_again: bool, has_others_to_confirm: bool) -> None:
        """Start the next server's run."""
        self.has_others_to_ask_again = has_others_to_ask_again
        self.has_others_to_confirm = has_others_to_confirm
        self.server_first_ms = None
        self.run_events_count = 0
        self.is_in_event = False

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has received events of the stream in an earlier request."""
        return self.route.kind is RouteKind.STREAM and bool(self.metadata.last_event_id)

    @property
    def is_resumable_stream(self) -> bool:
        """Whether another server may resume the stream."""
        return self.route.kind is RouteKind.STREAM and self.route.is_resumable

    @property
    def goes_on(self) -> bool:
        """Whether the next run goes on with a stream of which the caller has a part."""
        return self.is_resumable_stream and (self.has_begun or bool(self.last_event_id))

    @property
    def is_end_in_doubt(self) -> bool:
        """Whether a server has stated that nothing follows, and that isn't confirmed."""
        is_complete = self.end_verdict is not None and self.end_verdict.is_complete
        return self.stream_end.is_in_doubt and not is_complete

    @property
    def may_end_unconfirmed(self) -> bool:
        """Whether the caller's response may end where nobody can confirm the end of the stream.

        Its end then states no more than the server's has stated.
        """
        return (
            self.has_begun
            and not self.is_framed
            and self.is_end_in_doubt
            and self.stream_end.ended_with_connection
        )

    @property
    def servers_to_ask_again(self) -> frozenset[ServerIncarnation]:
        """Servers that ran the request and may still confirm the end of its stream."""
        if not self.is_end_in_doubt:
            return frozenset()
        return self.history.servers_to_ask_again(
            self.last_event_id, self.stream_end.stating_servers
        )

    @property
    def servers_to_repeat(self) -> frozenset[ServerIncarnation]:
        """Servers that may state the end a further time, as there is no other one to do it.

        Otherwise no caller could end a stream of which only one server may be asked.
        """
        if self.has_others_to_confirm or not self.is_end_in_doubt:
            return frozenset()
        return self.stream_end.stating_servers & self.history.unconfirmed_at

    @property
    def may_send(self) -> bool:
        """Whether another server may be tried, or one asked again."""
        again = self.servers_to_ask_again or self.servers_to_repeat
        return self.history.may_send or bool(again)

    @property
    def is_last_attempt(self) -> bool:
        """Whether no other server may be tried after the current one, which may take its time.

        Once the current server has brought events, there is no end left to confirm.
        """
        may_ask_again = self.has_others_to_ask_again and not self.run_events_count
        return self.history.is_last_attempt and not may_ask_again

    @property
    def stream_id(self) -> RequestId:
        """Request that brought the caller the first event of the stream."""
        begun_by = self.metadata.begun_by if self.resumes_stream else None
        return begun_by or self.metadata.request_id
