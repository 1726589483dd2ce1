"""Base class of the events by which decisions can be explained."""

from __future__ import annotations

from typing import ClassVar

import msgspec

__all__ = ('DecisionEvent',)


class DecisionEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A decision that affects a request, or a change of what the instance believes.

    The fields hold the inputs of the decision.
    """

    #: Message of the log line.
    message: ClassVar[str] = ''
