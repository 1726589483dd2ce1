"""The most batch work that an engine can do beside a known online load."""

from __future__ import annotations

from benchmarks.scenario import Arrival
from citrondyke.standin.engine_curve import EngineCurve
from citrondyke.standin.engine_model import EngineModel, EngineStream

__all__ = ('oracle_batch_tokens',)


def oracle_batch_tokens(
    arrivals: list[Arrival],
    curve: EngineCurve,
    fill: int,
    start_ms: float,
    until_ms: float,
    *,
    batch_tokens: int,
    batch_prompt_tokens: int,
) -> int:
    """Run one engine that knows its curve and sees each online request the moment it comes.

    Before each step it puts batch streams beside the online ones up to ``fill``; taking one off
    and putting it back costs nothing. New batch streams pay their prefill, as ours do, one a step.

    :returns: batch tokens made between ``start_ms`` and ``until_ms``.
    """
    engine = EngineModel(curve)
    pending = sorted(arrivals, key=lambda arrival: arrival.at_ms)
    running: list[EngineStream] = []
    paused: list[EngineStream] = []
    now_ms = 0.0
    made = position = number = 0
    while now_ms < until_ms:
        while position < len(pending) and pending[position].at_ms <= now_ms:
            arrival = pending[position]
            engine.submit(EngineStream(f'o{position}', arrival.prompt_tokens, arrival.tokens))
            position += 1
        online = engine.running_count + engine.waiting_count
        wanted = max(0, fill - online)
        while len(running) > wanted:
            paused.append(running.pop())
        while len(running) < wanted and paused:
            running.append(paused.pop())
        prefill = 0
        if len(running) < wanted:
            number += 1
            running.append(EngineStream(f'b{number}', batch_prompt_tokens, batch_tokens))
            prefill = batch_prompt_tokens
        online_step_ms = engine.begin_step()
        prefill_ms = online_step_ms - curve.step_ms(engine.running_count)
        batch_prefill_ms = curve.step_ms(0, prefill) - curve.step_ms(0)
        now_ms += curve.step_ms(engine.running_count + len(running)) + prefill_ms + batch_prefill_ms
        engine.end_step()
        for stream in running:
            stream.done_tokens += 1
        if now_ms >= start_ms:
            made += len(running)
        running = [stream for stream in running if stream.done_tokens < stream.max_tokens]
    return made
