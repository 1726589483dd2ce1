"""Tests of the command line programs."""

from __future__ import annotations
