"""HTTP endpoints for callers and operators."""

from __future__ import annotations
