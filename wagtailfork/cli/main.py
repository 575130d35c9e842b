"""The ``wagtailfork`` command."""

import sys
from typing import Any, Final

import click

from .. import __version__
from ..core.errors import WagtailforkError
from .bench import bench
from .dev import dev
from .load import load_command
from .operator import (
    dump_command,
    objects_command,
    report,
    settings,
    ticket,
)
from .roles import entry, standin

EXIT_ERROR: Final = 1


class _Group(click.Group):
    def invoke(self, ctx: click.Context) -> Any:
        """Turn a numbered error into one line and exit status 1."""
        try:
            return super().invoke(ctx)
        except WagtailforkError as exc:
            click.echo(f'error {exc}', err=True)
            sys.exit(EXIT_ERROR)


@click.group(cls=_Group)
@click.version_option(__version__)
def main() -> None:
    """Balance load over servers whose load shifts in milliseconds.

    Exit status: 0 done, 1 a numbered error was printed, 2 wrong usage,
    3 a change ticket was refused or some requests of a load run failed.
    """


_COMMANDS: Final = (
    bench,
    dev,
    dump_command,
    entry,
    load_command,
    objects_command,
    report,
    settings,
    standin,
    ticket,
)


def _add_commands(group: click.Group) -> None:
    for command in _COMMANDS:
        group.add_command(command)


_add_commands(main)
