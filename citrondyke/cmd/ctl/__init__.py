"""Commands of ``citrondykectl`` and what they share."""

from __future__ import annotations
