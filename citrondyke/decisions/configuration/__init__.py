"""Configuration set by operators, with versions that never decrease."""

from __future__ import annotations
