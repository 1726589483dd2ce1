"""Small stand-ins of the platform and of the backend servers."""

from __future__ import annotations
