"""The decision logic of an instance, free of I/O, greenlets and global state.

The clock and the random number generator are passed in. All I/O is yielded as a typed operation,
so that any driver can host an instance: the daemon's over gevent, or one in virtual time.
"""

from __future__ import annotations
