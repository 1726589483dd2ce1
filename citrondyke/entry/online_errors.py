"""Turns the end of an online request that was not answered into its failure."""

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
    """Give the failure of a request that never ran."""
    if rejection.reason is RejectionReason.DEADLINE:
        return DeadlinePassedError()
    if rejection.reason in (RejectionReason.NO_SERVER, RejectionReason.RETRY_BUDGET):
        return ServerUnreachableError(retry_in_ms=rejection.retry_in_ms)
    return OverloadedError(retry_in_ms=rejection.retry_in_ms)


def error_for_result(end: OnlineResult, *, has_begun: bool) -> CitrondykeError:
    """Give the failure of a request without a whole answer.

    :param has_begun: whether the caller has part of the answer.
    """
    if end.kind is OnlineResultKind.REFUSED and end.rejection is not None:
        return error_for_rejection(end.rejection)
    run = RunState.UNKNOWN if end.may_have_run else RunState.NOT_RUN
    if end.kind is OnlineResultKind.LATE:
        return DeadlinePassedError(run=run)
    if has_begun:
        return StreamBrokenError()
    return ServerFailedError(run=run)


_ONCE: dict[OnceResultKind, Callable[[], CitrondykeError]] = {
    OnceResultKind.CONFLICT: IdempotencyConflictError,
    OnceResultKind.UNKNOWN: OutcomeUnknownError,
    OnceResultKind.NOT_DURABLE: lambda: OutcomeNotDurableError(retry_in_ms=PLATFORM_RETRY_MS),
    OnceResultKind.IN_PROGRESS: lambda: InProgressError(retry_in_ms=PROGRESS_RETRY_MS),
    OnceResultKind.PLATFORM_DOWN: lambda: PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS),
}


def error_for_once_result(end: OnceResult) -> CitrondykeError:
    """Give the failure of a request that runs at most once."""
    if end.kind is OnceResultKind.NOT_RUN:
        if end.rejection is not None:
            return error_for_rejection(end.rejection)
        return ServerUnreachableError(retry_in_ms=PROGRESS_RETRY_MS)
    return _ONCE[end.kind]()
