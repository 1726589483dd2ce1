"""The door for batch jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.gateway.caller_connection import CallerConnection, CallerRequest
    from citrondyke.gateway.dialect import CallFacts, Dialect, JobCall

__all__ = ('JobDoor',)


class JobDoor:
    """Takes jobs in and answers questions about them."""

    def __init__(self, dialect: Dialect) -> None:
        """Use the parts handed in."""
        self._dialect = dialect

    def submit(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        facts: CallFacts,
        route: Route,
    ) -> None:
        """Take a job in."""
        caller.send_whole(503, self._dialect.own_answer(facts.request_id, 1000.0), b'')

    def handle(self, caller: CallerConnection, call: JobCall, facts: CallFacts) -> None:
        """Answer a question about a job."""
        caller.send_whole(503, self._dialect.own_answer(facts.request_id, 1000.0), b'')
