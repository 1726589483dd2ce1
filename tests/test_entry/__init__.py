"""Tests of the HTTP endpoints for callers."""

from __future__ import annotations
