"""Tests of the programs."""

from __future__ import annotations
