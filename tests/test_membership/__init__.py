"""Tests of leaving and of who lives."""

from __future__ import annotations
