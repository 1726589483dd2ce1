"""Tests of request forwarding."""

from __future__ import annotations
