"""The tests."""

from __future__ import annotations
