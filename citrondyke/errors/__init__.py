"""Errors returned to callers and operators, one class for each error code."""

from __future__ import annotations

from citrondyke.errors.bad_job_line import BadJobLineError
from citrondyke.errors.base import CitrondykeError, RunState
from citrondyke.errors.body_too_large import BodyTooLargeError
from citrondyke.errors.config_conflict import ConfigConflictError
from citrondyke.errors.deadline_passed import DeadlinePassedError
from citrondyke.errors.idempotency_conflict import IdempotencyConflictError
from citrondyke.errors.in_progress import InProgressError
from citrondyke.errors.instance_starting import InstanceStartingError
from citrondyke.errors.invalid_field import InvalidFieldError
from citrondyke.errors.malformed_json import MalformedJsonError
from citrondyke.errors.not_found import NotFoundError
from citrondyke.errors.outcome_not_durable import OutcomeNotDurableError
from citrondyke.errors.outcome_unknown import OutcomeUnknownError
from citrondyke.errors.overloaded import OverloadedError
from citrondyke.errors.peer_authentication import PeerAuthenticationError
from citrondyke.errors.platform_unavailable import PlatformUnavailableError
from citrondyke.errors.request_blocked import RequestBlockedError
from citrondyke.errors.server_failed import ServerFailedError
from citrondyke.errors.server_unreachable import ServerUnreachableError
from citrondyke.errors.settings_invalid import SettingsInvalidError
from citrondyke.errors.slow_sender import SlowSenderError
from citrondyke.errors.stream_broken import StreamBrokenError
from citrondyke.errors.too_many_connections import TooManyConnectionsError
from citrondyke.errors.unauthorized import UnauthorizedError
from citrondyke.errors.unknown_class import UnknownClassError
from citrondyke.errors.unknown_model import UnknownModelError
from citrondyke.errors.unknown_service import UnknownServiceError

__all__ = (
    'BadJobLineError',
    'BodyTooLargeError',
    'CitrondykeError',
    'ConfigConflictError',
    'DeadlinePassedError',
    'IdempotencyConflictError',
    'InProgressError',
    'InstanceStartingError',
    'InvalidFieldError',
    'MalformedJsonError',
    'NotFoundError',
    'OutcomeNotDurableError',
    'OutcomeUnknownError',
    'OverloadedError',
    'PeerAuthenticationError',
    'PlatformUnavailableError',
    'RequestBlockedError',
    'RunState',
    'ServerFailedError',
    'ServerUnreachableError',
    'SettingsInvalidError',
    'SlowSenderError',
    'StreamBrokenError',
    'TooManyConnectionsError',
    'UnauthorizedError',
    'UnknownClassError',
    'UnknownModelError',
    'UnknownServiceError',
)
