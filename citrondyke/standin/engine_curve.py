"""The duration of an engine step as a function of its load."""

from __future__ import annotations

import msgspec

__all__ = ('EngineCurve',)


class EngineCurve(msgspec.Struct, frozen=True, kw_only=True):
    """Step time by number of running streams: nearly flat up to a knee, then rising steeply."""

    base_ms: float = 4.0
    #: Added step time for each stream up to the knee.
    flat_rise_ms: float = 0.004
    knee_streams: int = 32
    #: Added step time for each stream beyond the knee.
    steep_rise_ms: float = 0.25
    #: Added step time for prefill in the same step.
    prefill_ms_per_1k_tokens: float = 8.0
    #: Largest number of streams that run at once; the others wait in order of arrival.
    max_running: int = 128

    def step_ms(self, running: int, prefill_tokens: int = 0) -> float:
        """Return the duration of one step in ms."""
        flat = self.flat_rise_ms * min(running, self.knee_streams)
        steep = self.steep_rise_ms * max(0, running - self.knee_streams)
        prefill = self.prefill_ms_per_1k_tokens * prefill_tokens / 1000
        return self.base_ms + flat + steep + prefill
