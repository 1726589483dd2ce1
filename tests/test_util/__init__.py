"""Tests of the helpers that are independent of the domain."""

from __future__ import annotations
