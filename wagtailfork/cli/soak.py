"""The ``soak`` command."""

import asyncio
import pathlib
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Collection

import click

from ..core.event_log import render_pair
from ..soak.answers import GROUPS
from ..soak.crash_play import CRASH_DOMAIN
from ..soak.deployment import Deployment
from ..soak.disruptions import KINDS
from ..soak.key_disruptions import CUSTOMER_KINDS
from ..soak.large_play import LARGE_KINDS
from ..soak.link_disruptions import LINK_KINDS
from ..soak.plan import MAX_GATEWAYS, MAX_SECONDS, SoakPlan
from ..soak.record import Record

EXIT_BROKEN = 1
_MB = 1048576


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--seconds',
    default=25.0,
    show_default=True,
    type=click.FloatRange(1, MAX_SECONDS),
)
@click.option(
    '--gateways',
    default=12,
    show_default=True,
    type=click.IntRange(1, MAX_GATEWAYS),
    help='Processes, spread over four failure domains.',
)
@click.option('--servers', default=20, show_default=True)
@click.option('--callers', default=60, show_default=True)
@click.option(
    '--answers',
    default='faulty,stated,copied',
    show_default=True,
    help=f'Groups of answers of servers: {", ".join(GROUPS)}.',
)
@click.option(
    '--disrupted/--calm',
    default=True,
    show_default=True,
    help='Freeze, kill, stop and reload gateways, crash servers.',
)
@click.option(
    '--disruptions',
    default='',
    help='Kinds of disruptions, separated by commas; default: all.',
)
@click.option(
    '--stale-entries',
    default=4,
    show_default=True,
    type=click.IntRange(0),
    help='Servers that have a second entry, of a name that is gone.',
)
@click.option(
    '--repeat-ids/--fresh-ids',
    default=True,
    show_default=True,
    help='Whether callers send ids again that were refused.',
)
@click.option(
    '--link-ms',
    default=0.0,
    type=click.FloatRange(0),
    help='One-way delay before each server and gateway.',
)
@click.option(
    '--link-mbps',
    default=0.0,
    type=click.FloatRange(0),
    help='Bandwidth there, each way; 0: no limit.',
)
@click.option(
    '--customers/--no-customers',
    default=False,
    help='Customers with keys, a quota, a home region; evacuations.',
)
@click.option(
    '--pipelined',
    default=0,
    type=click.IntRange(0),
    help='Callers that send several requests at once, beyond the others.',
)
@click.option(
    '--crashes/--no-crashes',
    default=False,
    help='A popular path, one that crashes its servers, crashes of domains.',
)
@click.option(
    '--large/--small',
    default=False,
    help='Many routes that change, and a narrow link between the regions.',
)
@click.option(
    '--routes',
    default=1400,
    show_default=True,
    type=click.IntRange(0),
    help='That stay, with --large.',
)
@click.option(
    '--region-mbps',
    default=30.0,
    show_default=True,
    type=click.FloatRange(0, min_open=True),
    help='Bandwidth between the regions, each way, with --large.',
)
@click.option(
    '--checkout',
    default='',
    type=click.Path(exists=True, file_okay=False, resolve_path=True),
    help='Tree of the build to run; default: the installed one.',
)
@click.option(
    '--keep',
    type=click.Path(file_okay=False),
    help='Folder for the logs of the gateways if a rule is broken.',
)
def soak(
    keep: str | None, answers: str, disruptions: str, **options: object
) -> None:
    """Run gateway processes against faulty stand-ins and check the promises.

    The verdict rests only on what callers and backend servers saw. Exit
    status: 0 all rules held, 1 a rule was broken.
    """
    linked = options['link_ms'] or options['link_mbps']
    kinds = (*KINDS, *LINK_KINDS) if linked else KINDS
    if options['customers']:
        kinds = (*kinds, *CUSTOMER_KINDS)
    if options['crashes']:
        kinds = (*kinds, CRASH_DOMAIN)
    if options['large']:
        kinds = (*kinds, *LARGE_KINDS)
    plan = SoakPlan(
        answers=_split(answers, GROUPS, '--answers'),
        disruptions=_split(disruptions, kinds, '--disruptions'),
        **options,  # type: ignore[arg-type]
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        record = asyncio.run(Deployment(plan, folder).run())
        _print_report(plan, record)
        if not record.holds and keep is not None:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
    sys.exit(0 if record.holds else EXIT_BROKEN)


def _split(text: str, known: Collection[str], option: str) -> tuple[str, ...]:
    names = tuple(name for name in text.split(',') if name)
    for name in names:
        if name not in known:
            raise click.BadParameter(
                f'{name!r} is none of {", ".join(known)}', param_hint=option
            )
    return names


def _print_report(plan: SoakPlan, record: Record) -> None:
    _print_line(
        'soak',
        {
            'seed': plan.seed,
            'seconds': plan.seconds,
            'gateways': plan.gateways,
            'sent': len(record.requests),
            'answered': record.answered(),
            'in_touch': record.judged_in_touch,
            'broken': len(record.broken()),
            'returned_ids': record.returned_ids,
            'repeated_ids': record.repeated_ids,
            'revisits': record.revisits,
            'pipelined': record.pipelined,
            'unasked': len(record.unasked),
            'excessive': len(record.excessive),
            'ended': len(record.ended),
            'peak_mb': record.peak_bytes // _MB,
            'stalls': len(record.stalls_s),
            'longest_stall_s': round(max(record.stalls_s, default=0), 1),
        },
    )
    _print_counts('answers', record.answers)
    _print_counts('plays', record.plays)
    _print_counts('statuses', record.statuses())
    _print_counts('disruptions', record.disruptions)
    _print_counts('links', record.links)
    _print_counts('customers', record.customers)
    for ended in record.ended:
        _print_line('ended', {'gateway': ended})
    for rule, seen in record.broken():
        _print_line(
            rule,
            {
                'id': seen.request_id,
                'gateway': seen.gateway,
                'status': seen.status,
                'sent_s': round(seen.sent_s, 3),
                'answered_s': round(seen.answered_s, 3),
                'arrivals': [str(each) for each in seen.arrivals],
                'runs': [str(each) for each in seen.runs],
                'cut_s': round(seen.cut_s, 3),
                'fault': seen.fault,
            },
        )


def _print_counts(event: str, counts: Counter[str]) -> None:
    _print_line(event, dict(sorted(counts.items())))


def _print_line(event: str, pairs: dict[str, object]) -> None:
    text = ' '.join(render_pair(key, found) for key, found in pairs.items())
    click.echo(f'event={event} {text}')
