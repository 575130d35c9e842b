"""The ``load`` command."""

import json
import sys
from typing import Final

import click

from ..loadgen import LoadPlan, run_load
from .runner import run_async

EXIT_FAILED: Final = 3


@click.command('load')
@click.option('--directory', required=True, help='Address of any entry VM.')
@click.option('--service', required=True)
@click.option('--customer', 'customers', required=True, multiple=True)
@click.option('--rate', default=100.0, show_default=True, help='Requests/s.')
@click.option('--seconds', default=10.0, show_default=True)
@click.option('--once-share', default=0.0, show_default=True)
@click.option('--deadline-ms', default=2000, show_default=True)
@click.option('--direct', default='', help='Backend server to compare.')
@click.option('--seed', default=1, show_default=True)
def load_command(**options: object) -> None:
    """Send requests to a service; print outcomes and latency quantiles."""
    plan = LoadPlan(**options)  # type: ignore[arg-type]
    result = run_async(run_load(plan))
    click.echo(json.dumps(result.as_dict(), indent=2))
    failed = sum(
        count
        for outcome, count in result.outcomes.items()
        if not outcome.startswith('1')
    )
    if failed:
        sys.exit(EXIT_FAILED)
