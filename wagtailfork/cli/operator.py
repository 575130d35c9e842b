"""Operator commands: tickets, dumps, reports and settings."""

import json
import pathlib
import sys
import time
from typing import Any, Final

import aiosonic
import click
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from ..control.log_client import LogClient
from ..control.tickets import parse_ticket
from ..core.errors import WagtailforkError
from ..core.results import HTTP_OK, ResultCode
from ..core.settings import EntrySettings, GatewaySettings, load_settings
from ..platform.store import StoreClient
from ..platform.traffic import read_store_traffic
from ..traffic.ledger import TrafficRow
from ..traffic.log_report import read_log_traffic
from ..traffic.report import TimeRange
from .runner import run_async

EXIT_REFUSED: Final = 3
_TIMEOUT_S: Final = 15.0
_MS_PER_S: Final = 1000
_SETTINGS_BY_ROLE: Final[dict[str, Any]] = {
    'entry': EntrySettings,
    'gateway': GatewaySettings,
}

_ADMIN = click.option(
    '--admin',
    required=True,
    help='Administration address of any entry VM, IP address and port.',
)


async def call_admin(
    method: str,
    address: str,
    path: str,
    body: str | None = None,
) -> tuple[int, Any]:
    """Call the administration API; return the status and the JSON body."""
    timeouts = Timeouts(sock_read=_TIMEOUT_S, request_timeout=_TIMEOUT_S)
    async with aiosonic.HTTPClient() as http:
        try:
            response = await http.request(
                f'http://{address}{path}',
                method=method,
                data=body,
                headers={'content-type': 'application/json'},
                timeouts=timeouts,
            )
            return response.status_code, json.loads(await response.content())
        except (AiosonicError, OSError, TimeoutError, ValueError) as exc:
            raise WagtailforkError(
                ResultCode.service_unreachable,
                f'{address}: {exc!r}',
            ) from exc


def _print_json(printable: Any) -> None:
    click.echo(json.dumps(printable, indent=2))


@click.group()
def ticket() -> None:
    """Submit and show change tickets."""


@ticket.command('submit')
@_ADMIN
@click.option('--id', 'ident', default='', help='Id of this submission.')
@click.argument('path', type=click.Path())
def ticket_submit(admin: str, ident: str, path: str) -> None:
    """Submit the ticket in a JSON file and print the response."""
    raw = _read_ticket(path)
    query = f'?id={ident}' if ident else ''
    status, response = run_async(
        call_admin('POST', admin, f'/tickets{query}', json.dumps(raw)),
    )
    _print_json(response)
    if status != HTTP_OK:
        sys.exit(EXIT_REFUSED)


def _read_ticket(path: str) -> Any:
    try:
        raw = json.loads(pathlib.Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        raise WagtailforkError(ResultCode.ticket_malformed, str(exc)) from exc
    parse_ticket(raw)
    return raw


@ticket.command('show')
@_ADMIN
@click.argument('number', type=int)
def ticket_show(admin: str, number: int) -> None:
    """Show the objects whose current state was set by a ticket."""
    _status, response = run_async(call_admin('GET', admin, '/objects'))
    objects = [item for item in response['objects'] if item['ticket'] == number]
    _print_json(
        {'ticket': number, 'offset': response['offset'], 'objects': objects}
    )


@click.command('objects')
@_ADMIN
def objects_command(admin: str) -> None:
    """Show all objects of the current configuration."""
    _print_json(run_async(call_admin('GET', admin, '/objects'))[1])


@click.command('dump')
@_ADMIN
def dump_command(admin: str) -> None:
    """Show the state of one entry VM."""
    _print_json(run_async(call_admin('GET', admin, '/dump'))[1])


@click.group()
def report() -> None:
    """Report served traffic."""


@report.command('traffic')
@click.option('--log', 'url', help='URL of the log service.')
@click.option('--store', 'address', help="Address of the platform's store.")
@click.option('--since-s', default=86400.0, show_default=True)
@click.option('--until-s', default=0.0, show_default=True)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def report_traffic(
    url: str | None,
    address: str | None,
    since_s: float,
    until_s: float,
    *,
    as_json: bool,
) -> None:
    """Show traffic by customer, service and backend server.

    The period starts --since-s and ends --until-s seconds ago. Give one source
    of the traffic summaries: --log or --store.
    """
    if (url is None) == (address is None):
        raise click.UsageError('give either --log or --store')
    now_ms = round(time.time() * _MS_PER_S)
    time_range = TimeRange(
        from_ms=now_ms - round(since_s * _MS_PER_S),
        to_ms=now_ms - round(until_s * _MS_PER_S) + 1,
    )
    rows = run_async(_read_rows(url, address, time_range))
    printable = [_row_to_dict(row) for row in rows]
    if as_json:
        _print_json(printable)
        return
    for line in _format_table(printable):
        click.echo(line)


async def _read_rows(
    url: str | None,
    address: str | None,
    time_range: TimeRange,
) -> list[TrafficRow]:
    if address is not None:
        return await read_store_traffic(StoreClient(address), time_range)
    return await read_log_traffic(LogClient(url or '', _TIMEOUT_S), time_range)


def _row_to_dict(row: Any) -> dict[str, Any]:
    return {
        'customer': row.key.customer,
        'service': row.key.service,
        'backend': row.key.backend,
        'failure_domain': row.key.failure_domain,
        'result': row.key.result,
        'requests': row.requests,
        'bytes_in': row.bytes_in,
        'bytes_out': row.bytes_out,
        'mean_ms': round(row.time_ms / max(1, row.requests), 3),
    }


def _format_table(rows: list[dict[str, Any]]) -> list[str]:
    if not rows:
        return ['no traffic']
    columns = list(rows[0])
    cells = [columns, *[[str(row[name]) for name in columns] for row in rows]]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in cells
    ]


@click.group()
def settings() -> None:
    """Check settings files."""


@settings.command('check')
@click.argument('path', type=click.Path())
@click.option(
    '--role',
    type=click.Choice(sorted(_SETTINGS_BY_ROLE)),
    default='entry',
    show_default=True,
    help='Command that the file configures.',
)
def settings_check(path: str, role: str) -> None:
    """Check a settings file; an error lists each invalid key and value."""
    cfg = load_settings(path, _SETTINGS_BY_ROLE[role])
    click.echo(f'ok vm={cfg.vm} callers={cfg.caller_address}')
