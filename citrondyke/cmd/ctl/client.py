"""Client of an instance's operator interface."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
import urllib3

from citrondyke.cmd.ctl.exit_code import ExitCode
from citrondyke.cmd.ctl.failure import CtlError
from citrondyke.cmd.ctl.options import Options
from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.configuration.configuration import ConfigSnapshot
from citrondyke.entry.responses import ErrorBody

__all__ = ('OperatorClient',)

T = TypeVar('T')

TIMEOUT_S = 15.0
EXIT_BY_STATUS = {
    400: ExitCode.WRONG_CALL,
    401: ExitCode.NOT_ALLOWED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    503: ExitCode.UNAVAILABLE,
}


class OperatorClient:
    """Calls one instance with one key; each failure becomes a message and an exit code."""

    def __init__(self, options: Options) -> None:
        """Create a client for the instance and key in the options."""
        self._server = options.server.rstrip('/')
        self._headers = {'Authorization': f'Bearer {options.key}'}
        self._http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(TIMEOUT_S))

    def get(self, path: str, kind: type[T]) -> T:
        """Send a GET request and decode the answer.

        :raises CtlError: if there is no answer, or the answer is an error or invalid.
        """
        decoded: T = self._decode(self._call('GET', path, None), kind)
        return decoded

    def post(self, path: str, body: Any = None) -> Any:
        """Send a POST request and decode the answer.

        :raises CtlError: if there is no answer, or the answer is an error or invalid.
        """
        return self._decode(self._call('POST', path, msgspec.json.encode(body)), Any)

    def config(self) -> ConfigSnapshot:
        """Read the current configuration."""
        return self.get('/operator/v1/config', ConfigSnapshot)

    def propose(self, expect: int, edits: list[dict[str, Any]]) -> Any:
        """Propose edits of the configuration.

        :param expect: the version that the edits are based on.
        """
        return self.post('/operator/v1/config', {'expect_version': expect, 'edits': edits})

    def history(self, after: int) -> list[ConfigChange]:
        """Read the changes after a version."""
        return self.get(f'/operator/v1/config/history?after={after}', list[ConfigChange])

    def _call(self, method: str, path: str, body: bytes | None) -> bytes:
        try:
            answer = self._http.request(
                method, self._server + path, body=body, headers=self._headers
            )
        except urllib3.exceptions.HTTPError as error:
            message = f'{self._server} is unreachable: {error}'
            raise CtlError(ExitCode.UNAVAILABLE, message) from error
        if answer.status >= 400:  # noqa: PLR2004
            raise _error_from_response(answer.status, answer.data)
        return answer.data

    def _decode(self, data: bytes, kind: Any) -> Any:
        try:
            return msgspec.json.decode(data, type=kind)
        except msgspec.DecodeError as error:
            message = f'{self._server} sent an invalid answer: {error}'
            raise CtlError(ExitCode.FAILED, message) from error


def _error_from_response(status: int, data: bytes) -> CtlError:
    exit_code = EXIT_BY_STATUS.get(status, ExitCode.FAILED)
    try:
        detail = msgspec.json.decode(data, type=ErrorBody).error
    except msgspec.DecodeError:
        return CtlError(exit_code, f'status {status}')
    return CtlError(exit_code, f'{detail.code}: {detail.message}')
