"""The gateway's choice of a server, and simpler ones that it is compared with."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from citrondyke.decisions.forwarding.admission_rule import AdmissionRule, Admitted, Rejected
from citrondyke.decisions.forwarding.route import Route, RouteKind, ServiceShare
from citrondyke.ids import RouteName, ServerId, ServiceName

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.forwarding.server_state import ServerState

__all__ = (
    'AIM_MS',
    'SERVICE',
    'STAY_MS',
    'LeastLoadedOnly',
    'NoWaiting',
    'Ours',
    'Policy',
    'RandomOfTwo',
)

#: A stream of 28 events occupies a place for about so long.
STAY_MS = 760.0
AIM_MS = 300.0
SERVICE = ServiceName('lm')
ROUTE = Route(
    name=RouteName('r'),
    host='h',
    prefix='/p/',
    kind=RouteKind.STREAM,
    shares=(ServiceShare(SERVICE, 1.0),),
    timeout_ms=5_000.0,
    target_ms=AIM_MS,
)


class Policy(ABC):
    """How one instance chooses; gives a server's number, or when to come back."""

    def __init__(self, context: Context, book: ServerRegistry) -> None:
        """Use what one instance believes of the servers."""
        self.context = context
        self.book = book
        self.rule = AdmissionRule(context, book)
        self.rule.record_service_time(ROUTE, STAY_MS)

    def decide(self, state: ServerState) -> Admitted | Rejected:
        """Give what the gateway's rule says of a server."""
        return self.rule.decide(ROUTE, state, 5_000.0)

    @abstractmethod
    def choose(self) -> ServerId | float:
        """Choose."""

    def choose_for(self, key: int) -> ServerId | float:
        """Choose for a request that is known when it comes back."""
        del key
        return self.choose()


class Ours(Policy):
    """What the gateway does."""

    def choose(self) -> ServerId | float:
        """Choose."""
        state = self.book.choose_server(SERVICE, (), '')
        assert state is not None
        answer = self.decide(state)
        if isinstance(answer, Rejected):
            return answer.retry_in_ms
        return state.listed.id


class LeastLoadedOnly(Policy):
    """No bound on the wait."""

    def choose(self) -> ServerId | float:
        """Choose."""
        state = self.book.choose_server(SERVICE, (), '')
        assert state is not None
        return state.listed.id


class RandomOfTwo(Policy):
    """The better of two, by this instance's own requests only, and no bound."""

    def choose(self) -> ServerId | float:
        """Choose."""
        pair = self.context.random.sample(list(self.book.states()), 2)
        return min(pair, key=lambda state: state.own.online).listed.id


class NoWaiting(Policy):
    """A free place or none, asked back after the shortest time."""

    def choose(self) -> ServerId | float:
        """Choose."""
        state = self.book.choose_server(SERVICE, (), '')
        assert state is not None
        now_ms = self.context.now_ms()
        if state.online_count(now_ms) >= state.listed.slots_count:
            return 60.0 * (1.0 + self.context.random.random())
        return state.listed.id
