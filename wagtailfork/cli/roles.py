"""Commands that run one role of a deployment as a process."""

import asyncio
import gc
from typing import Any, Final

import click

from ..core.logs import configure_logs
from ..core.server import HttpServer, bind
from ..core.settings import EntrySettings, load_settings
from ..node.entry import EntryNode
from ..standin.backend import BackendBehaviour, BackendStandin
from ..standin.log import LogStandin
from ..standin.vms import VmsStandin
from .runner import on_stop_signals, run_async

_GC_YOUNG_THRESHOLD: Final = 20000  # net allocations
_GC_MIDDLE_THRESHOLD: Final = 20
_GC_OLD_THRESHOLD: Final = 100

_ADDRESS = click.option(
    '--address',
    required=True,
    help='IP address and port to listen on.',
)


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(),
    help='JSON settings file.',
)
def entry(path: str) -> None:
    """Run the entry VM process."""
    cfg = load_settings(path, EntrySettings)
    configure_logs(cfg.log_level)
    run_async(_run_entry(cfg))


async def _run_entry(cfg: EntrySettings) -> None:
    node = EntryNode(cfg)
    on_stop_signals(node.request_stop)
    # Exclude the objects made so far, which live as long as the process, from
    # garbage collection; objects created later are mostly short-lived.
    gc.freeze()
    gc.set_threshold(
        _GC_YOUNG_THRESHOLD, _GC_MIDDLE_THRESHOLD, _GC_OLD_THRESHOLD
    )
    await node.run()


@click.group()
def standin() -> None:
    """Run a stand-in for an external system, for tests."""


@standin.command('log')
@_ADDRESS
def standin_log(address: str) -> None:
    """Run a stand-in for the append-only log service."""
    run_async(_serve(LogStandin().app(), address))


@standin.command('vms')
@_ADDRESS
def standin_vms(address: str) -> None:
    """Run a stand-in for the list of live and leaving VMs."""
    run_async(_serve(VmsStandin().app(), address))


@standin.command('backend')
@_ADDRESS
@click.option('--name', required=True, help='Name used in its responses.')
@click.option('--slots', default=4, show_default=True)
@click.option('--service-ms', default=8.0, show_default=True)
def standin_backend(
    address: str,
    name: str,
    slots: int,
    service_ms: float,
) -> None:
    """Run a stand-in for one backend server."""
    behaviour = BackendBehaviour(slots=slots, service_ms=service_ms)
    app = BackendStandin(name=name, behaviour=behaviour)
    run_async(_serve(app, address))


async def _serve(app: Any, address: str) -> None:
    server = HttpServer(app, bind(address))
    server_task = asyncio.create_task(server.run())
    on_stop_signals(lambda: _cancel(server_task))
    await asyncio.wait((server_task,))


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
