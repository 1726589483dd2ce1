"""What the tests share."""

from __future__ import annotations
