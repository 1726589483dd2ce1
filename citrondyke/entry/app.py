"""All doors as one WSGI application."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import bottle

from citrondyke.entry.jobs_endpoint import JobsEndpoint
from citrondyke.entry.online_endpoint import OnlineEndpoint
from citrondyke.entry.operator_endpoint import OperatorEndpoint
from citrondyke.entry.responses import error_plugin, error_response, json_response
from citrondyke.errors import CitrondykeError, NotFoundError, RunState

if TYPE_CHECKING:
    from citrondyke.entry.entry_context import EntryContext

__all__ = ('entry_app',)

ALL_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


def entry_app(context: EntryContext) -> bottle.Bottle:
    """Make the application."""
    app = bottle.Bottle()
    app.install(error_plugin)
    app.default_error_handler = _default_error
    _add_online(app, OnlineEndpoint(context))
    _add_jobs(app, JobsEndpoint(context))
    _add_operator(app, OperatorEndpoint(context))
    _add_health(app, context)
    return app


def _add_online(app: bottle.Bottle, door: OnlineEndpoint) -> None:
    app.post('/v1/chat/completions', callback=door.chat)
    app.post('/v1/completions', callback=door.complete)
    app.get('/v1/models', callback=door.models)
    app.route('/services/<service>/<path:path>', method=ALL_METHODS, callback=door.service)


def _add_jobs(app: bottle.Bottle, door: JobsEndpoint) -> None:
    app.post('/v1/files', callback=door.upload)
    app.get('/v1/files', callback=door.files)
    app.get('/v1/files/<file_id>', callback=door.file)
    app.get('/v1/files/<file_id>/content', callback=door.content)
    app.post('/v1/batches', callback=door.create)
    app.get('/v1/batches', callback=door.batches)
    app.get('/v1/batches/<job_id>', callback=door.batch)
    app.post('/v1/batches/<job_id>/cancel', callback=door.cancel)


def _add_operator(app: bottle.Bottle, door: OperatorEndpoint) -> None:
    app.get('/operator/v1/config', callback=door.config)
    app.post('/operator/v1/config', callback=door.propose)
    app.get('/operator/v1/config/history', callback=door.history)
    app.get('/operator/v1/status', callback=door.status)
    app.get('/operator/v1/histograms', callback=door.histograms)
    app.get('/operator/v1/report', callback=door.report)
    app.get('/operator/v1/records', callback=door.records)
    app.get('/operator/v1/jobs', callback=door.jobs)
    app.get('/operator/v1/jobs/<job_id>', callback=door.job)
    app.post('/operator/v1/jobs/<job_id>/cancel', callback=door.cancel_job)


def _add_health(app: bottle.Bottle, context: EntryContext) -> None:
    def live() -> bytes:
        return json_response({'state': 'live'})

    def ready() -> bytes:
        """Tell the balancer whether to send calls here."""
        if context.instance.members.is_leaving:
            return json_response({'state': 'leaving'}, 503)
        if not context.instance.is_ready:
            return json_response({'state': 'starting'}, 503)
        return json_response({'state': 'ready'})

    app.get('/health/live', callback=live)
    app.get('/health/ready', callback=ready)


def _default_error(error: Any) -> bytes:
    """Answer what bottle itself refuses in the same shape as all else."""
    if error.status_code in (404, 405):
        return error_response(NotFoundError('there is nothing at this path and method'))
    return error_response(CitrondykeError('internal error', run=RunState.UNKNOWN))
