"""Foundations of the decision logic: operations, workflows, signals and commits."""

from __future__ import annotations
