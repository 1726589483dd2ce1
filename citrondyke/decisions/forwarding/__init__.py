"""Forwarding of requests: routes, server selection, retries and admission, without I/O."""

from __future__ import annotations
