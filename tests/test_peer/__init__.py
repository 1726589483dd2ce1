"""Tests of the messages between instances."""

from __future__ import annotations
