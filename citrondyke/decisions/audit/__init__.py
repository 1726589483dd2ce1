"""Audit log: outcome records in sealed segments, each with the digest of the one before."""

from __future__ import annotations
