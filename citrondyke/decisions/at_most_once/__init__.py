"""At-most-once execution of requests that must not be repeated."""

from __future__ import annotations
