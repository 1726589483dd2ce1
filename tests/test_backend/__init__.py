"""Tests of the client of the backend servers."""

from __future__ import annotations
