"""Tests of the decisions, with no process and no wall clock."""

from __future__ import annotations
