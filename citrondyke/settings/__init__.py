"""Settings of the daemon: a TOML file that is validated on load."""

from __future__ import annotations

from citrondyke.settings.load import check_settings, load_settings
from citrondyke.settings.model import DaemonSettings

__all__ = ('DaemonSettings', 'check_settings', 'load_settings')
