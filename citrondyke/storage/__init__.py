"""The platform's services as the instance sees them: rows, objects, lists."""

from __future__ import annotations
