"""The ``gave_way`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('ItemPreemptedError',)


class ItemPreemptedError(CitrondykeError):
    """A batch item was preempted to free capacity; it resumes later."""

    code = 'gave_way'
    default_run = RunState.RAN
