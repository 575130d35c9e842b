"""The ``config`` command."""

import pathlib
import sys
from typing import Final

import click

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..platform.configuration_file import read_configuration_file
from ..routing.configuration_check import (
    CheckedConfiguration,
    find_changes,
    find_faults,
)

EXIT_FAULTS: Final = 3


@click.group()
def config() -> None:
    """Check configuration documents of the platform."""


@config.command('check')
@click.argument('path', type=click.Path())
@click.option(
    '--against',
    type=click.Path(),
    help='Document of the version in force; print what differs.',
)
def config_check(path: str, against: str | None) -> None:
    """Check a configuration document before it is sent.

    Prints entries that can never match and limits that contradict each other,
    but no keys. Exit status 3: there are such entries.
    """
    checked = _read(path)
    if against is not None:
        for change in find_changes(_read(against), checked):
            click.echo(f'change {change}')
    faults = list(find_faults(checked))
    for fault in faults:
        click.echo(f'fault {fault}')
    if faults:
        sys.exit(EXIT_FAULTS)
    click.echo(
        f'ok version={checked.version} routes={len(checked.routes)} '
        f'services={len(checked.services)} customers={len(checked.customers)}'
    )


def _read(path: str) -> CheckedConfiguration:
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise WagtailforkError(ResultCode.record_malformed, str(exc)) from exc
    return read_configuration_file(raw)
