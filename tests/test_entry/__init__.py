"""Tests of the doors for callers."""

from __future__ import annotations
