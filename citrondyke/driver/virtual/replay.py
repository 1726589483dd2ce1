"""Replays a trace in virtual time and reports its outcome."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from citrondyke.decisions.configuration.entries import (
    ClassKind,
)
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.jobs.job_request import AcceptedJob
from citrondyke.decisions.jobs.rows import JobRow, job_row_key
from citrondyke.decisions.online.request import OnlineRequest, OnlineResult
from citrondyke.decisions.steward import SERVICE_PREFIX
from citrondyke.driver.virtual.trace import Trace, TraceEvent, TraceEventKind
from citrondyke.driver.virtual.trace_fleet import TraceFleet
from citrondyke.driver.virtual.trace_outcome import JobOutcome, TraceOutcome
from citrondyke.driver.virtual.virtual_instance import VirtualInstance
from citrondyke.ids import ClassName, RequestId, ServerId, TargetName, TenantId
from citrondyke.standin.faults import FaultMode

__all__ = ('replay',)

#: Virtual time at which the events of the trace start.
READY_MS = 1000.0
STOP_WITHIN_MS = 10_000.0
DRAIN_POLL_MS = 20.0


class _Replay:
    """One replay of a trace."""

    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        self._header = trace.header
        self._trace_fleet = TraceFleet(trace)
        self._fleet = self._trace_fleet.virtual_fleet
        self._chats: list[tuple[TraceEvent, OnlineResult, float | None]] = []
        self._orders: dict[str, list[Any]] = {}
        self._jobs: dict[str, AcceptedJob] = {}
        self._next_host = 0
        #: Requests in flight at each instance, by ``id()`` of its host.
        self._open_requests: Counter[int] = Counter()

    def run(self) -> TraceOutcome:
        """Replay the trace until its end."""
        time = self._fleet.time
        time.run_until(READY_MS)
        for event in self._trace.events:
            time.at(READY_MS + event.at_ms, self._action_for(event))
        time.run_until(READY_MS + self._header.length_ms)
        return self._outcome()

    def _choose_host(self, event: TraceEvent) -> VirtualInstance | None:
        """Choose an instance by round robin among those that pass their health check.

        This is how the load balancer chooses.
        """
        if event.instance >= 0:
            return self._instance_by_number(event.instance)
        hosts = [
            host
            for host in self._fleet.live_instances()
            if host.instance.is_ready and not host.instance.members.is_leaving
        ]
        self._next_host += 1
        return hosts[self._next_host % len(hosts)] if hosts else None

    def _instance_by_number(self, number: int) -> VirtualInstance:
        return list(self._fleet.instances.values())[number]

    def _action_for(self, event: TraceEvent) -> Any:
        actions: dict[TraceEventKind, Callable[[TraceEvent], Any]] = {
            TraceEventKind.CHAT: self._start_chat,
            TraceEventKind.ORDER: self._start_order,
            TraceEventKind.JOB: self._start_job,
            TraceEventKind.CANCEL: self._cancel_job,
            TraceEventKind.KILL: lambda event: self._instance_by_number(event.instance).kill(),
            TraceEventKind.RESTART: lambda event: self._trace_fleet.start(event.instance),
            TraceEventKind.FREEZE: lambda event: self._instance_by_number(event.instance).freeze(),
            TraceEventKind.WAKE: lambda event: self._instance_by_number(event.instance).wake(),
            TraceEventKind.REPLACE: self._replace_instance,
            TraceEventKind.TABLE: self._set_table_fault,
            TraceEventKind.SERVER_DOWN: lambda event: self._set_server_state(event, is_up=False),
            TraceEventKind.SERVER_UP: lambda event: self._set_server_state(event, is_up=True),
        }
        return lambda: actions[event.do](event)

    def _start_chat(self, event: TraceEvent) -> None:
        host = self._choose_host(event)
        if host is None:
            return
        target = self._trace_fleet.target(is_service=False)
        body = {'max_tokens': event.tokens, 'prompt_tokens': event.prompt_tokens}
        request = self._request(event, target, '/v1/completions', body, is_repeatable=True)
        start_ms = self._fleet.time.now_ms()
        frame_times_ms: list[float] = []
        self._fleet.listen(request.request_id, frame_times_ms.append)

        def end(result: OnlineResult) -> None:
            self._open_requests[id(host)] -= 1
            first_ms = frame_times_ms[0] - start_ms if frame_times_ms else None
            self._chats.append((event, result, first_ms))

        self._open_requests[id(host)] += 1
        host.start(host.instance.online.serve(request), end)

    def _start_order(self, event: TraceEvent) -> None:
        host = self._choose_host(event)
        if host is None:
            return
        target = self._trace_fleet.target(is_service=True)
        request = self._request(event, target, '/place', {}, is_repeatable=False)
        results = self._orders.setdefault(event.name, [])

        def end(result: Any) -> None:
            self._open_requests[id(host)] -= 1
            results.append(result)

        self._open_requests[id(host)] += 1
        host.start(host.instance.once.serve(request, event.name), end)

    def _request(
        self,
        event: TraceEvent,
        target: str,
        path: str,
        body: dict[str, Any],
        *,
        is_repeatable: bool,
    ) -> OnlineRequest:
        online = next(
            each
            for each in self._header.classes
            if each.kind is ClassKind.ONLINE and event.class_name in ('', each.name)
        )
        return OnlineRequest(
            request_id=RequestId(f'r{self._fleet.random.getrandbits(60)}'),
            tenant_id=TenantId(event.tenant),
            class_name=online.name,
            target=TargetName(target),
            method='POST',
            path=path,
            headers=(('Idempotency-Key', event.name),) if event.name else (),
            body=msgspec.json.encode(body),
            is_streamed=is_repeatable,
            is_model=is_repeatable,
            is_repeatable=is_repeatable,
            first_token_target_ms=online.first_token_target_ms,
            deadline_ms=self._fleet.time.now_ms() + event.within_ms,
            cancel=Signal(),
        )

    def _start_job(self, event: TraceEvent) -> None:
        host = self._choose_host(event)
        if host is None:
            return
        target = self._trace_fleet.target(is_service=False)
        lines = []
        for number in range(event.items):
            body: dict[str, Any] = {
                'model': target,
                'max_tokens': event.tokens,
                'prompt_tokens': event.prompt_tokens,
            }
            if number in event.never:
                body['is_never'] = True
            line = {'custom_id': f'{event.name}-{number}', 'url': '/v1/completions', 'body': body}
            lines.append(msgspec.json.encode(line))

        def on_accepted(job: Any) -> None:
            if isinstance(job, AcceptedJob):
                self._jobs[event.name] = job

        name = event.class_name or next(
            each.name for each in self._header.classes if each.kind is ClassKind.BATCH
        )
        workflow = self._fleet.job_workflow(host, event.tenant, ClassName(name), b'\n'.join(lines))
        host.start(workflow, on_accepted)

    def _cancel_job(self, event: TraceEvent) -> None:
        host, job = self._choose_host(event), self._jobs.get(event.name)
        if host is not None and job is not None:
            host.start(host.instance.cancel_job(None, job.job_id))

    def _replace_instance(self, event: TraceEvent) -> None:
        host = self._instance_by_number(event.instance)

        def exit_when_idle(_: Any) -> None:
            # As in the daemon, the process exits once its last call is answered.
            if self._open_requests[id(host)]:
                self._fleet.time.after(DRAIN_POLL_MS, lambda: exit_when_idle(None))
                return
            host.start(host.instance.finish(until_ms), lambda _: restart())

        def restart() -> None:
            host.kill()
            self._trace_fleet.start(event.instance)

        until_ms = self._fleet.time.now_ms() + STOP_WITHIN_MS
        host.start(host.instance.leave(until_ms), exit_when_idle)

    def _set_table_fault(self, event: TraceEvent) -> None:
        self._fleet.platform.table_fault.mode = FaultMode(event.name)
        self._fleet.platform.table_fault.calls_left = -1

    def _set_server_state(self, event: TraceEvent, *, is_up: bool) -> None:
        server = self._fleet.servers[ServerId(event.name)]
        server.is_up = is_up
        if not is_up:
            server.crash()

    def _outcome(self) -> TraceOutcome:
        targets = {each.name: each.first_token_target_ms for each in self._header.classes}
        default = next(each.name for each in self._header.classes if each.kind is ClassKind.ONLINE)
        in_time = sum(
            1
            for event, _, first_ms in self._chats
            if first_ms is not None and first_ms <= targets[ClassName(event.class_name or default)]
        )
        chats_count = sum(1 for event in self._trace.events if event.do is TraceEventKind.CHAT)
        chats = Counter(result.kind.value for _, result, _ in self._chats)
        chats['without an end'] = chats_count - len(self._chats)
        runs = [
            count
            for server in self._fleet.servers.values()
            if server.listed.target.startswith(SERVICE_PREFIX)
            for count in server.runs.values()
        ]
        return TraceOutcome(
            chats=dict(sorted(chats.items())),
            chats_in_time=in_time,
            orders=dict(
                sorted(
                    Counter(
                        self._order_outcome(results) for results in self._orders.values()
                    ).items()
                )
            ),
            order_runs_most=max(runs, default=0),
            jobs={name: self._job_outcome(job) for name, job in sorted(self._jobs.items())},
        )

    def _order_outcome(self, results: list[Any]) -> str:
        """Return the outcome that an order's callers received; several are joined by "and"."""
        kinds = sorted({result.kind.value for result in results})
        return ' and '.join(kinds) or 'without an end'

    def _job_outcome(self, job: AcceptedJob) -> JobOutcome:
        stored = self._fleet.platform.table.read([job_row_key(job.job_id)])[0]
        row = msgspec.json.decode(stored.value, type=JobRow)
        finished_epoch_ms = row.finished_epoch_ms
        return JobOutcome(
            row.state.value,
            row.succeeded_count,
            row.failed_count,
            finished_epoch_ms is not None and finished_epoch_ms <= row.deadline_epoch_ms,
        )


def replay(trace: Trace) -> TraceOutcome:
    """Replay a trace in virtual time."""
    return _Replay(trace).run()
