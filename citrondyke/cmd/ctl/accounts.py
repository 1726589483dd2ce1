"""``citrondykectl accounts`` and ``suspects``: what the instances of a gateway fleet say."""

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
    """Ask instances at their metrics addresses, ``IP:PORT``.

    :raises CtlError: when one does not answer as it should.
    """
    if not addresses:
        raise CtlError(ExitCode.WRONG_CALL, 'give the metrics address of one instance at least')
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
    """Give each suspected request once, as the instance has it that knows most."""
    found: dict[str, SuspectState] = {}
    for state in states:
        for suspect in state.suspects:
            known = found.get(suspect.content)
            if known is None or suspect.servers_ended > known.servers_ended:
                found[suspect.content] = suspect
    return sorted(found.values(), key=lambda each: -each.servers_ended)


def accounts_table(reports: Sequence[AccountReport]) -> Iterator[Table]:
    """Show accounts with limit, use in the window and refusals."""
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
    """Show suspected and stopped requests, and why."""
    columns = ('content', 'standing', 'servers that ended under it', 'trials')
    table = Table(*columns, title='suspected requests', title_justify='left')
    for suspect in suspects:
        ended = f'{suspect.servers_ended:g}'
        table.add_row(suspect.content, suspect.standing, ended, str(suspect.trials))
    yield table
