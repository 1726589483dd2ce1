"""Reports, metrics and log analysis for operators."""

from __future__ import annotations
