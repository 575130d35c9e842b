"""Traffic sums by customer, their replication, and the metrics page."""

import asyncio
import time
from collections import Counter

import testtools
from click.testing import CliRunner

from ...cli.main import main
from ...core.clock import now_s
from ...fleet.position import NO_EDITION, NO_POSITION
from ...fleet.snapshots import SnapshotQuery
from ...platform.store import StoreClient
from ...platform.traffic import read_store_traffic
from ...standin.scripted_backend import (
    lose_response,
    serve_request,
    shed_request,
)
from ...traffic.ledger import TrafficRow
from ...traffic.report import TimeRange
from ..traffic_keeper import ORPHAN_DELAY_S
from .rig import Rig, free_address, run_scenario

CALLS = 12


async def read_all(rig: Rig) -> list[TrafficRow]:
    """Return the traffic rows of all time."""
    time_range = TimeRange(from_ms=0, to_ms=round(time.time() * 1000) + 1000)
    return await read_store_traffic(StoreClient(rig.store_address), time_range)


def by_backend(rows: list[TrafficRow]) -> Counter[str]:
    """Sum the requests of each backend server."""
    sums: Counter[str] = Counter()
    for row in rows:
        sums[row.key.backend] += row.requests
    return sums


def arrivals(rig: Rig) -> Counter[str]:
    """Count the requests that arrived at each backend server."""
    return Counter(
        {
            name: len(backend.arrivals)
            for name, backend in rig.backends.items()
            if backend.arrivals
        }
    )


class TestTotals(testtools.TestCase):
    """The sums match the arrivals at the backend servers."""

    def test_reconcile_with_backend_servers(self) -> None:
        """Successful, shed and lost sends count at their backend server."""
        run_scenario(self._reconcile)

    async def _reconcile(self, rig: Rig) -> None:
        await rig.start(backends=3, gateways=2)
        for script in (serve_request, shed_request, lose_response):
            for backend in rig.backends.values():
                backend.script = script
            for number in range(CALLS):
                through = number % 2
                await rig.call('/look/1', f'l{number}', node=through)
                await rig.call('/pay/1', f'p{number}', b'xy', node=through)
        for node in rig.nodes:
            await node.ledger.flush()
        rows = await read_all(rig)
        self.assertEqual(arrivals(rig), by_backend(rows))
        outcomes = {row.key.result for row in rows}
        self.assertEqual({'not_run', 'unknown', 'ran'}, outcomes)
        self.assertEqual({'shop.example'}, {row.key.customer for row in rows})

    def test_appended_twice_counts_once(self) -> None:
        """The VM's own sums supersede a replica appended by a neighbour."""
        run_scenario(self._twice)

    async def _twice(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        first, second = rig.nodes
        await rig.call('/look/1', 'r1')
        await first.replicator.replicate()
        await rig.call('/look/1', 'r2')
        first.membership.advance()
        second.membership.mark_down(first.membership.me.address, now_s())
        await second.replicator.append_orphaned(now_s())
        await second.replicator.append_orphaned(now_s() + ORPHAN_DELAY_S)
        await first.ledger.flush()
        rows = await read_all(rig)
        self.assertEqual(2, sum(row.requests for row in rows))

    def test_command_prints_the_report(self) -> None:
        """The command reads the given store and requires its address."""
        run_scenario(self._print)
        usage = CliRunner().invoke(main, ['report', 'traffic'])
        self.assertEqual(2, usage.exit_code)

    async def _print(self, rig: Rig) -> None:
        await rig.start()
        await rig.call('/look/1')
        await rig.nodes[0].ledger.flush()
        words = ['report', 'traffic', '--store', rig.store_address]
        invoked = await asyncio.to_thread(CliRunner().invoke, main, words)
        self.assertEqual(0, invoked.exit_code, invoked.output)
        self.assertIn('shop.example', invoked.output)


class TestLoss(testtools.TestCase):
    """The loss of a VM loses only its latest sums."""

    def test_neighbour_appends_sums_of_lost_vm(self) -> None:
        """Sums replicated before the loss are in the report."""
        run_scenario(self._lose_vm)

    async def _lose_vm(self, rig: Rig) -> None:
        await rig.start(gateways=2)
        first, second = rig.nodes
        for number in range(CALLS):
            await rig.call('/look/1', f'r{number}')
        await first.replicator.replicate()
        rig.kill(first)
        address = first.membership.me.address
        await rig.until(lambda: not second.membership.is_neighbour(address))
        self.assertEqual([], await read_all(rig))
        await second.replicator.append_orphaned(now_s())
        await second.replicator.append_orphaned(now_s() + ORPHAN_DELAY_S)
        self.assertEqual(arrivals(rig), by_backend(await read_all(rig)))

    def test_graceful_shutdown_appends_all(self) -> None:
        """A graceful shutdown appends all sums."""
        run_scenario(self._stop)

    async def _stop(self, rig: Rig) -> None:
        await rig.start()
        await rig.call('/look/1')
        stopping = rig.nodes[0]
        stopping.request_stop()
        await rig.until(lambda: not stopping.ledger.unappended_summaries())
        self.assertEqual(arrivals(rig), by_backend(await read_all(rig)))

    def test_store_outage_keeps_the_sums(self) -> None:
        """The sums are appended after the outage."""
        run_scenario(self._outage)

    async def _outage(self, rig: Rig) -> None:
        await rig.start()
        await rig.call('/look/1')
        rig.store.faults.status = 503
        await rig.nodes[0].ledger.flush()
        rig.store.faults.status = 0
        await rig.nodes[0].ledger.flush()
        self.assertEqual(arrivals(rig), by_backend(await read_all(rig)))


class TestMetrics(testtools.TestCase):
    """The metrics page shows counters, histograms and ages."""

    def test_page(self) -> None:
        """The page has requests, refusals, latency and store costs."""
        run_scenario(self._read_page)

    async def _read_page(self, rig: Rig) -> None:
        await rig.start(gateways=0)
        node = rig.add_gateway('vm0', metrics_address=free_address())
        await rig.until(node.is_ready)
        await rig.until(lambda: len(node.view.servers) == 2)
        await rig.call('/look/1')
        await rig.call('/nowhere/')
        query = SnapshotQuery(NO_EDITION, NO_POSITION).render()
        await rig.get(node.cfg.fleet_address, f'/snapshot?{query}')
        response = await rig.get(node.cfg.metrics_address or '', '/metrics')
        page = response.body.payload().decode()
        for wanted in (
            'wagtailfork_requests{outcome="answered",route="look",'
            'service="stock"} 1',
            'wagtailfork_refusals{why="unknown_service"} 1',
            'wagtailfork_latency_seconds_count{service="stock"} 1',
            'wagtailfork_latency_seconds_bucket{le="+Inf",service="stock"} 1',
            'wagtailfork_config_version 1',
            'wagtailfork_waiting{service="stock"} 0',
            'wagtailfork_retries_spent{service="stock"} 0',
            'wagtailfork_snapshots{configuration="whole"} 1',
        ):
            self.assertIn(wanted, page)
        self.assertRegex(page, 'wagtailfork_answers{.*status="200"} 1')
        self.assertRegex(page, r'wagtailfork_store_calls [1-9]')
        self.assertRegex(page, r'wagtailfork_moved_bytes{reach="domain"} [1-9]')
