"""Tests of what operators see and change."""

from __future__ import annotations
