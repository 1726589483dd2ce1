"""Gateway over gevent sockets: forwards whole requests unchanged, and runs batch jobs."""

from __future__ import annotations
