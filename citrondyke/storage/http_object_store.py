"""HTTP client for the object store."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from citrondyke.ids import ObjectKey
from citrondyke.storage._platform_http import PlatformHttpClient
from citrondyke.storage.failure import MISSING, PlatformFailure
from citrondyke.storage.object_store import ObjectStore

__all__ = ('HttpObjectStore', 'http_object_store')


def http_object_store(url: str, timeout_ms: float) -> HttpObjectStore:
    """Create a client.

    :param url: base URL of the service.
    :param timeout_ms: timeout of each call.
    """
    return HttpObjectStore(PlatformHttpClient(url, timeout_ms))


class HttpObjectStore(ObjectStore):
    """Accesses the object store over HTTP."""

    def __init__(self, http: PlatformHttpClient) -> None:
        """Initialize the client."""
        self._http = http

    def put(self, key: ObjectKey, body: bytes) -> PlatformFailure | None:
        """Store an object."""
        response = self._http.call('PUT', f'/objects/{quote(key)}', body)
        return response if isinstance(response, PlatformFailure) else None

    def get(self, key: ObjectKey) -> bytes | PlatformFailure:
        """Fetch an object."""
        response = self._http.call('GET', f'/objects/{quote(key)}')
        return response if isinstance(response, PlatformFailure) else response[1]

    def delete(self, key: ObjectKey) -> PlatformFailure | None:
        """Delete an object; succeed if it does not exist."""
        response = self._http.call('DELETE', f'/objects/{quote(key)}')
        return response if isinstance(response, PlatformFailure) and response != MISSING else None

    def list_keys(self, prefix: str) -> list[ObjectKey] | PlatformFailure:
        """List the keys with a prefix, in order."""
        response = self._http.call('GET', f'/objects?prefix={quote(prefix, safe="")}')
        if isinstance(response, PlatformFailure):
            return response
        return msgspec.json.decode(response[1], type=list[ObjectKey])
