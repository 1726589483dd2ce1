"""Tests of the decision logic, without processes and wall-clock time."""

from __future__ import annotations
