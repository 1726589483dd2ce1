"""What all doors of one instance share."""

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
    """The instance behind the doors, and who may pass them."""

    def __init__(
        self,
        settings: DaemonSettings,
        instance: Instance,
        driver: GeventDriver,
        measures: RequestMetrics,
        clock: Clock,
    ) -> None:
        """Use the parts handed in."""
        self.settings = settings
        self.instance = instance
        self.driver = driver
        self.measures = measures
        self.clock = clock
        #: Calls that are being answered now.
        self.open_calls = 0
        self.uploads = BoundedSemaphore(settings.limits.uploads)

    def authenticate_tenant(self, authorization: str | None) -> TenantEntry:
        """Find whose key a request carries.

        :raises InstanceStartingError: before the configuration was read.
        :raises UnauthorizedError: when the key is nobody's.
        """
        self.check_ready()
        found = self.instance.config_replica.current.tenant_of_key(_bearer(authorization))
        if found is None:
            raise UnauthorizedError
        return found

    def authenticate_operator(self, authorization: str | None) -> str:
        """Find which operator's key a request carries, and give the operator's id.

        :raises InstanceStartingError: before the configuration was read.
        :raises UnauthorizedError: when the key is nobody's.
        """
        self.check_ready()
        key = _bearer(authorization)
        found: OperatorEntry | None = self.instance.config_replica.current.operator_of_key(key)
        if found is not None:
            return found.id
        if _is_bootstrap_key(key, self.settings.operators.bootstrap_key_sha256):
            return 'bootstrap'
        raise UnauthorizedError

    def check_ready(self) -> None:
        """Turn requests away until the configuration was read.

        :raises InstanceStartingError: until then.
        """
        if not self.instance.is_ready:
            raise InstanceStartingError(retry_in_ms=STARTING_RETRY_MS)

    def find_class(self, name: str | None, default: ClassName, kind: ClassKind) -> ClassEntry:
        """Find the class that a request names, or its tenant's own.

        :raises UnknownClassError: when there is none of that kind.
        """
        wanted = ClassName(name) if name else default
        found = self.instance.config_replica.current.class_entry(wanted)
        if found is None or found.kind is not kind:
            raise UnknownClassError(f'{wanted!r} is no class of {kind.value} work')
        return found


def _bearer(authorization: str | None) -> str:
    if not authorization or not authorization.startswith(BEARER):
        raise UnauthorizedError
    return authorization[len(BEARER) :].strip()


def _is_bootstrap_key(key: str, digest: str) -> bool:
    return bool(digest) and hmac.compare_digest(key_hash(key), digest)
