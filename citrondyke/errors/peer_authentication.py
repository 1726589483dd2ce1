"""The ``peer_authentication`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('PeerAuthenticationError',)


class PeerAuthenticationError(CitrondykeError):
    """A message from another instance failed authentication."""

    code = 'peer_authentication'
    kind = 'authentication_error'
    http_status = 403
