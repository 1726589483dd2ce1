"""The failure ``peer_authentication``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('PeerAuthenticationError',)


class PeerAuthenticationError(CitrondykeError):
    """A message between instances is not authentic."""

    code = 'peer_authentication'
    kind = 'authentication_error'
    http_status = 403
