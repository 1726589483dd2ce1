"""Error responses that the instance itself generates."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.forwarding.send_history import Verdict
from citrondyke.gateway.callers.forwarded_request import RequestResult
from citrondyke.gateway.http_head import Headers

if TYPE_CHECKING:
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.forwarded_request import ForwardedRequest
    from citrondyke.gateway.dialect import Dialect

__all__ = ('DeferredFailure', 'ErrorResponder')

#: Retry time when all servers were unreachable: the server list reflects a crash within three
#: heartbeats, and an ejected server is probed after 800 ms.
NO_SERVER_RETRY_MS = 250.0
#: Retry time while a probe of the same content is running: a run that crashes its server does so
#: sooner than this.
PROBE_RETRY_MS = 1_000.0


class DeferredFailure(msgspec.Struct, frozen=True):
    """Error response of a server, relayed unchanged if no other server succeeds."""

    status: int
    headers: Headers
    body: bytes
    #: Whether the end of the response is told apart from the end of its connection.
    is_framed: bool = True


class ErrorResponder:
    """Sends error responses that distinguish "has not run" from "may have run"."""

    def __init__(self, dialect: Dialect) -> None:
        """Use the dialect for the headers of responses."""
        self._dialect = dialect

    def answer_failed(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        failure: DeferredFailure | None,
        *,
        is_out_of_time: bool,
        may_come_back: bool = True,
    ) -> RequestResult:
        """Answer a request for which no further server is tried.

        :param failure: last error response of a server, relayed if there is one.
        :param is_out_of_time: whether the request's deadline has passed.
        :param may_come_back: whether a server could serve it later.
        """
        if forwarded.may_end_unconfirmed:
            forwarded.is_passed_on_unconfirmed = True
            caller.stop_watching_disconnect()
            caller.end_stream()
            return RequestResult.DONE
        if forwarded.has_begun:
            # A truncated response must not look complete.
            caller.abort()
            return RequestResult.CUT_MIDWAY
        if failure is not None:
            caller.stop_watching_disconnect()
            caller.send_whole(
                failure.status, failure.headers, failure.body, is_framed=failure.is_framed
            )
            return RequestResult.SERVER_FAILURE
        if forwarded.history.verdict is Verdict.NOT_RUN:
            if not may_come_back:
                return self.reject(caller, forwarded, RequestResult.ORIGIN_GONE, None)
            end = (
                RequestResult.NOT_RUN if forwarded.history.sends_count else RequestResult.NO_SERVER
            )
            return self.reject(caller, forwarded, end, NO_SERVER_RETRY_MS)
        if is_out_of_time and not forwarded.is_end_in_doubt:
            return self._answer_without_retry(caller, forwarded, RequestResult.TIMED_OUT, 504)
        return self._answer_without_retry(caller, forwarded, RequestResult.BROKEN, 502)

    def stop(
        self, caller: CallerConnection, forwarded: ForwardedRequest, *, is_probe_running: bool
    ) -> RequestResult:
        """Answer a request whose content has crashed too many servers.

        The response is an error without a retry time: "not run" would be wrong, since the content
        has run, and would invite the caller to retry. While a probe is running the verdict is
        open, so a request that was not sent yet gets a retry time.
        """
        if forwarded.has_begun:
            caller.abort()
            return RequestResult.CUT_MIDWAY
        if is_probe_running and forwarded.history.verdict is Verdict.NOT_RUN:
            return self.reject(caller, forwarded, RequestResult.PROBE_RUNNING, PROBE_RETRY_MS)
        return self._answer_without_retry(caller, forwarded, RequestResult.STOPPED, 502)

    def reject(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        end: RequestResult,
        retry_in_ms: float | None,
    ) -> RequestResult:
        """Respond 503: the request has not run and will not run.

        :param retry_in_ms: retry time; ``None`` if coming back would not help.
        """
        headers = self._dialect.own_response_headers(forwarded.metadata.request_id, retry_in_ms)
        caller.stop_watching_disconnect()
        caller.send_whole(503, headers, b'')
        return end

    def reject_over_limit(
        self, caller: CallerConnection, forwarded: ForwardedRequest, retry_in_ms: float
    ) -> RequestResult:
        """Respond 429: the account is over its limit, with a retry time."""
        headers = self._dialect.own_response_headers(forwarded.metadata.request_id, retry_in_ms)
        caller.stop_watching_disconnect()
        caller.send_whole(429, headers, b'')
        return RequestResult.OVER_LIMIT

    def reject_invalid_event_id(
        self, caller: CallerConnection, forwarded: ForwardedRequest
    ) -> RequestResult:
        """Respond 400 to a request whose last event can't be read.

        A stream that begins anew would bring the caller events twice.
        """
        return self._answer_without_retry(caller, forwarded, RequestResult.INVALID_EVENT_ID, 400)

    def reject_revoked_key(
        self, caller: CallerConnection, forwarded: ForwardedRequest
    ) -> RequestResult:
        """Respond 401 to a request whose key was revoked before another server was tried."""
        return self._answer_without_retry(caller, forwarded, RequestResult.KEY_GONE, 401)

    def answer_internal_error(
        self, caller: CallerConnection, forwarded: ForwardedRequest
    ) -> RequestResult:
        """Answer a request whose handling raised an exception that nothing expects.

        The status never states that the request has not run: the exception may hide a run.
        """
        may_have_run = forwarded.history.verdict is Verdict.MAY_HAVE_RUN
        headers = self._dialect.own_response_headers(forwarded.metadata.request_id, None)
        caller.send_error(502 if may_have_run else 500, headers)
        return RequestResult.INTERNAL_ERROR

    def _answer_without_retry(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        end: RequestResult,
        status: int,
    ) -> RequestResult:
        headers = self._dialect.own_response_headers(forwarded.metadata.request_id, None)
        caller.stop_watching_disconnect()
        caller.send_whole(status, headers, b'')
        return end
