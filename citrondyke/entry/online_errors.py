"""Maps results of online requests that failed to errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.at_most_once.once_result import OnceResult, OnceResultKind
from citrondyke.decisions.online.rejection import Rejection, RejectionReason
from citrondyke.decisions.online.request import OnlineResult, OnlineResultKind
from citrondyke.errors import (
    CitrondykeError,
    DeadlinePassedError,
    IdempotencyConflictError,
    InProgressError,
    OutcomeNotDurableError,
    OutcomeUnknownError,
    OverloadedError,
    PlatformUnavailableError,
    RequestBlockedError,
    RunState,
    ServerFailedError,
    ServerUnreachableError,
    StreamBrokenError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('error_for_once_result', 'error_for_result')

PLATFORM_RETRY_MS = 2000.0
PROGRESS_RETRY_MS = 500.0


def error_for_rejection(rejection: Rejection) -> CitrondykeError:
    """Return the error for a rejected request, which has not run."""
    if rejection.reason is RejectionReason.DEADLINE:
        return DeadlinePassedError()
    if rejection.reason is RejectionReason.BLOCKED:
        return RequestBlockedError()
    if rejection.reason in (
        RejectionReason.NO_SERVER,
        RejectionReason.RETRY_BUDGET,
        RejectionReason.PROBE_RUNNING,
    ):
        return ServerUnreachableError(retry_in_ms=rejection.retry_in_ms)
    return OverloadedError(retry_in_ms=rejection.retry_in_ms)


def error_for_result(result: OnlineResult, *, has_begun: bool) -> CitrondykeError:
    """Return the error for a request without a complete response.

    :param has_begun: whether the caller has received a part of the response.
    """
    if result.kind is OnlineResultKind.REFUSED and result.rejection is not None:
        return error_for_rejection(result.rejection)
    run = RunState.UNKNOWN if result.may_have_run else RunState.NOT_RUN
    if result.kind is OnlineResultKind.LATE:
        return DeadlinePassedError(run=run)
    if has_begun:
        return StreamBrokenError()
    return ServerFailedError(run=run)


_ONCE_ERRORS: dict[OnceResultKind, Callable[[], CitrondykeError]] = {
    OnceResultKind.CONFLICT: IdempotencyConflictError,
    OnceResultKind.UNKNOWN: OutcomeUnknownError,
    OnceResultKind.NOT_DURABLE: lambda: OutcomeNotDurableError(retry_in_ms=PLATFORM_RETRY_MS),
    OnceResultKind.IN_PROGRESS: lambda: InProgressError(retry_in_ms=PROGRESS_RETRY_MS),
    OnceResultKind.PLATFORM_DOWN: lambda: PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS),
}


def error_for_once_result(result: OnceResult) -> CitrondykeError:
    """Return the error for a request that must not be repeated."""
    if result.kind is OnceResultKind.NOT_RUN:
        if result.rejection is not None:
            return error_for_rejection(result.rejection)
        return ServerUnreachableError(retry_in_ms=PROGRESS_RETRY_MS)
    return _ONCE_ERRORS[result.kind]()
