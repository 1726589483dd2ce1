"""Asks an instance on behalf of an operator."""

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
    """One instance, one key; every failure becomes a message and an exit code."""

    def __init__(self, options: Options) -> None:
        """Ask the instance that the options name."""
        self._server = options.server.rstrip('/')
        self._headers = {'Authorization': f'Bearer {options.key}'}
        self._http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(TIMEOUT_S))

    def get(self, path: str, kind: type[T]) -> T:
        """Ask, and decode the answer.

        :raises CtlError: when there is no answer, or it is a failure.
        """
        decoded: T = self._decode(self._call('GET', path, None), kind)
        return decoded

    def post(self, path: str, body: Any = None) -> Any:
        """Ask for a change, and decode the answer.

        :raises CtlError: when there is no answer, or it is a failure.
        """
        return self._decode(self._call('POST', path, msgspec.json.encode(body)), Any)

    def config(self) -> ConfigSnapshot:
        """Read the configuration in force."""
        return self.get('/operator/v1/config', ConfigSnapshot)

    def propose(self, expect: int, edits: list[dict[str, Any]]) -> Any:
        """Change the configuration on top of a version."""
        return self.post('/operator/v1/config', {'expect_version': expect, 'edits': edits})

    def history(self, after: int) -> list[ConfigChange]:
        """Read the changes behind a version."""
        return self.get(f'/operator/v1/config/history?after={after}', list[ConfigChange])

    def _call(self, method: str, path: str, body: bytes | None) -> bytes:
        try:
            answer = self._http.request(
                method, self._server + path, body=body, headers=self._headers
            )
        except urllib3.exceptions.HTTPError as error:
            message = f'{self._server} does not answer: {error}'
            raise CtlError(ExitCode.UNAVAILABLE, message) from error
        if answer.status >= 400:  # noqa: PLR2004
            raise _error_from_response(answer.status, answer.data)
        return answer.data

    def _decode(self, data: bytes, kind: Any) -> Any:
        try:
            return msgspec.json.decode(data, type=kind)
        except msgspec.DecodeError as error:
            message = f'{self._server} gave an answer that cannot be read: {error}'
            raise CtlError(ExitCode.FAILED, message) from error


def _error_from_response(status: int, data: bytes) -> CtlError:
    exit_code = EXIT_BY_STATUS.get(status, ExitCode.FAILED)
    try:
        detail = msgspec.json.decode(data, type=ErrorBody).error
    except msgspec.DecodeError:
        return CtlError(exit_code, f'status {status}')
    return CtlError(exit_code, f'{detail.code}: {detail.message}')
