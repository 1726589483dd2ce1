"""Runs workflows as a state machine that takes events and returns typed effects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NewType

import msgspec

from citrondyke.decisions.core.ops import Op, Sleep, Spawn, Wait

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.core.signal import Signal

__all__ = ('Effect', 'OpToken', 'Perform', 'Runner', 'StartTimer', 'WorkflowEnded')

#: Identifies one outstanding operation of a runner.
OpToken = NewType('OpToken', int)


class Effect(msgspec.Struct, frozen=True):
    """An action for the host."""


class Perform(Effect, frozen=True):
    """Carry out an operation and pass its result to ``Runner.resume``."""

    token: OpToken
    op: Op


class StartTimer(Effect, frozen=True):
    """Call ``Runner.resume(token, False)`` at a monotonic time."""

    token: OpToken
    at_ms: float


class WorkflowEnded(Effect, frozen=True):
    """A workflow that the host started has returned its result."""

    token: OpToken
    result: Any


class Runner:
    """Runs workflows without any I/O; the host owns their clock.

    To simulate a crash of the instance, a host drops the runner, which is possible between any two
    effects.
    """

    def __init__(self) -> None:
        """Start without workflows."""
        self._next = 0
        self._waiting: dict[OpToken, tuple[Workflow[Any], OpToken | None]] = {}
        self._subscriptions: dict[OpToken, tuple[Signal[Any], Callable[[], None]]] = {}
        self._effects: list[Effect] = []
        self._is_stepping = False
        self._ready: list[tuple[Workflow[Any], OpToken | None, Any]] = []

    def start(self, workflow: Workflow[Any]) -> tuple[OpToken, list[Effect]]:
        """Start a workflow; its result arrives as ``WorkflowEnded`` with the returned token."""
        token = self._new_token()
        self._ready.append((workflow, token, None))
        return token, self._drain()

    def resume(self, token: OpToken, result: Any) -> list[Effect]:
        """Resume the workflow that awaits an operation; a stale result is dropped."""
        waiter = self._waiting.pop(token, None)
        subscription = self._subscriptions.pop(token, None)
        if subscription is not None:
            subscription[0].unsubscribe(subscription[1])
        if waiter is not None:
            self._ready.append((*waiter, result))
        return self._drain()

    def _drain(self) -> list[Effect]:
        """Step all ready workflows, including those that become ready meanwhile."""
        if self._is_stepping:
            return []
        self._is_stepping = True
        try:
            while self._ready:
                self._step(*self._ready.pop(0))
        finally:
            self._is_stepping = False
        effects, self._effects = self._effects, []
        return effects

    def _step(self, workflow: Workflow[Any], ended: OpToken | None, result: Any) -> None:
        try:
            op = workflow.send(result)
        except StopIteration as stop:
            if ended is not None:
                self._effects.append(WorkflowEnded(ended, stop.value))
            return
        if isinstance(op, Spawn):
            self._ready.append((workflow, ended, None))
            self._ready.append((op.workflow, None, None))
            return
        token = self._new_token()
        self._waiting[token] = (workflow, ended)
        if isinstance(op, Wait):
            self._wait(token, op)
            return
        if isinstance(op, Sleep):
            self._effects.append(StartTimer(token, op.until_ms))
            return
        self._effects.append(Perform(token, op))

    def _wait(self, token: OpToken, op: Wait) -> None:
        def callback() -> None:
            self._fired(token)

        self._subscriptions[token] = (op.signal, callback)
        op.signal.subscribe(callback)
        if op.until_ms is not None and token in self._waiting:
            self._effects.append(StartTimer(token, op.until_ms))

    def _fired(self, token: OpToken) -> None:
        self._subscriptions.pop(token, None)
        waiter = self._waiting.pop(token, None)
        if waiter is not None:
            self._ready.append((*waiter, True))

    def take_effects(self) -> list[Effect]:
        """Return the effects of signals that were fired outside a workflow."""
        return self._drain()

    def _new_token(self) -> OpToken:
        self._next += 1
        return OpToken(self._next)
