"""``citrondykectl jobs``."""

from __future__ import annotations

from typing import Annotated

from cyclopts import App, Parameter

from citrondyke.cmd.ctl import tables
from citrondyke.cmd.ctl.client import OperatorClient
from citrondyke.cmd.ctl.options import Options
from citrondyke.cmd.ctl.show import show
from citrondyke.entry.operator_schemas import JobSummary, JobView

__all__ = ('jobs_app',)

jobs_app = App(name='jobs', help='Show and cancel jobs.')
Shared = Annotated[Options, Parameter(name='*')]


@jobs_app.command(name='list')
def jobs_list(options: Shared = Options()) -> None:  # noqa: B008
    """List the open jobs by deadline."""
    answer = OperatorClient(options).get('/operator/v1/jobs', list[JobSummary])
    show(options, answer, tables.jobs_table)


@jobs_app.command(name='show')
def jobsshow(job_id: str, *, options: Shared = Options()) -> None:  # noqa: B008
    """Show a job's progress, its forecast finish, and whether it is at risk."""
    answer = OperatorClient(options).get(f'/operator/v1/jobs/{job_id}', JobView)
    show(options, answer, tables.job_view)


@jobs_app.command(name='cancel')
def jobs_cancel(job_id: str, *, options: Shared = Options()) -> None:  # noqa: B008
    """Cancel a job; results that are already visible are kept."""
    answer = OperatorClient(options).post(f'/operator/v1/jobs/{job_id}/cancel')
    show(options, answer, lambda body: [f'{body["job_id"]}: {body["state"]}'])
