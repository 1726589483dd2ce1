"""How long an engine's step takes."""

from __future__ import annotations

import msgspec

__all__ = ('EngineCurve',)


class EngineCurve(msgspec.Struct, frozen=True, kw_only=True):
    """Step time by running streams, nearly flat to a knee and rising after it."""

    base_ms: float = 4.0
    #: Rise of the step for each stream up to the knee.
    flat_rise_ms: float = 0.004
    knee_streams: int = 32
    #: Rise of the step for each stream beyond the knee.
    steep_rise_ms: float = 0.25
    #: Prefill work that shares the step.
    prefill_ms_per_1k_tokens: float = 8.0
    #: Streams that run at once; the rest wait, first come first served.
    max_running: int = 128

    def step_ms(self, running: int, prefill_tokens: int = 0) -> float:
        """Give the time of one step."""
        flat = self.flat_rise_ms * min(running, self.knee_streams)
        steep = self.steep_rise_ms * max(0, running - self.knee_streams)
        prefill = self.prefill_ms_per_1k_tokens * prefill_tokens / 1000
        return self.base_ms + flat + steep + prefill
