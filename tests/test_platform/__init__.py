"""Tests of the adapter to the users' platform."""

from __future__ import annotations
