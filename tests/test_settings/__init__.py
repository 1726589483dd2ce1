"""Tests of the settings."""

from __future__ import annotations
