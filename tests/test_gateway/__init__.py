"""Tests of the gateway."""

from __future__ import annotations
