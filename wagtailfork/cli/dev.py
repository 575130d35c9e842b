"""The ``dev`` command: a whole deployment in one process on loopback."""

import asyncio
import json
from typing import Any, Final

import aiohttp
import attrs
import click

from ..core.logs import configure_logs
from ..core.server import HttpServer, bind
from ..core.settings import EntrySettings, Timing
from ..node.entry import EntryNode
from ..standin.backend import BackendStandin
from ..standin.log import LogStandin
from ..standin.vms import VmsStandin
from .runner import on_stop_signals, run_async

_HOST: Final = '127.0.0.1'
_ENTRIES: Final = 3
_BACKENDS: Final = 4
_READY_TRIES: Final = 100
_READY_STEP_S: Final = 0.1
_DOMAINS: Final = ('hobart-a', 'hobart-b')
_REGION: Final = 'south-tas'
_CUSTOMER: Final = 'kiosk'
_SERVICE: Final = 'stockd'


@attrs.frozen
class _Ports:
    base: int

    def log(self) -> str:
        return f'{_HOST}:{self.base}'

    def vms(self) -> str:
        return f'{_HOST}:{self.base + 1}'

    def backend(self, index: int) -> str:
        return f'{_HOST}:{self.base + 10 + index}'

    def entry(self, index: int, part: int) -> str:
        return f'{_HOST}:{self.base + 20 + index * 10 + part}'


def sample_ticket(ports: _Ports) -> dict[str, Any]:
    """Make the change ticket that sets the embedded example up."""
    made: list[dict[str, Any]] = [
        {'kind': 'service', 'name': _SERVICE, 'state': {}},
        {'kind': 'customer', 'name': _CUSTOMER, 'state': {}},
    ]
    for index in range(_BACKENDS):
        made.append(
            {
                'kind': 'backend',
                'name': f'{_SERVICE}.{index}',
                'state': {
                    'service': _SERVICE,
                    'address': ports.backend(index),
                    'region': _REGION,
                    'failure_domain': _DOMAINS[index % 2],
                },
            }
        )
    return {'ticket': 1, 'operator': 'dev', 'objects': made}


@click.command()
@click.option('--port', default=17000, show_default=True, help='First port.')
@click.option(
    '--seconds',
    default=0.0,
    help='Stop after so long; 0 serves until interrupted.',
)
def dev(port: int, seconds: float) -> None:
    """Run a whole small deployment in one process on loopback."""
    configure_logs('WARNING')
    run_async(_run_dev(_Ports(port), seconds))


async def _run_dev(ports: _Ports, seconds: float) -> None:
    stopping = asyncio.Event()
    on_stop_signals(stopping.set)
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(server.run()) for server in _standins(ports)]
        nodes = [
            EntryNode(_settings(ports, index)) for index in range(_ENTRIES)
        ]
        tasks.extend(group.create_task(node.run()) for node in nodes)
        await _show(ports)
        try:
            async with asyncio.timeout(seconds or None):
                await stopping.wait()
        except TimeoutError:
            click.echo('time is up')
        for task in tasks:
            task.cancel()


def _standins(ports: _Ports) -> list[HttpServer]:
    vms = VmsStandin()
    vms.replace([_listed(ports, index) for index in range(_ENTRIES)])
    servers = [
        HttpServer(LogStandin().app(), bind(ports.log())),
        HttpServer(vms.app(), bind(ports.vms())),
    ]
    for index in range(_BACKENDS):
        backend = BackendStandin(f'{_SERVICE}.{index}', may_exit=False)
        servers.append(HttpServer(backend, bind(ports.backend(index))))
    return servers


def _listed(ports: _Ports, index: int) -> dict[str, Any]:
    return {
        'name': f'entry-{index}',
        'role': 'entry',
        'state': 'live',
        'address': ports.entry(index, 0),
        'peer_address': ports.entry(index, 1),
        'region': _REGION,
        'failure_domain': _DOMAINS[index % 2],
    }


def _settings(ports: _Ports, index: int) -> EntrySettings:
    return EntrySettings(
        vm=f'entry-{index}',
        region=_REGION,
        failure_domain=_DOMAINS[index % 2],
        caller_address=ports.entry(index, 0),
        peer_address=ports.entry(index, 1),
        admin_address=ports.entry(index, 2),
        log_url=f'http://{ports.log()}',
        vm_list_url=f'http://{ports.vms()}',
        timing=Timing(traffic_flush_s=2, log_poll_s=0.5),
        log_level='WARNING',
    )


async def _show(ports: _Ports) -> None:
    admin = ports.entry(0, 2)
    async with aiohttp.ClientSession() as http:
        ticket = json.dumps(sample_ticket(ports))
        await _until_ready(http, f'http://{admin}/health')
        async with http.post(f'http://{admin}/tickets', data=ticket) as answer:
            click.echo(f'ticket 1: {await answer.text()}')
        await _until_ready(http, f'http://{ports.entry(1, 2)}/health')
        await asyncio.sleep(1)
        url = f'http://{ports.entry(1, 0)}/s/{_SERVICE}/umbrellas'
        headers = {'wagtailfork-customer': _CUSTOMER}
        async with http.get(url, headers=headers) as answer:
            click.echo(f'GET {url}: {answer.status} {await answer.text()}')
    _print_help(ports, url)


def _print_help(ports: _Ports, url: str) -> None:
    first = ports.entry(0, 0)
    lines = (
        'Serving. Try:',
        f"  curl -H 'wagtailfork-customer: {_CUSTOMER}' {url}",
        f'  curl http://{first}/wagtailfork/v1/directory',
        f'  wagtailfork dump --admin {ports.entry(0, 2)}',
        f'  wagtailfork report traffic --log http://{ports.log()}',
    )
    for line in lines:
        click.echo(line)


async def _until_ready(http: aiohttp.ClientSession, url: str) -> None:
    for _try in range(_READY_TRIES):
        try:
            async with http.get(url) as answer:
                if (await answer.json())['phase'] == 'serving':
                    return
        except (aiohttp.ClientError, OSError):
            click.echo('starting')
        await asyncio.sleep(_READY_STEP_S)
    raise TimeoutError(url)
