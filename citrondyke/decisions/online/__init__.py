"""Online requests: who may come in, which backend server, what after a failure."""

from __future__ import annotations
