"""The failure ``gave_way``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('ItemPreemptedError',)


class ItemPreemptedError(CitrondykeError):
    """A batch item's run was ended so that its place is free; it goes on later."""

    code = 'gave_way'
    default_run = RunState.RAN
