"""The WSGI application with all endpoints."""

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
    """Create the application."""
    app = bottle.Bottle()
    app.install(error_plugin)
    app.default_error_handler = _default_error
    _add_online(app, OnlineEndpoint(context))
    _add_jobs(app, JobsEndpoint(context))
    _add_operator(app, OperatorEndpoint(context))
    _add_health(app, context)
    return app


def _add_online(app: bottle.Bottle, endpoint: OnlineEndpoint) -> None:
    app.post('/v1/chat/completions', callback=endpoint.chat)
    app.post('/v1/completions', callback=endpoint.complete)
    app.get('/v1/models', callback=endpoint.models)
    app.route('/services/<service>/<path:path>', method=ALL_METHODS, callback=endpoint.service)


def _add_jobs(app: bottle.Bottle, endpoint: JobsEndpoint) -> None:
    app.post('/v1/files', callback=endpoint.upload)
    app.get('/v1/files', callback=endpoint.files)
    app.get('/v1/files/<file_id>', callback=endpoint.file)
    app.get('/v1/files/<file_id>/content', callback=endpoint.content)
    app.post('/v1/batches', callback=endpoint.create)
    app.get('/v1/batches', callback=endpoint.batches)
    app.get('/v1/batches/<job_id>', callback=endpoint.batch)
    app.post('/v1/batches/<job_id>/cancel', callback=endpoint.cancel)


def _add_operator(app: bottle.Bottle, endpoint: OperatorEndpoint) -> None:
    app.get('/operator/v1/config', callback=endpoint.config)
    app.post('/operator/v1/config', callback=endpoint.propose)
    app.get('/operator/v1/config/history', callback=endpoint.history)
    app.get('/operator/v1/status', callback=endpoint.status)
    app.get('/operator/v1/histograms', callback=endpoint.histograms)
    app.get('/operator/v1/report', callback=endpoint.report)
    app.get('/operator/v1/records', callback=endpoint.records)
    app.get('/operator/v1/jobs', callback=endpoint.jobs)
    app.get('/operator/v1/jobs/<job_id>', callback=endpoint.job)
    app.post('/operator/v1/jobs/<job_id>/cancel', callback=endpoint.cancel_job)


def _add_health(app: bottle.Bottle, context: EntryContext) -> None:
    def live() -> bytes:
        return json_response({'state': 'live'})

    def ready() -> bytes:
        """Return whether a load balancer may send requests to this instance."""
        if context.instance.members.is_leaving:
            return json_response({'state': 'leaving'}, 503)
        if not context.instance.is_ready:
            return json_response({'state': 'starting'}, 503)
        return json_response({'state': 'ready'})

    app.get('/health/live', callback=live)
    app.get('/health/ready', callback=ready)


def _default_error(error: Any) -> bytes:
    """Return errors raised by bottle itself in the common error format."""
    if error.status_code in (404, 405):
        return error_response(NotFoundError('no endpoint for this path and method'))
    return error_response(CitrondykeError('internal error', run=RunState.UNKNOWN))
