"""The programs."""

from __future__ import annotations
