"""Tests of reports, metrics and log analysis for operators."""

from __future__ import annotations
