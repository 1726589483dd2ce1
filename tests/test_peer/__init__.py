"""Tests of the traffic between instances."""

from __future__ import annotations
