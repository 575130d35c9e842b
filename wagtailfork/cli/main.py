"""The ``wagtailfork`` command."""

import sys
from typing import Any, Final

import click

from .. import __version__
from ..core.errors import WagtailforkError
from .dev import dev
from .load import load
from .operator import dump, objects, report, settings, ticket
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


for command in (
    dev,
    dump,
    entry,
    load,
    objects,
    report,
    settings,
    standin,
    ticket,
):
    main.add_command(command)
