"""Notices changed settings, with a signal or without one."""

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

#: The file may change without a signal; reading its few KB costs about 1 ms.
POLL_EVERY_S = 2.0


class SettingsWatcher:
    """Hands on settings that differ from the last ones; a file in error changes nothing."""

    def __init__(
        self,
        load: Callable[[], GatewaySettings],
        current: GatewaySettings,
        on_change: Callable[[GatewaySettings], None],
    ) -> None:
        """Watch what ``load`` gives."""
        self._load = load
        self._current = current
        self._on_change = on_change

    def start(self) -> None:
        """Begin to look by itself."""
        gevent.spawn(self._run)

    def reload_if_changed(self) -> None:
        """Read the settings and hand them on if they changed."""
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
