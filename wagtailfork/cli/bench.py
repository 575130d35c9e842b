"""The ``bench`` commands."""

import json
import os
from typing import Any, Final

import click

from ..bench.build_costs import BuildPlan, compare_builds
from ..bench.capacity import measure_entry_vm
from ..bench.experiment import compare_policies
from ..bench.gateway import measure_gateway
from ..bench.scenarios import BROLLYBOX, KARTOLINA
from ..core.logs import configure_logs

_SHAPES: Final = {shape.name: shape for shape in (BROLLYBOX, KARTOLINA)}
_MEASUREMENT_BY_ROLE: Final = {
    'entry': measure_entry_vm,
    'gateway': measure_gateway,
}
_COLUMNS: Final = (
    'scenario',
    'policy',
    'p50_ms',
    'p99_ms',
    'p99_9_ms',
    'quiet_p99_ms',
    'answered',
    'retries',
    'hedges',
    'sheds',
    'messages_per_call',
    'peer_bytes_per_s',
    'report_bytes_per_s',
)
_BUILD_COLUMNS: Final = ('what', 'build', 'rounds', 'median', 'difference')


@click.group()
def bench() -> None:
    """Run benchmarks of balancing decisions and processing costs."""


@bench.command('policy')
@click.option(
    '--shape',
    type=click.Choice(sorted(_SHAPES)),
    default=BROLLYBOX.name,
    show_default=True,
)
@click.option(
    '--calls',
    default=20000,
    show_default=True,
    help='Calls for each pair of scenario and policy.',
)
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--scenario',
    'scenario_names',
    multiple=True,
    help='Run only this scenario; may be repeated.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def bench_policy(
    shape: str,
    calls: int,
    seed: int,
    scenario_names: tuple[str, ...],
    *,
    as_json: bool,
) -> None:
    """Compare the balancing policies on identical seeded arrivals."""
    configure_logs('ERROR')
    rows = compare_policies(_SHAPES[shape], calls, seed, scenario_names)
    if as_json:
        click.echo(json.dumps({'seed': seed, 'calls': calls, 'rows': rows}))
        return
    click.echo(f'shape={shape} seed={seed} calls={calls}\n')
    for line in markdown_table(rows, _COLUMNS):
        click.echo(line)


@bench.command('capacity')
@click.option(
    '--role',
    type=click.Choice(sorted(_MEASUREMENT_BY_ROLE)),
    default='entry',
    show_default=True,
)
def bench_capacity(role: str) -> None:
    """Measure the unit costs used in docs/CAPACITY.md."""
    configure_logs('ERROR')
    rows = [
        measurement.as_dict() for measurement in _MEASUREMENT_BY_ROLE[role]()
    ]
    for line in markdown_table(rows, ('what', 'size', 'figure', 'unit')):
        click.echo(line)


@bench.command('builds')
@click.argument(
    'checkouts',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, file_okay=False, resolve_path=True),
)
@click.option('--rounds', default=10, show_default=True)
@click.option(
    '--requests',
    default=300,
    show_default=True,
    help='Requests of each kind to each build in a round.',
)
@click.option(
    '--seconds',
    default=1.0,
    show_default=True,
    help='Time of full load for each build in a round.',
)
def bench_builds(checkouts: tuple[str, ...], **options: Any) -> None:
    """Compare gateways of several builds, given as trees, in turns."""
    configure_logs('ERROR')
    started = os.getloadavg()
    rows = compare_builds(BuildPlan(checkouts=checkouts, **options))
    for line in markdown_table(rows, _BUILD_COLUMNS):
        click.echo(line)
    click.echo(f'load average: {started} before, {os.getloadavg()} after')


def markdown_table(
    rows: list[dict[str, Any]],
    columns: tuple[str, ...],
) -> list[str]:
    """Render the given columns of the rows as a Markdown table."""
    lines = [
        '| {0} |'.format(' | '.join(columns)),
        '|{0}|'.format('|'.join('---' for _column in columns)),
    ]
    for row in rows:
        cells = [str(row[name]) for name in columns]
        lines.append('| {0} |'.format(' | '.join(cells)))
    return lines
