"""Reloads changed settings, on a signal or by polling."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.errors import SettingsInvalidError

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.gateway.settings import GatewaySettings

__all__ = ('SettingsWatcher',)

log = logbook.Logger(__name__)

#: The file may change without a signal; reading its few KB takes about 1 ms.
POLL_EVERY_S = 2.0


class SettingsWatcher:
    """Applies settings that differ from the current ones; an invalid file is ignored."""

    def __init__(
        self,
        load: Callable[[], GatewaySettings],
        current: GatewaySettings,
        on_change: Callable[[GatewaySettings], None],
    ) -> None:
        """Watch the settings that ``load`` returns.

        :param on_change: called with changed settings.
        """
        self._load = load
        self._current = current
        self._on_change = on_change

    def start(self) -> None:
        """Start polling."""
        gevent.spawn(self._run)

    def reload_if_changed(self) -> None:
        """Read the settings and apply them if they changed."""
        try:
            loaded = self._load()
        except SettingsInvalidError as error:
            log.warning('settings.invalid', extra={'detail': error.message})
            return
        if loaded != self._current:
            self._current = loaded
            self._on_change(loaded)

    def _run(self) -> None:
        while True:
            gevent.sleep(POLL_EVERY_S)
            self.reload_if_changed()
