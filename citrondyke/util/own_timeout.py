"""Tells a socket object's own timeout from the kernel's."""

from __future__ import annotations

__all__ = ('is_own_timeout',)


def is_own_timeout(error: OSError) -> bool:
    """Return whether only the wait is over, and the connection still open.

    Python raises ``TimeoutError`` also if the kernel has given the connection up (``ETIMEDOUT``).
    The kernel reports that once; the next read finds an end as if the other side had closed the
    connection in order.
    """
    return isinstance(error, TimeoutError) and error.errno is None
