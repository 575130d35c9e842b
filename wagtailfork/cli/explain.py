"""The ``explain`` command."""

import sys
from collections.abc import Iterator
from typing import Final

import click

from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..explain import LogLine, explain_request, parse_line

EXIT_NOT_FOUND: Final = 3


@click.command()
@click.argument('request_id')
@click.argument('files', nargs=-1, required=True, type=click.Path())
def explain(request_id: str, files: tuple[str, ...]) -> None:
    """Explain how a request ended, from the logs of several VMs.

    Exit status 3: no log line has the request's id.
    """
    explanation = explain_request(_read_all(files), request_id)
    for line in explanation.events:
        click.echo(f'{line.at_s:.3f} {line.vm} {line.render()}')
    if explanation.related:
        click.echo('related events:')
    for other in explanation.related:
        click.echo(f'  {other.at_s:.3f} {other.vm} {other.render()}')
    for cause in explanation.causes:
        click.echo(f'cause: {cause}')
    if not explanation.events:
        sys.exit(EXIT_NOT_FOUND)


def _read_all(files: tuple[str, ...]) -> Iterator[LogLine]:
    for path in files:
        try:
            yield from _read(path)
        except OSError as exc:
            raise WagtailforkError(
                ResultCode.log_unreadable,
                str(exc),
            ) from exc


def _read(path: str) -> Iterator[LogLine]:
    with open(path, encoding='utf-8', errors='replace') as stream:
        for text in stream:
            line = parse_line(text)
            if line is not None:
                yield line
