"""Tests of the drivers and of trace replay."""

from __future__ import annotations
