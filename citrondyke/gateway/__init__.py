"""The gateway: whole requests forwarded byte for byte, and batch jobs, over gevent sockets."""

from __future__ import annotations
