"""Tests of membership and of leaving instances and servers."""

from __future__ import annotations
