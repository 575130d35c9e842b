"""The ``dev`` command: a complete deployment in one process on loopback."""

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
_ENTRY_COUNT: Final = 3
_BACKEND_COUNT: Final = 4
_READY_ATTEMPTS: Final = 100
_READY_POLL_S: Final = 0.1
_FAILURE_DOMAINS: Final = ('hobart-a', 'hobart-b')
_REGION: Final = 'south-tas'
_CUSTOMER: Final = 'kiosk'
_SERVICE: Final = 'stockd'


@attrs.frozen
class _AddressPlan:
    base_port: int

    def log(self) -> str:
        return f'{_HOST}:{self.base_port}'

    def vms(self) -> str:
        return f'{_HOST}:{self.base_port + 1}'

    def backend(self, index: int) -> str:
        return f'{_HOST}:{self.base_port + 10 + index}'

    def entry(self, index: int, port_offset: int) -> str:
        return f'{_HOST}:{self.base_port + 20 + index * 10 + port_offset}'


def sample_ticket(plan: _AddressPlan) -> dict[str, Any]:
    """Return the change ticket that configures the example service."""
    objects: list[dict[str, Any]] = [
        {'kind': 'service', 'name': _SERVICE, 'state': {}},
        {'kind': 'customer', 'name': _CUSTOMER, 'state': {}},
    ]
    for index in range(_BACKEND_COUNT):
        objects.append(
            {
                'kind': 'backend',
                'name': f'{_SERVICE}.{index}',
                'state': {
                    'service': _SERVICE,
                    'address': plan.backend(index),
                    'region': _REGION,
                    'failure_domain': _FAILURE_DOMAINS[index % 2],
                },
            }
        )
    return {'ticket': 1, 'operator': 'dev', 'objects': objects}


@click.command()
@click.option(
    '--port',
    default=17000,
    show_default=True,
    help='Lowest port to listen on.',
)
@click.option(
    '--seconds',
    default=0.0,
    help='Stop after this time; 0 runs until interrupted.',
)
def dev(port: int, seconds: float) -> None:
    """Run a small, complete deployment in one process on loopback."""
    configure_logs('WARNING')
    run_async(_run_dev(_AddressPlan(port), seconds))


async def _run_dev(plan: _AddressPlan, seconds: float) -> None:
    stopping = asyncio.Event()
    on_stop_signals(stopping.set)
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(server.run()) for server in _standins(plan)]
        nodes = [
            EntryNode(_entry_settings(plan, index))
            for index in range(_ENTRY_COUNT)
        ]
        tasks.extend(group.create_task(node.run()) for node in nodes)
        await _run_example(plan)
        try:
            async with asyncio.timeout(seconds or None):
                await stopping.wait()
        except TimeoutError:
            click.echo('time limit reached')
        for task in tasks:
            task.cancel()


def _standins(plan: _AddressPlan) -> list[HttpServer]:
    vms = VmsStandin()
    vms.replace([_vm_entry(plan, index) for index in range(_ENTRY_COUNT)])
    servers = [
        HttpServer(LogStandin().app(), bind(plan.log())),
        HttpServer(vms.app(), bind(plan.vms())),
    ]
    for index in range(_BACKEND_COUNT):
        backend = BackendStandin(f'{_SERVICE}.{index}', may_exit=False)
        servers.append(HttpServer(backend, bind(plan.backend(index))))
    return servers


def _vm_entry(plan: _AddressPlan, index: int) -> dict[str, Any]:
    return {
        'name': f'entry-{index}',
        'role': 'entry',
        'state': 'live',
        'address': plan.entry(index, 0),
        'peer_address': plan.entry(index, 1),
        'region': _REGION,
        'failure_domain': _FAILURE_DOMAINS[index % 2],
    }


def _entry_settings(plan: _AddressPlan, index: int) -> EntrySettings:
    return EntrySettings(
        vm=f'entry-{index}',
        region=_REGION,
        failure_domain=_FAILURE_DOMAINS[index % 2],
        caller_address=plan.entry(index, 0),
        peer_address=plan.entry(index, 1),
        admin_address=plan.entry(index, 2),
        log_url=f'http://{plan.log()}',
        vm_list_url=f'http://{plan.vms()}',
        timing=Timing(traffic_flush_s=2, log_poll_s=0.5),
        log_level='WARNING',
    )


async def _run_example(plan: _AddressPlan) -> None:
    admin = plan.entry(0, 2)
    async with aiohttp.ClientSession() as http:
        ticket = json.dumps(sample_ticket(plan))
        await _wait_ready(http, f'http://{admin}/health')
        async with http.post(
            f'http://{admin}/tickets', data=ticket
        ) as response:
            click.echo(f'ticket 1: {await response.text()}')
        await _wait_ready(http, f'http://{plan.entry(1, 2)}/health')
        await asyncio.sleep(1)
        url = f'http://{plan.entry(1, 0)}/s/{_SERVICE}/umbrellas'
        headers = {'wagtailfork-customer': _CUSTOMER}
        async with http.get(url, headers=headers) as response:
            click.echo(f'GET {url}: {response.status} {await response.text()}')
    _print_next_steps(plan, url)


def _print_next_steps(plan: _AddressPlan, url: str) -> None:
    caller_address = plan.entry(0, 0)
    lines = (
        'Serving. Commands to try:',
        f"  curl -H 'wagtailfork-customer: {_CUSTOMER}' {url}",
        f'  curl http://{caller_address}/wagtailfork/v1/directory',
        f'  wagtailfork dump --admin {plan.entry(0, 2)}',
        f'  wagtailfork report traffic --log http://{plan.log()}',
    )
    for line in lines:
        click.echo(line)


async def _wait_ready(http: aiohttp.ClientSession, url: str) -> None:
    for _attempt in range(_READY_ATTEMPTS):
        try:
            async with http.get(url) as response:
                if (await response.json())['phase'] == 'serving':
                    return
        except (aiohttp.ClientError, OSError):
            click.echo('starting')
        await asyncio.sleep(_READY_POLL_S)
    raise TimeoutError(url)
