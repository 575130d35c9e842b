"""The ``wagtailfork`` command."""

import importlib
import sys
from typing import Any, Final

import click

from .. import __version__
from ..core.errors import WagtailforkError

EXIT_ERROR: Final = 1

# Module and attribute of each command. Only the module of the command that
# runs is imported.
_COMMANDS: Final = {
    'bench': ('bench', 'bench'),
    'config': ('config', 'config'),
    'dev': ('dev', 'dev'),
    'dump': ('operator', 'dump_command'),
    'entry': ('roles', 'entry'),
    'explain': ('explain', 'explain'),
    'gateway': ('gateway', 'gateway'),
    'load': ('load', 'load_command'),
    'objects': ('operator', 'objects_command'),
    'report': ('operator', 'report'),
    'settings': ('operator', 'settings'),
    'soak': ('soak', 'soak'),
    'standin': ('roles', 'standin'),
    'ticket': ('operator', 'ticket'),
}


class _LazyGroup(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted(_COMMANDS)

    def get_command(  # noqa: WPS615
        self,
        ctx: click.Context,
        cmd_name: str,
    ) -> click.Command | None:
        """Import a command; return None if there is none of this name."""
        location = _COMMANDS.get(cmd_name)
        if location is None:
            return None
        module = importlib.import_module(f'..{location[0]}', __name__)
        command: click.Command = getattr(module, location[1])
        return command

    def invoke(self, ctx: click.Context) -> Any:
        """Print a numbered error as one line and exit with status 1."""
        try:
            return super().invoke(ctx)
        except WagtailforkError as exc:
            click.echo(f'error {exc}', err=True)
            sys.exit(EXIT_ERROR)


@click.group(cls=_LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """Balance load over servers whose load changes within milliseconds.

    Exit status: 0 success, 1 a numbered error was printed, 2 wrong usage,
    3 a change ticket was refused, some requests of a load run failed, no log
    line has the request's id, or a configuration has entries that cannot work.
    """
