"""Hosts the decisions."""

from __future__ import annotations
