"""Every decision of an instance, with no socket, clock, greenlet or global.

Time comes from the clock handed in, chance from the generator handed in. What must touch the
world is yielded as a typed operation, so that any driver can host an instance: the daemon's
over gevent, or one in virtual time.
"""

from __future__ import annotations
