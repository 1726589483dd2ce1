"""Dispatches an online request from admission to its single outcome."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.ops import call_server, wait_for
from citrondyke.decisions.core.server_call import ReplyKind, ServerCall
from citrondyke.decisions.crashes.engine_crash_guard import EngineCrashGuard
from citrondyke.decisions.crashes.suspect_key import RequestKeys
from citrondyke.decisions.crashes.suspect_registry import SuspectStatus
from citrondyke.decisions.online.admission import QueuedRequest
from citrondyke.decisions.online.rejection import Rejection, RejectionReason
from citrondyke.decisions.online.request import OnlineResult, OnlineResultKind
from citrondyke.decisions.online.retry_budget import RetryBudget
from citrondyke.decisions.online.stream_event import StreamEndUnproven
from citrondyke.decisions.streams.stream_end import RunEnd, StreamEnd
from citrondyke.ids import ServerId, ServerIncarnation
from citrondyke.storage.fleet_lists import ListedServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.core.server_call import ServerReply
    from citrondyke.decisions.online.admission import Admission, Permit
    from citrondyke.decisions.online.request import OnlineRequest
    from citrondyke.decisions.online.router import Router
    from citrondyke.decisions.online.server_view import ServerView
    from citrondyke.ids import TargetName

__all__ = ('OnlineDispatcher',)

#: Maximum number of sends of one request.
ATTEMPTS_LIMIT = 4
#: Retry time while a probe of the same content or prompt part is running.
PROBE_RETRY_MS = 1_000.0


class _Progress(msgspec.Struct):
    """Progress of a request over its attempts."""

    attempts: int = 0
    #: Frames that the caller has received.
    frames_count: int = 0
    #: Server that sent the first frame.
    begun_at: ListedServer | None = None
    may_have_run: bool = False
    first_frame_ms: float | None = None
    tried: tuple[ServerId, ...] = ()
    #: The servers in ``tried`` that interrupted the request.
    cut: tuple[ServerId, ...] = ()
    end: StreamEnd = msgspec.field(default_factory=lambda: StreamEnd(may_be_empty=True))


class OnlineDispatcher:
    """Admits a request, chooses servers, retries, and reports load changes."""

    def __init__(
        self,
        context: Context,
        router: Router,
        admission: Admission,
        on_load_change: Callable[[ServerView], None],
        crashes: EngineCrashGuard | None = None,
    ) -> None:
        """Create a dispatcher.

        :param on_load_change: called when this instance's requests on a server change.
        :param crashes: evidence of what crashes engines; by default not shared with anybody.
        """
        self._crashes = EngineCrashGuard(context) if crashes is None else crashes
        self._context = context
        self._router = router
        self._admission = admission
        self._on_load_change = on_load_change
        self._budgets: dict[TargetName, RetryBudget] = {}

    def serve(self, request: OnlineRequest) -> Workflow[OnlineResult]:
        """Carry out a request to its single outcome."""
        keys = RequestKeys(
            request.method.encode(), '', request.path.encode(), request.body, request.prompt_parts
        )
        blocked = self._check_blocked(request, keys)
        if blocked is not None:
            return OnlineResult(kind=OnlineResultKind.REFUSED, rejection=blocked)
        permit = yield from self._acquire_permit(request)
        if isinstance(permit, Rejection):
            return OnlineResult(kind=OnlineResultKind.REFUSED, rejection=permit)
        try:
            return (yield from self._attempt_all(request, keys))
        finally:
            self._admission.release(permit)

    def _acquire_permit(self, request: OnlineRequest) -> Workflow[Permit | Rejection]:
        answer = self._admission.acquire(
            request.target,
            request.tenant_id,
            request.first_token_target_ms,
            request.deadline_ms,
        )
        if not isinstance(answer, QueuedRequest):
            return answer
        is_settled = False
        try:
            fired = yield from wait_for(answer.outcome, answer.until_ms)
            is_settled = fired
        finally:
            # Also if the caller disconnected while queued: a permit granted to it would never be
            # released.
            if not is_settled:
                rejection = self._admission.abandon(request.target, answer)
        return answer.outcome.value if fired else rejection

    def _check_blocked(self, request: OnlineRequest, keys: RequestKeys) -> Rejection | None:
        verdict = self._crashes.verdict_on(keys)
        if not verdict.is_blocked:
            return None
        self._crashes.report_blocked(request.request_id, verdict)
        if verdict.status is SuspectStatus.STOPPED:
            return Rejection(RejectionReason.BLOCKED, 0.0)
        return Rejection(RejectionReason.PROBE_RUNNING, PROBE_RETRY_MS)

    def _attempt_all(self, request: OnlineRequest, keys: RequestKeys) -> Workflow[OnlineResult]:
        progress = _Progress()
        budget = self._budgets.setdefault(request.target, RetryBudget())
        while True:
            if request.deadline_ms <= self._context.now_ms():
                return self._deadline_result(progress)
            view = self._choose(request, progress)
            if isinstance(view, Rejection):
                return self._rejected_result(progress, view)
            has_begun = progress.frames_count > 0
            was_interrupted = progress.end.was_interrupted
            reply = yield from self._attempt(request, view, progress, keys)
            is_run = reply.is_event_stream and reply.status == HTTPStatus.OK
            if (has_begun or (was_interrupted and is_run)) and reply.kind is ReplyKind.COMPLETE:
                reply = self._continuation(request, view, progress, reply)
            if reply.kind is ReplyKind.COMPLETE:
                budget.deposit()
                return self._result(OnlineResultKind.ANSWERED, progress, reply)
            if reply.kind in (ReplyKind.LATE, ReplyKind.EXPIRED):
                return self._deadline_result(progress)
            if reply.kind in (ReplyKind.CANCELLED, ReplyKind.CALLER_GONE):
                return self._result(OnlineResultKind.CALLER_GONE, progress)
            if progress.may_have_run and not request.is_repeatable:
                return self._result(OnlineResultKind.BROKEN, progress, reply)
            if progress.attempts >= ATTEMPTS_LIMIT or not budget.withdraw():
                rejection = Rejection(RejectionReason.RETRY_BUDGET, reply.retry_in_ms or 1000.0)
                return self._rejected_result(progress, rejection)
            blocked = self._check_blocked(request, keys)
            if blocked is not None:
                return self._rejected_result(progress, blocked)

    def _choose(self, request: OnlineRequest, progress: _Progress) -> ServerView | Rejection:
        """Choose a server that has not failed this request yet, if there is one.

        After all servers were tried, those that interrupted the request may be tried again, unless
        they were ejected: the request may be the cause. Those that were unreachable or rejected it
        are not: every caller would retry them at once.
        """
        view = self._router.choose(
            request.target, request.prefix_bucket, progress.tried, begun_at=progress.begun_at
        )
        if isinstance(view, Rejection) and progress.cut:
            progress.tried = tuple(each for each in progress.tried if each not in progress.cut)
            progress.cut = ()
            return self._router.choose(
                request.target,
                request.prefix_bucket,
                progress.tried,
                may_use_ejected=False,
                begun_at=progress.begun_at,
            )
        return view

    def _continuation(
        self,
        request: OnlineRequest,
        view: ServerView,
        progress: _Progress,
        reply: ServerReply,
    ) -> ServerReply:
        """Return a reply to a run that goes on; one that does not prove the end is a cut."""
        if reply.is_event_stream and reply.status == HTTPStatus.OK:
            verdict = progress.end.record_end(
                RunEnd(
                    server=ServerIncarnation(view.listed.id),
                    is_framed=True,
                    events_count=reply.frames_count,
                    last_event_id=progress.frames_count or None,
                ),
                has_other_servers=self._has_other_servers(request, view, progress),
            )
            if verdict.is_complete:
                return reply
        self._context.report(
            StreamEndUnproven(
                request_id=request.request_id,
                server_id=view.listed.id,
                status=reply.status,
                content_type=reply.content_type,
                events_count=reply.frames_count,
                last_event_number=progress.frames_count,
            )
        )
        progress.tried = (*progress.tried, view.listed.id)
        progress.cut = (*progress.cut, view.listed.id)
        return msgspec.structs.replace(reply, kind=ReplyKind.CUT)

    def _has_other_servers(
        self, request: OnlineRequest, view: ServerView, progress: _Progress
    ) -> bool:
        asked = {ServerId(server) for server in progress.end.stating_servers} | {view.listed.id}
        return self._router.has_others(request.target, asked, progress.begun_at)

    def _attempt(
        self,
        request: OnlineRequest,
        view: ServerView,
        progress: _Progress,
        keys: RequestKeys,
    ) -> Workflow[ServerReply]:
        call = ServerCall(
            server_id=view.listed.id,
            request_id=request.request_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            is_streamed=request.is_streamed,
            refuses_by_status=request.is_model,
            needs_new_connection=not request.is_repeatable,
            resume_from_frame=progress.frames_count,
            deadline_ms=request.deadline_ms,
            cancel=request.cancel,
            on_frame=lambda now_ms: view.record_frame(request.request_id, now_ms),
        )
        progress.attempts += 1
        began_ms = self._context.now_ms()
        self._router.record_start(view)
        self._on_load_change(view)
        try:
            reply = yield from call_server(call)
        finally:
            self._router.record_end(view)
            if view.sampled_request == request.request_id:
                view.sampled_request = None
            self._on_load_change(view)
        self._record_reply(reply, view, progress, began_ms, request.deadline_ms)
        took_ms = self._context.now_ms() - began_ms
        self._crashes.record_reply(keys, view.listed.id, reply, took_ms)
        yield from self._crashes.publish()
        return reply

    def _record_reply(
        self,
        reply: ServerReply,
        view: ServerView,
        progress: _Progress,
        began_ms: float,
        deadline_ms: float,
    ) -> None:
        progress.frames_count += reply.frames_count
        if reply.kind is not ReplyKind.COMPLETE and not reply.was_not_run:
            progress.end.record_interruption(
                progress.frames_count or None,
                has_events=reply.frames_count > 0,
                is_in_event=False,
            )
        if reply.frames_count and progress.begun_at is None:
            progress.begun_at = view.listed
        if progress.first_frame_ms is None:
            progress.first_frame_ms = reply.first_frame_ms
        if not reply.was_not_run:
            progress.may_have_run = True
        if reply.kind is ReplyKind.COMPLETE and reply.status < 500:  # noqa: PLR2004
            self._router.record_success(view, reply.first_frame_ms)
            return
        # Time after the deadline is this instance's own delay, not the server's.
        waited_ms = min(self._context.now_ms(), deadline_ms) - began_ms
        if reply.kind is ReplyKind.LATE:
            # A missed deadline counts as a slow first token.
            self._router.record_success(view, waited_ms)
            return
        if reply.kind is ReplyKind.EXPIRED:
            self._router.record_expired(view, waited_ms)
            return
        if reply.kind in (ReplyKind.CANCELLED, ReplyKind.CALLER_GONE):
            return
        progress.tried = (*progress.tried, view.listed.id)
        if reply.kind is ReplyKind.CUT:
            progress.cut = (*progress.cut, view.listed.id)
        self._router.record_failure(view, was_unreachable=reply.kind is ReplyKind.UNREACHABLE)

    def _deadline_result(self, progress: _Progress) -> OnlineResult:
        if not progress.may_have_run:
            rejection = Rejection(RejectionReason.DEADLINE, 0.0)
            return OnlineResult(
                kind=OnlineResultKind.REFUSED, rejection=rejection, attempts=progress.attempts
            )
        return self._result(OnlineResultKind.LATE, progress)

    def _rejected_result(self, progress: _Progress, rejection: Rejection) -> OnlineResult:
        """Return the result of a request that no server completed.

        It is reported as not run only if no server can have run it.
        """
        kind = OnlineResultKind.BROKEN if progress.may_have_run else OnlineResultKind.REFUSED
        return OnlineResult(
            kind=kind,
            rejection=rejection,
            may_have_run=progress.may_have_run,
            frames_count=progress.frames_count,
            attempts=progress.attempts,
        )

    def _result(
        self, kind: OnlineResultKind, progress: _Progress, reply: ServerReply | None = None
    ) -> OnlineResult:
        return OnlineResult(
            kind=kind,
            reply=reply,
            may_have_run=progress.may_have_run,
            first_frame_ms=progress.first_frame_ms,
            frames_count=progress.frames_count,
            attempts=progress.attempts,
        )
