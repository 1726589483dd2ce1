"""The ``settings_invalid`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('SettingsInvalidError',)


class SettingsInvalidError(CitrondykeError):
    """A settings file is invalid."""

    code = 'settings_invalid'
    kind = 'settings_error'

    def __init__(self, file: str, key: str, value: object, allowed: str) -> None:
        """Initialize the error.

        :param key: dotted path of the key; empty for the file itself.
        :param allowed: description of the allowed values.
        """
        super().__init__(f'{file}: {key or "(file)"}: {value!r} is not allowed; allowed: {allowed}')
        self.file = file
        self.key = key
        self.value = value
        self.allowed = allowed
