"""The ``gateway`` command."""

import asyncio
import gc
import logging
import os
import signal
from typing import Final

import click

from ..core.errors import WagtailforkError
from ..core.logs import attach_log, configure_logs, log_warning
from ..core.results import ResultCode
from ..core.settings import GatewaySettings, load_settings
from ..gateway.node import GatewayNode
from ..platform.adapter import make_gateway
from .runner import on_stop_signals, run_async

SETTINGS_VARIABLE: Final = 'WAGTAILFORK_BOOT'
_GC_YOUNG_THRESHOLD: Final = 20000  # net allocations
_GC_MIDDLE_THRESHOLD: Final = 20
_GC_OLD_THRESHOLD: Final = 100

_logger = logging.getLogger(__name__)


@click.command()
@click.option(
    '--settings',
    'path',
    type=click.Path(),
    help=f'JSON settings file; default: the path in {SETTINGS_VARIABLE}.',
)
def gateway(path: str | None) -> None:
    """Run a gateway on the users' platform."""
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise WagtailforkError(
            ResultCode.settings_unreadable,
            f'neither --settings nor {SETTINGS_VARIABLE} is set',
        )
    cfg = load_settings(path, GatewaySettings)
    configure_logs(cfg.log_level)
    run_async(_run(cfg, path))


async def _run(cfg: GatewaySettings, path: str) -> None:
    node = make_gateway(cfg)
    attach_log(node.log)
    on_stop_signals(node.request_stop)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(node, path))
    # It was blocked at the start of the process; one that waits arrives now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    # Exclude the objects made so far, which live as long as the process, from
    # garbage collection; objects created later are mostly short-lived.
    gc.freeze()
    gc.set_threshold(
        _GC_YOUNG_THRESHOLD, _GC_MIDDLE_THRESHOLD, _GC_OLD_THRESHOLD
    )
    await node.run()


def _reload(node: GatewayNode, path: str) -> None:
    """Reload the settings; keep the current ones if the file is invalid."""
    try:
        cfg = load_settings(path, GatewaySettings)
    except WagtailforkError as exc:
        log_warning(_logger, 'settings_kept', error=exc)
        return
    node.reload(cfg)
