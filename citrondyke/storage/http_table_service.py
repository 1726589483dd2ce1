"""HTTP client for the table service."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from citrondyke.ids import RowKey
from citrondyke.storage._platform_http import CONFLICT_STATUS, PlatformHttpClient
from citrondyke.storage.failure import AMBIGUOUS, PlatformFailure
from citrondyke.storage.table_service import Committed, Conflict, Row, TableService, Transaction

__all__ = ('HttpTableService', 'ReadRequest', 'RowsReply', 'ScanRequest', 'http_table_service')


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/read``."""

    keys: tuple[RowKey, ...]


class ScanRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/scan``."""

    prefix: str
    after: str = ''
    limit: int = 1000


class RowsReply(msgspec.Struct, frozen=True):
    """Response to a read or a scan."""

    rows: list[Row]


def http_table_service(url: str, timeout_ms: float) -> HttpTableService:
    """Create a client.

    :param url: base URL of the service.
    :param timeout_ms: timeout of each call.
    """
    return HttpTableService(PlatformHttpClient(url, timeout_ms))


class HttpTableService(TableService):
    """Accesses the table service over HTTP."""

    def __init__(self, http: PlatformHttpClient) -> None:
        """Initialize the client."""
        self._http = http

    def transact(self, transaction: Transaction) -> Committed | Conflict | PlatformFailure:
        """Attempt a transaction once."""
        response = self._http.call('POST', '/v1/transact', msgspec.json.encode(transaction))
        if isinstance(response, PlatformFailure):
            return response
        status, body = response
        try:
            if status == CONFLICT_STATUS:
                return msgspec.json.decode(body, type=Conflict)
            return msgspec.json.decode(body, type=Committed)
        except msgspec.DecodeError:
            return AMBIGUOUS

    def read(self, keys: Sequence[RowKey]) -> dict[RowKey, Row] | PlatformFailure:
        """Read rows; omit those that do not exist."""
        rows = self._request_rows('/v1/read', ReadRequest(tuple(keys)))
        if isinstance(rows, PlatformFailure):
            return rows
        return {row.key: row for row in rows}

    def scan(self, prefix: str, after: str, limit: int) -> list[Row] | PlatformFailure:
        """Read rows in key order."""
        return self._request_rows('/v1/scan', ScanRequest(prefix, after, limit))

    def _request_rows(self, path: str, request: msgspec.Struct) -> list[Row] | PlatformFailure:
        response = self._http.call('POST', path, msgspec.json.encode(request))
        if isinstance(response, PlatformFailure):
            return response
        try:
            return msgspec.json.decode(response[1], type=RowsReply).rows
        except msgspec.DecodeError:
            return AMBIGUOUS
