"""Tests of what the fleet knows of backend servers."""

from __future__ import annotations
