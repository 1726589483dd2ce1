"""``citrondykectl accounts`` and ``suspects``: states reported by gateway instances."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec
import urllib3
from rich.table import Table

from citrondyke.cmd.ctl.exit_code import ExitCode
from citrondyke.cmd.ctl.failure import CtlError
from citrondyke.operator.account_report import AccountReport, InstanceState, SuspectState

__all__ = ('accounts_table', 'merge_suspects', 'read_states', 'suspects_table')

TIMEOUT_S = 5.0


def read_states(addresses: Sequence[str]) -> list[InstanceState]:
    """Read the states of instances.

    :param addresses: metrics addresses, ``IP:PORT``.
    :raises CtlError: if an instance does not answer or its answer is invalid.
    """
    if not addresses:
        raise CtlError(ExitCode.WRONG_CALL, 'give the metrics address of at least one instance')
    http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(TIMEOUT_S))
    states = []
    for address in addresses:
        try:
            reply = http.request('GET', f'http://{address}/state')
            states.append(msgspec.json.decode(reply.data, type=InstanceState))
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise CtlError(ExitCode.UNAVAILABLE, f'{address}: {error}') from error
    return states


def merge_suspects(states: Sequence[InstanceState]) -> list[SuspectState]:
    """Merge the suspects; for each request, keep the state with the most servers exited."""
    found: dict[str, SuspectState] = {}
    for state in states:
        for suspect in state.suspects:
            known = found.get(suspect.content)
            if known is None or suspect.servers_ended > known.servers_ended:
                found[suspect.content] = suspect
    return sorted(found.values(), key=lambda each: -each.servers_ended)


def accounts_table(reports: Sequence[AccountReport]) -> Iterator[Table]:
    """Show accounts with their limits, uses and rejections in the window."""
    columns = (
        'account',
        'rate/s',
        'burst',
        'used in window',
        'refused in window',
        'places kept, taken, lapsed',
        'since starts',
    )
    table = Table(*columns, title='client accounts', title_justify='left')
    for report in reports:
        since = ' '.join(f'{name}={count}' for name, count in sorted(report.verdicts.items()))
        table.add_row(
            report.id,
            f'{report.rate_per_s:g}' if report.rate_per_s else 'no limit',
            f'{report.burst:g}',
            '?' if report.uses is None else str(report.uses),
            '?' if report.refused_in_window is None else str(report.refused_in_window),
            _reservation_counts(report),
            since,
        )
    yield table


def _reservation_counts(report: AccountReport) -> str:
    if report.places_kept is None:
        return '?'
    return f'{report.places_kept}, {report.places_taken}, {report.places_lapsed}'


def suspects_table(suspects: Sequence[SuspectState]) -> Iterator[Table]:
    """Show suspected and blocked requests, and why."""
    columns = ('digest', 'of', 'standing', 'servers that ended under it', 'trials')
    table = Table(*columns, title='suspected requests and prompt parts', title_justify='left')
    for suspect in suspects:
        ended = f'{suspect.servers_ended:g}'
        kind = 'prompt part' if suspect.is_prompt_part else 'request'
        table.add_row(suspect.content, kind, suspect.standing, ended, str(suspect.trials))
    yield table
