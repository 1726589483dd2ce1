"""Tests of the drivers."""

from __future__ import annotations
