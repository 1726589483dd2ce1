"""What all decisions stand on: operations, workflows, signals, commits."""

from __future__ import annotations
