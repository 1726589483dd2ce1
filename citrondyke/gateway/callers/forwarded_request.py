"""One online request on its way to its answer."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.decisions.accounts.account import Account
from citrondyke.decisions.crashes.request_fingerprint import (
    LazyRequestFingerprint,
    RequestFingerprint,
)
from citrondyke.decisions.forwarding.route import Route
from citrondyke.decisions.forwarding.send_history import SendHistory
from citrondyke.gateway.callers.caller_request import CallerRequest
from citrondyke.gateway.dialect import RequestMetadata
from citrondyke.ids import ConfigVersion

__all__ = ('ForwardedRequest', 'RequestResult')


class RequestResult(Enum):
    """How the work on a request ended."""

    DONE = 'done'
    #: The server's own failure was passed on.
    SERVER_FAILURE = 'server_failure'
    TURNED_AWAY = 'turned_away'
    NO_SERVER = 'no_server'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    CUT_MIDWAY = 'cut_midway'
    CALLER_GONE = 'caller_gone'
    #: The account has had what its limit allows.
    OVER_LIMIT = 'over_limit'
    #: Nobody could say whether it has.
    LIMIT_UNKNOWN = 'limit_unknown'
    #: The key was taken away while no server had the request.
    KEY_GONE = 'key_gone'
    #: Too many servers have ended under the same work.
    STOPPED = 'stopped'
    #: It is being found out whether servers end under the same work.
    PROBE_RUNNING = 'on_trial'


class ForwardedRequest(msgspec.Struct):
    """One request on its way."""

    request: CallerRequest
    #: What it asks for, whichever attempt this is.
    work: LazyRequestFingerprint
    facts: RequestMetadata
    #: Whose request it is.
    account: Account
    route: Route
    config_version: ConfigVersion
    course: SendHistory
    #: Until when the caller or the route lets it take.
    until_ms: float
    #: Whether it is counted in its account's limit.
    is_counted: bool = False
    #: The last event that the caller has; ``None`` before the first.
    last_event_id: int | None = None
    #: Whether the head of a stream went to the caller.
    has_begun: bool = False
    first_answer_ms: float = 0.0
    events_count: int = 0
    #: When the server that has the request now brought its first event; ``None`` before that.
    server_first_ms: float | None = None

    @property
    def content(self) -> RequestFingerprint:
        """Name what is asked for."""
        return self.work.fingerprint
