"""The object store over its HTTP protocol."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from citrondyke.ids import ObjectKey
from citrondyke.storage._platform_http import PlatformHttpClient
from citrondyke.storage.failure import MISSING, PlatformFailure
from citrondyke.storage.object_store import ObjectStore

__all__ = ('HttpObjectStore', 'http_object_store')


def http_object_store(url: str, timeout_ms: float) -> HttpObjectStore:
    """Make a client.

    :param timeout_ms: timeout of each call.
    """
    return HttpObjectStore(PlatformHttpClient(url, timeout_ms))


class HttpObjectStore(ObjectStore):
    """A client of the object store."""

    def __init__(self, http: PlatformHttpClient) -> None:
        """Use the connections of ``http``."""
        self._http = http

    def put(self, key: ObjectKey, body: bytes) -> PlatformFailure | None:
        """Store an object."""
        answer = self._http.call('PUT', f'/objects/{quote(key)}', body)
        return answer if isinstance(answer, PlatformFailure) else None

    def get(self, key: ObjectKey) -> bytes | PlatformFailure:
        """Fetch an object."""
        answer = self._http.call('GET', f'/objects/{quote(key)}')
        return answer if isinstance(answer, PlatformFailure) else answer[1]

    def delete(self, key: ObjectKey) -> PlatformFailure | None:
        """Delete an object; one that is not there counts as deleted."""
        answer = self._http.call('DELETE', f'/objects/{quote(key)}')
        return answer if isinstance(answer, PlatformFailure) and answer != MISSING else None

    def list_keys(self, prefix: str) -> list[ObjectKey] | PlatformFailure:
        """List the keys below a prefix, in order."""
        answer = self._http.call('GET', f'/objects?prefix={quote(prefix, safe="")}')
        if isinstance(answer, PlatformFailure):
            return answer
        return msgspec.json.decode(answer[1], type=list[ObjectKey])
