"""State shared by all endpoints, and authentication of callers."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from gevent.lock import BoundedSemaphore

from citrondyke.errors import InstanceStartingError, UnauthorizedError, UnknownClassError
from citrondyke.ids import ClassName
from citrondyke.util.hashing import key_hash

if TYPE_CHECKING:
    from citrondyke.decisions.configuration.entries import (
        ClassEntry,
        ClassKind,
        OperatorEntry,
        TenantEntry,
    )
    from citrondyke.decisions.instance import Instance
    from citrondyke.driver.gevent_driver import GeventDriver
    from citrondyke.operator.request_metrics import RequestMetrics
    from citrondyke.settings.model import DaemonSettings
    from citrondyke.util.clock import Clock

__all__ = ('EntryContext',)

BEARER = 'Bearer '
STARTING_RETRY_MS = 1000.0


class EntryContext:
    """Gives the endpoints access to the instance and authenticates requests."""

    def __init__(
        self,
        settings: DaemonSettings,
        instance: Instance,
        driver: GeventDriver,
        metrics: RequestMetrics,
        clock: Clock,
    ) -> None:
        """Initialize the context."""
        self.settings = settings
        self.instance = instance
        self.driver = driver
        self.metrics = metrics
        self.clock = clock
        #: Online requests in progress.
        self.open_calls = 0
        #: Limits concurrent uploads of job files.
        self.uploads = BoundedSemaphore(settings.limits.uploads)

    def authenticate_tenant(self, authorization: str | None) -> TenantEntry:
        """Return the tenant that an API key belongs to.

        :param authorization: value of the ``Authorization`` header.
        :raises InstanceStartingError: if the configuration is not loaded yet.
        :raises UnauthorizedError: if the key is missing or unknown.
        """
        self.check_ready()
        found = self.instance.config_replica.current.tenant_of_key(_bearer_key(authorization))
        if found is None:
            raise UnauthorizedError
        return found

    def authenticate_operator(self, authorization: str | None) -> str:
        """Return the id of the operator that an API key belongs to.

        :param authorization: value of the ``Authorization`` header.
        :raises InstanceStartingError: if the configuration is not loaded yet.
        :raises UnauthorizedError: if the key is missing or unknown.
        """
        self.check_ready()
        key = _bearer_key(authorization)
        found: OperatorEntry | None = self.instance.config_replica.current.operator_of_key(key)
        if found is not None:
            return found.id
        if _is_bootstrap_key(key, self.settings.operators.bootstrap_key_sha256):
            return 'bootstrap'
        raise UnauthorizedError

    def check_ready(self) -> None:
        """Check that the instance has loaded its configuration.

        :raises InstanceStartingError: if it has not.
        """
        if not self.instance.is_ready:
            raise InstanceStartingError(retry_in_ms=STARTING_RETRY_MS)

    def find_class(self, name: str | None, default: ClassName, kind: ClassKind) -> ClassEntry:
        """Return the entry of a class.

        :param name: the class named by the request; ``None`` for the default.
        :param default: the tenant's default class.
        :param kind: the kind that the class must have.
        :raises UnknownClassError: if there is no such class of this kind.
        """
        class_name = ClassName(name) if name else default
        found = self.instance.config_replica.current.class_entry(class_name)
        if found is None or found.kind is not kind:
            raise UnknownClassError(f'{class_name!r} is not a class of {kind.value} work')
        return found


def _bearer_key(authorization: str | None) -> str:
    if not authorization or not authorization.startswith(BEARER):
        raise UnauthorizedError
    return authorization[len(BEARER) :].strip()


def _is_bootstrap_key(key: str, digest: str) -> bool:
    return bool(digest) and hmac.compare_digest(key_hash(key), digest)
