"""The directory API for callers and the administration API."""

import json
from typing import Any, Protocol

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from ..control.publisher import Publisher
from ..control.snapshots import dump_state
from ..control.tickets import MAX_TICKET_BYTES, parse_ticket
from ..core.errors import WagtailforkError
from ..core.results import ResultCode, http_status, result_class
from ..core.settings import EntrySettings
from .directory import (
    AdvertisedEntry,
    CallerLocation,
    rank_entries,
    render_directory,
)
from .dump import DumpableNode, dump_node
from .metrics import MetricsNode, render_metrics

_TICKET_WAIT_S = 10.0


class DirectoryNode(Protocol):
    """List what the directory API uses of a node."""

    cfg: EntrySettings

    def advertised_entries(self) -> list[AdvertisedEntry]:
        """Return the entry VMs that callers should use now."""


class AdminNode(DumpableNode, MetricsNode, Protocol):
    """List what the administration API uses of a node."""

    publisher: Publisher

    def request_stop(self) -> None:
        """Request a graceful shutdown."""


def error_response(exc: WagtailforkError) -> JSONResponse:
    """Render an error with its result code."""
    return JSONResponse(
        {
            'code': int(exc.code),
            'result': exc.code.name,
            'class': result_class(exc.code),
            'detail': exc.detail,
        },
        status_code=http_status(exc.code),
    )


def make_directory_app(node: DirectoryNode) -> Starlette:
    """Return the application that serves the directory to callers."""

    async def directory(req: Request) -> Response:  # noqa: WPS430
        location = CallerLocation(
            region=req.query_params.get('region', ''),
            failure_domain=req.query_params.get('failure_domain', ''),
        )
        ranked = rank_entries(node.advertised_entries(), location)
        ttl_s = node.cfg.timing.directory_ttl_s
        return JSONResponse(render_directory(ranked, ttl_s))

    return Starlette(routes=[Route('/wagtailfork/v1/directory', directory)])


def make_admin_app(node: AdminNode) -> Starlette:
    """Return the application for operators and metrics scrapers."""
    return Starlette(
        routes=[
            Route('/health', _bind_node(node, _health)),
            Route('/dump', _bind_node(node, _dump)),
            Route('/metrics', _bind_node(node, _metrics)),
            Route('/objects', _bind_node(node, _objects)),
            Route('/tickets', _bind_node(node, _submit), methods=['POST']),
            Route('/leave', _bind_node(node, _leave), methods=['POST']),
        ],
    )


def _bind_node(node: AdminNode, handler: Any) -> Any:
    async def endpoint(req: Request) -> Response:  # noqa: WPS430
        try:
            return await handler(node, req)
        except WagtailforkError as exc:
            return error_response(exc)

    return endpoint


async def _health(node: AdminNode, req: Request) -> Response:
    return JSONResponse({'vm': node.cfg.vm, 'phase': node.state})


async def _dump(node: AdminNode, req: Request) -> Response:
    return JSONResponse(dump_node(node))


async def _metrics(node: AdminNode, req: Request) -> Response:
    body, content_type = render_metrics(node, req.headers.getlist('accept'))
    return PlainTextResponse(body, headers={'content-type': content_type})


async def _objects(node: AdminNode, req: Request) -> Response:
    plain = dump_state(node.follower.state)
    return JSONResponse(
        {'offset': plain['offset'], 'objects': plain['objects']}
    )


async def _submit(node: AdminNode, req: Request) -> Response:
    body = await req.body()
    if len(body) > MAX_TICKET_BYTES:
        raise WagtailforkError(ResultCode.body_too_large, str(len(body)))
    try:
        raw = json.loads(body)
    except ValueError as exc:
        raise WagtailforkError(ResultCode.ticket_malformed, str(exc)) from exc
    parse_ticket(raw)
    offset, result = await node.publisher.publish(
        'ticket',
        raw,
        _TICKET_WAIT_S,
        req.query_params.get('id'),
    )
    return JSONResponse(
        {
            'offset': offset,
            'code': int(result.code),
            'result': result.code.name,
            'detail': result.detail,
        },
        status_code=http_status(result.code),
    )


async def _leave(node: AdminNode, req: Request) -> Response:
    node.request_stop()
    return JSONResponse({'vm': node.cfg.vm, 'phase': 'leaving'})
